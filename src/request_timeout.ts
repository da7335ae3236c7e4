/**
 * The time limit of a request. A response that has begun when the limit is reached
 * may end a little later, since cutting it would waste what the caller has received.
 * What is given up names its cause: a caller that sends or reads too slowly, or a
 * server that has not responded in time.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Subscription, TimerService } from "./timer_service.ts";

/** A response may arrive this much after the request's timeout. */
const TIMEOUT_GRACE_MILLISECONDS = 40;
/** A response that has begun may end this much after the timeout. */
const STREAM_GRACE_MILLISECONDS = 300;

/** Options of a request's time limit. */
export interface RequestTimeoutOptions {
  readonly timers: TimerService;
  readonly timeoutMilliseconds: number;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /**
   * Called with the cause when the time for a response, or for the end of a begun
   * one, is over.
   */
  readonly onTimeout: (cause: string) => void;
}

/** Returns why a request has not ended within its time limit. */
function _describeTimeout(
  request: IncomingMessage,
  response: ServerResponse,
): string {
  // What is written waits here only while the caller does not read.
  if (response.writableNeedDrain) return "the caller reads too slowly";
  // A paused body waits for the server, not for its caller.
  return request.complete || request.isPaused()
    ? "the request timed out"
    : "the body came too slowly";
}

/** Starts the time limit of a request; cancel it when the request ends. */
export function startRequestTimeout(
  { timers, timeoutMilliseconds, request, response, onTimeout }:
    RequestTimeoutOptions,
): Pick<Subscription, "cancel"> {
  function end(): void {
    onTimeout(_describeTimeout(request, response));
  }

  let timer = timers.after(
    timeoutMilliseconds + TIMEOUT_GRACE_MILLISECONDS,
    "request limit",
    () => {
      if (!response.headersSent) return end();
      timer = timers.after(STREAM_GRACE_MILLISECONDS, "stream limit", end);
    },
  );
  return { cancel: () => timer.cancel() };
}

/** Options of the time limit for the rest of a response. */
export interface UnreadResponseOptions {
  readonly timers: TimerService;
  /** Time that the request has left; negative if its limit is over. */
  readonly remainingMilliseconds: number;
  readonly response: ServerResponse;
  /** Called before the connection is closed, with the bytes that wait. */
  readonly onGivenUp: (unsentBytes: number) => void;
}

/**
 * Limits the time in which a caller reads the rest of a response that has ended, as
 * if its server were still sending: the rest stays in memory until then.
 */
export function limitUnreadResponse(options: UnreadResponseOptions): void {
  const { timers, remainingMilliseconds, response, onGivenUp } = options;
  // Without a socket it waits for earlier responses on its connection.
  if (response.writableFinished || !response.socket) return;
  const timer = timers.after(
    Math.max(0, remainingMilliseconds) + TIMEOUT_GRACE_MILLISECONDS +
      STREAM_GRACE_MILLISECONDS,
    "unread response",
    () => {
      const { socket } = response;
      if (response.writableFinished || !socket) return;
      onGivenUp(socket.writableLength);
      socket.destroy();
    },
  );
  response.once("close", () => timer.cancel());
}
