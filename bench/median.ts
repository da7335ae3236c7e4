/** Computes medians, which outliers on a shared machine affect less than means. */

/** Returns the median, or the upper of two middle values; NaN for an empty list. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}
