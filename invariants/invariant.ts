/** The interface of a failure run, which causes failures and checks a guarantee. */

/** Options of a run. */
export interface InvariantOptions {
  readonly seed: number;
  /** Rounds of random failures; undefined for the default of the run. */
  readonly rounds: number | undefined;
}

/** The result of a run. */
export interface InvariantOutcome {
  /** Violations of the guarantee; empty if it held. */
  readonly faults: readonly string[];
  /** Counts of what the run covered, such as requests and failures. */
  readonly figures: Readonly<Record<string, number>>;
}

/** One failure run. */
export interface Invariant {
  readonly name: string;
  /** The guarantee that it checks, as printed with its result. */
  readonly guarantee: string;
  /**
   * True for a run in which the guarantee must be violated, for example against
   * a naive implementation. It counts as held if the check reports faults, which
   * shows that the check can fail.
   */
  readonly isNegativeControl: boolean;
  run(options: InvariantOptions): Promise<InvariantOutcome>;
}
