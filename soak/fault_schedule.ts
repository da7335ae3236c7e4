/** Which faults come when; the same for the same seed. */
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";

/** Every kind of fault, with how often it is drawn. */
export const FAULT_WEIGHTS = {
  router_killed: 3,
  router_stopped: 4,
  router_paused: 2,
  router_reloaded: 1,
  all_routers_killed: 1,
  backend_crashed: 2,
  backend_replaced: 3,
  backend_fails: 2,
  backend_link: 2,
  router_link: 2,
  store_fails: 3,
  store_forgets: 1,
  configuration_changes: 3,
  key_revoked: 2,
} as const;

/** One of the closed list of faults. */
export type FaultKind = keyof typeof FAULT_WEIGHTS;

/** A fault at a time of the run. */
export interface ScheduledFault {
  readonly kind: FaultKind;
  readonly atMilliseconds: number;
  readonly forMilliseconds: number;
  /** Chooses the router or server that it meets. */
  readonly target: number;
  /** Chooses the variant. */
  readonly variant: number;
}

const SHORTEST_MILLISECONDS = 200;
const LONGEST_MILLISECONDS = 2_500;
const FIRST_MILLISECONDS = 1_000;
const CHOICES = 1_000;

function _drawKind(random: RandomSource): FaultKind {
  const kinds = Object.entries(FAULT_WEIGHTS) as [FaultKind, number][];
  const total = kinds.reduce((sum, [, weight]) => sum + weight, 0);
  let rest = random.integer(total);
  for (const [kind, weight] of kinds) {
    if (rest < weight) return kind;
    rest -= weight;
  }
  return "router_killed";
}

/** Draws faults that may overlap, about one in `everyMilliseconds`. */
export function scheduleFaults(
  seed: number,
  durationMilliseconds: number,
  everyMilliseconds: number,
): ScheduledFault[] {
  const random = createSeededRandom(seed);
  const faults: ScheduledFault[] = [];
  let at = FIRST_MILLISECONDS;
  while (at < durationMilliseconds) {
    const range = LONGEST_MILLISECONDS - SHORTEST_MILLISECONDS;
    faults.push({
      kind: _drawKind(random),
      atMilliseconds: at,
      forMilliseconds: SHORTEST_MILLISECONDS + random.integer(range),
      target: random.integer(CHOICES),
      variant: random.integer(CHOICES),
    });
    at += random.integer(2 * everyMilliseconds);
  }
  return faults;
}
