/**
 * The time limit of a request. A response that has begun when the limit is reached
 * may end a little later, since cutting it would waste what the caller has received.
 */
import type { Subscription, TimerService } from "./timer_service.ts";

/** A response may arrive this much after the request's timeout. */
const TIMEOUT_GRACE_MILLISECONDS = 40;
/** A response that has begun may end this much after the timeout. */
const STREAM_GRACE_MILLISECONDS = 300;

/** Options of a request's time limit. */
export interface RequestTimeoutOptions {
  readonly timers: TimerService;
  readonly timeoutMilliseconds: number;
  /** Whether a part of the response was sent to the caller. */
  readonly hasBegun: () => boolean;
  /** Called when the time for a response, or for the end of a begun one, is over. */
  readonly onTimeout: () => void;
}

/** Starts the time limit of a request; cancel it when the request ends. */
export function startRequestTimeout(
  { timers, timeoutMilliseconds, hasBegun, onTimeout }: RequestTimeoutOptions,
): Pick<Subscription, "cancel"> {
  let timer = timers.after(
    timeoutMilliseconds + TIMEOUT_GRACE_MILLISECONDS,
    "request limit",
    () => {
      if (!hasBegun()) return onTimeout();
      timer = timers.after(
        STREAM_GRACE_MILLISECONDS,
        "stream limit",
        onTimeout,
      );
    },
  );
  return { cancel: () => timer.cancel() };
}
