/** The shape that every bench returns, and how it is printed and judged. */

/** Options of one bench run. */
export interface BenchOptions {
  readonly seed: number;
  /** True for the larger sizes, which take longer than 45 s. */
  readonly large: boolean;
  /** Whether a bench that keeps figures in files writes them. */
  readonly write?: boolean;
}

/** A regression bound taken from a stated target. */
export interface BenchBound {
  readonly name: string;
  readonly value: number;
  readonly comparison: "at_most" | "at_least";
  readonly limit: number;
  /** True for bounds on elapsed or processor time, which CI leaves out. */
  readonly isTimed?: boolean;
}

/** One row of figures, printed as a row of a table. */
export type BenchRow = Readonly<Record<string, string | number>>;

/** What a bench measured. */
export interface BenchReport {
  readonly name: string;
  readonly rows: readonly BenchRow[];
  readonly bounds: readonly BenchBound[];
}

/** A bench module's entry point. */
export type RunBench = (options: BenchOptions) => Promise<BenchReport>;

/** Whether a bound holds. A value that is not a number never holds. */
export function isHeld(bound: BenchBound): boolean {
  return bound.comparison === "at_most"
    ? bound.value <= bound.limit
    : bound.value >= bound.limit;
}

/** Whether a report has bounds and all of them hold. */
export function isPassed(report: BenchReport): boolean {
  return report.bounds.length > 0 && report.bounds.every(isHeld);
}
