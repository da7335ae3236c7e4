/** Seeds that once revealed a guarantee violation, run as regression tests. */
import {
  CAPACITY_KINDS,
  FAULT_KINDS,
  type FaultKind,
} from "./fault_schedule.ts";

/** A seed and the cause of the guarantee violation that it revealed. */
export interface FailedSeed {
  readonly seed: number;
  readonly cause: string;
  /** Kinds that existed when the seed failed; all if absent. */
  readonly kinds?: readonly FaultKind[];
}

const _capacityKinds: readonly FaultKind[] = CAPACITY_KINDS;
const _earlierKinds = FAULT_KINDS.filter((kind) =>
  !_capacityKinds.includes(kind)
);

/** Every seed whose soak run has violated a guarantee. */
export const FAILED_SEEDS: readonly FailedSeed[] = [
  // These failed before there were kinds that need a configuration of their own.
  ...[
    {
      seed: 9,
      cause:
        "SIGHUP ended a starting router before it had installed its handler",
    },
    ...[108, 133, 136].map((seed) => ({
      seed,
      cause:
        "the retry budget was spent on a registration whose server was gone, and the soak started a server twice that crashed while it drained",
    })),
    {
      seed: 3827,
      cause: "a starting router read a settings file that the soak had emptied",
    },
    ...[3909, 3912].map((seed) => ({
      seed,
      cause: "SIGHUP ended a router while it read its modules",
    })),
    ...[3826, 3901, 3902].map((seed) => ({
      seed,
      cause:
        "the soak blamed routers for the time in which it stood still itself",
    })),
    ...[3825, 3828].map((seed) => ({
      seed,
      cause: "a router stood still for about 3 s on a busy machine; not traced",
    })),
  ].map((failed) => ({ ...failed, kinds: _earlierKinds })),
  {
    seed: 4,
    cause:
      "the registration of a server that became cold again was not announced, since its time lay within the same step; a server that restarted under its id while the store was away got requests at the full rate",
  },
];

/** Returns the kinds of faults that a failed seed plays; undefined: all. */
export function kindsOfSeed(seed: number): readonly FaultKind[] | undefined {
  return FAILED_SEEDS.find((failed) => failed.seed === seed)?.kinds;
}
