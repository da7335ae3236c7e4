/**
 * Detects that a process stood still, from the lateness of a periodic call. A
 * process stands still when it gets no processor time, is paused, or computes
 * for long.
 */
import type { TimerService } from "./timer_service.ts";

/** A call that is later than this is reported as a stall. */
const MINIMUM_STALL_MILLISECONDS = 500;
/**
 * A signal that came while the process stood still may be handled this much after its
 * end: the operating system may deliver it to a thread that gets the processor late.
 */
const SIGNAL_DELIVERY_MILLISECONDS = 100;

/** Detects stalls between periodic calls. */
export interface StallDetector {
  /** Records a call; returns for how many milliseconds it was late, if it is a stall. */
  observe(): number | undefined;
  /**
   * Longest time in milliseconds for which a signal may have waited that is handled
   * now. It came after the last call behind which the event loop has polled, as that
   * poll would have found it. Shortly after a late call, it came after the call before.
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
  let polledBefore: number | undefined;

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
      timers.after(0, "poll", () => {
        const isLate = late >= SIGNAL_DELIVERY_MILLISECONDS;
        polledBefore = isLate ? polledAfter : calledAt;
        polledAfter = calledAt;
      });
      return late >= MINIMUM_STALL_MILLISECONDS ? late : undefined;
    },
    recentStillness() {
      const handledAt = now();
      const sincePoll = handledAt - (polledAfter ?? handledAt);
      if (sincePoll >= SIGNAL_DELIVERY_MILLISECONDS) return sincePoll;
      return handledAt - (polledBefore ?? polledAfter ?? handledAt);
    },
  };
}
