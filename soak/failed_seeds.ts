/** Seeds that ever found a broken promise; they are run as regression cases. */

/** A seed and what it found. */
export interface FailedSeed {
  readonly seed: number;
  readonly cause: string;
}

/** Every seed that ever failed. */
export const FAILED_SEEDS: readonly FailedSeed[] = [
  {
    seed: 9,
    cause: "SIGHUP ended a router that was just starting, before its handler",
  },
];
