/** Seeds that once revealed a guarantee violation, run as regression tests. */

/** A seed and the fault that it revealed. */
export interface FailedSeed {
  readonly seed: number;
  readonly cause: string;
}

/** All seeds that have ever failed. */
export const FAILED_SEEDS: readonly FailedSeed[] = [
  {
    seed: 9,
    cause: "SIGHUP ended a starting router before it had installed its handler",
  },
];
