/**
 * Detects that a process stood still, from the lateness of a periodic call. A
 * process stands still when it gets no processor time, is paused, or computes
 * for long.
 */

/** A call that is later than this is reported as a stall. */
const MINIMUM_STALL_MILLISECONDS = 500;

/** Detects stalls between periodic calls. */
export interface StallDetector {
  /** Records a call; returns how long the process stood still before it, if so. */
  observe(now: number): number | undefined;
}

/** Creates a detector for calls that are due every `periodMilliseconds`. */
export function createStallDetector(
  periodMilliseconds: number,
): StallDetector {
  let last: number | undefined;
  return {
    observe(now) {
      const late = last === undefined ? 0 : now - last - periodMilliseconds;
      last = now;
      return late >= MINIMUM_STALL_MILLISECONDS ? late : undefined;
    },
  };
}
