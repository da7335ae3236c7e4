/** The interface of a failure run, which causes failures and checks a guarantee. */

/** Options of one failure run. */
export interface InvariantOptions {
  readonly seed: number;
  /** Rounds of random failures; undefined for the failure run's default. */
  readonly rounds: number | undefined;
  /** Routers of the fleet, where a failure run lets them vary. */
  readonly routers?: number | undefined;
}

/** The result of one failure run. */
export interface InvariantOutcome {
  /** Violations; empty if the guarantee held. */
  readonly faults: readonly string[];
  /** Counts of what the run covered, such as requests and failures. */
  readonly figures: Readonly<Record<string, number>>;
}

/** A named failure run. */
export interface Invariant {
  readonly name: string;
  /** The checked guarantee, as printed with the result. */
  readonly guarantee: string;
  /**
   * True for a run that must violate the guarantee, such as one of a naive
   * version. The run counts as held if the check reports faults, which shows
   * that the check can fail.
   */
  readonly isNegativeControl: boolean;
  run(options: InvariantOptions): Promise<InvariantOutcome>;
}
