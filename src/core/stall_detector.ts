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
  /**
   * How long the process may have stood still until now: by how much the last two
   * calls are further in the past than they should be. After a pause the periodic
   * call may come before whatever else was waiting, so the last one tells nothing.
   */
  recentStillness(now: number): number;
}

/** Creates a detector for calls that are due every `periodMilliseconds`. */
export function createStallDetector(
  periodMilliseconds: number,
): StallDetector {
  let last: number | undefined;
  let beforeLast: number | undefined;
  return {
    observe(now) {
      const late = last === undefined ? 0 : now - last - periodMilliseconds;
      beforeLast = last;
      last = now;
      return late >= MINIMUM_STALL_MILLISECONDS ? late : undefined;
    },
    recentStillness(now) {
      const since = beforeLast ?? last ?? now;
      return Math.max(0, now - since - periodMilliseconds);
    },
  };
}
