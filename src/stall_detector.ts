/**
 * Detects that a process stood still, from the lateness of a periodic call. A
 * process stands still when it gets no processor time, is paused, or computes
 * for long.
 */
import type { TimerService } from "./timer_service.ts";

/** A call that is later than this is reported as a stall. */
const MINIMUM_STALL_MILLISECONDS = 500;

/** Detects stalls between periodic calls. */
export interface StallDetector {
  /** Records a call; returns for how many milliseconds it was late, if it is a stall. */
  observe(): number | undefined;
  /**
   * Longest time in milliseconds for which a signal may have waited that is handled
   * now. It came after the last call behind which the event loop has polled, as that
   * poll would have found it.
   */
  recentStillness(): number;
}

/** Creates a detector for calls that are due every `periodMilliseconds`. */
export function createStallDetector(
  periodMilliseconds: number,
  timers: TimerService,
): StallDetector {
  let last: number | undefined;
  let polledAfter: number | undefined;

  function now(): number {
    return timers.clock.monotonicMilliseconds();
  }

  return {
    observe() {
      const calledAt = now();
      polledAfter ??= calledAt;
      const late = last === undefined
        ? 0
        : calledAt - last - periodMilliseconds;
      last = calledAt;
      // Timers run in a later turn, after its poll.
      timers.after(0, "poll", () => polledAfter = calledAt);
      return late >= MINIMUM_STALL_MILLISECONDS ? late : undefined;
    },
    recentStillness() {
      return now() - (polledAfter ?? now());
    },
  };
}
