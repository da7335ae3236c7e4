/** The median, which outliers on a shared machine affect less than the mean. */

/** Returns the median, or the upper of two middle values; NaN without values. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}
