/**
 * Records when this process did not run what was due, by the lateness of a periodic
 * call. Data that arrived meanwhile is read after that call, as timers run before
 * the poll of a turn.
 */
import type { LoopStalls } from "./core/load_control/stream_gaps.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

/** A recorded stall may begin up to this much later than the real one. */
const CHECK_PERIOD_MILLISECONDS = 50;
/** Timers of an unloaded process may be late by less. */
const MINIMUM_STALL_MILLISECONDS = 10;

/** Observes the stalls of this process until the subscription is cancelled. */
export function observeLoopStalls(
  stalls: LoopStalls,
  timers: TimerService,
): Subscription {
  const { clock } = timers;
  let dueAt = clock.monotonicMilliseconds() + CHECK_PERIOD_MILLISECONDS;

  function check(): void {
    const now = clock.monotonicMilliseconds();
    if (now - dueAt >= MINIMUM_STALL_MILLISECONDS) stalls.record(dueAt, now);
    dueAt = now + CHECK_PERIOD_MILLISECONDS;
  }

  return timers.every(CHECK_PERIOD_MILLISECONDS, "loop stalls", check);
}
