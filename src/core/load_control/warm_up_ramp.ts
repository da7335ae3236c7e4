/**
 * Raises the limit of a server after its cold period in steps, so that its load
 * does not come back all at once.
 */

/** The limit doubles with each step, and ends after the last. */
const STEP_MILLISECONDS = 500;
const STEPS = 4;
const STEP_FACTOR = 2;

/**
 * Returns the requests per second of the fleet some time after the cold period;
 * undefined if the limit has ended.
 */
export function decideRampLimit(
  requestsPerSecond: number,
  elapsedMilliseconds: number,
): number | undefined {
  const step = Math.floor(elapsedMilliseconds / STEP_MILLISECONDS);
  if (step >= STEPS) return undefined;
  return requestsPerSecond * STEP_FACTOR ** (step + 1);
}
