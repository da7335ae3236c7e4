/** The figure that noise on a shared machine moves least. */

/** Returns the median, the upper one of two; NaN if there are no values. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}
