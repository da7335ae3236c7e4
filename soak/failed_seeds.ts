/** Seeds that once revealed a guarantee violation, run as regression tests. */

/** A seed and the cause of the guarantee violation that it revealed. */
export interface FailedSeed {
  readonly seed: number;
  readonly cause: string;
}

/** Every seed whose soak run has violated a guarantee. */
export const FAILED_SEEDS: readonly FailedSeed[] = [
  {
    seed: 9,
    cause: "SIGHUP ended a starting router before it had installed its handler",
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
];
