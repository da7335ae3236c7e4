/** The report that every bench returns, and the check of its bounds. */

/** Options of one bench run. */
export interface BenchOptions {
  readonly seed: number;
  /** True to use the larger sizes, which take longer than 45 s. */
  readonly large: boolean;
  /** Whether a bench that stores its figures in files updates them. */
  readonly write?: boolean;
}

/** A regression bound derived from a performance target. */
export interface BenchBound {
  readonly name: string;
  readonly value: number;
  readonly comparison: "at_most" | "at_least";
  readonly limit: number;
  /** True for bounds on elapsed or processor time, which CI does not check. */
  readonly isTimed?: boolean;
}

/** One row of the printed table of figures. */
export type BenchRow = Readonly<Record<string, string | number>>;

/** The measured figures and the bounds of one bench. */
export interface BenchReport {
  readonly name: string;
  readonly rows: readonly BenchRow[];
  readonly bounds: readonly BenchBound[];
}

/** The entry point of a bench module. */
export type RunBench = (options: BenchOptions) => Promise<BenchReport>;

/** Returns whether a value is within its bound; NaN never is. */
export function isMet(bound: BenchBound): boolean {
  return bound.comparison === "at_most"
    ? bound.value <= bound.limit
    : bound.value >= bound.limit;
}

/** Returns whether a report has bounds and meets all of them. */
export function hasPassed(report: BenchReport): boolean {
  return report.bounds.length > 0 && report.bounds.every(isMet);
}
