/** The shape of a failure run: it brings a failure about and checks a promise. */

/** Options of a run. */
export interface InvariantOptions {
  readonly seed: number;
  /** How many rounds of random failures; undefined for the default. */
  readonly rounds: number | undefined;
}

/** What a run found. An empty list of faults means that the promise held. */
export interface InvariantOutcome {
  readonly faults: readonly string[];
  /** Counts that show what was exercised, such as requests and failures. */
  readonly figures: Readonly<Record<string, number>>;
}

/** One failure run. */
export interface Invariant {
  readonly name: string;
  /** The promise of the product that it checks. */
  readonly promise: string;
  /**
   * True for a run against a naive version. It counts as held when the check
   * reports faults, which shows that the check can fail.
   */
  readonly isNaive: boolean;
  run(options: InvariantOptions): Promise<InvariantOutcome>;
}
