/**
 * Judges what a planned stop did to one request, from what its caller and the
 * backend servers saw. A request that a stopping router has read is lost if its
 * connection ends without a complete response, unless its server, its timeout or
 * the end of the grace explains that.
 *
 * All times are in milliseconds since the Unix epoch.
 */
import {
  guaranteesNotRun,
  hasOutlastedGrace,
  type ServerWork,
  type StopTimes,
} from "../stand_ins/request_guarantees.ts";

/** A request counts until this long after the end of the grace. */
const AFTER_GRACE_MILLISECONDS = 1_000;
/** A request that was not passed on may cross the close of its connection. */
const CROSSING_MILLISECONDS = 200;

/** Work of a backend server on a request. */
export interface ServerRun extends ServerWork {
  /** Whether the server ended the response early. */
  readonly hasBrokenOff: boolean;
}

/** One attempt of a caller, with the work that servers did for it. */
export interface ObservedRequest {
  readonly isIdempotent: boolean;
  /** The shorter of the route's timeout and the caller's deadline. */
  readonly timeoutMilliseconds: number;
  readonly headAt: number;
  /** When the last byte was sent; undefined if it was not. */
  readonly lastByteAt: number | undefined;
  /** When the response was complete or the connection ended. */
  readonly endedAt: number;
  /** Undefined if no response head arrived. */
  readonly status: number | undefined;
  readonly isComplete: boolean;
  readonly runs: readonly ServerRun[];
}

/** What a stop did to a request. */
export type StopVerdict =
  | "answered"
  /** The response promises that the request did not run, but it has. */
  | "run_despite_promise"
  | "outside_stop"
  | "not_sent_in_full"
  | "server_broke_off"
  | "timed_out"
  /** Its server was at work at the end of the grace, and it was sent in time. */
  | "outlasted_grace"
  | "crossed_close"
  | "lost";

function _judgeAnswer(request: ObservedRequest): StopVerdict {
  const { status, runs, isIdempotent } = request;
  const hasRun = runs.length > 0 && !isIdempotent;
  return guaranteesNotRun(status) && hasRun
    ? "run_despite_promise"
    : "answered";
}

function _isWithinStop(endedAt: number, stop: StopTimes): boolean {
  const lastMoment = stop.signalledAt + stop.graceMilliseconds +
    AFTER_GRACE_MILLISECONDS;
  return endedAt >= stop.signalledAt && endedAt <= lastMoment;
}

/** Judges a request that was taken by a router that was told to stop. */
export function judgeRequest(
  request: ObservedRequest,
  stop: StopTimes,
): StopVerdict {
  const { lastByteAt, endedAt, headAt, runs } = request;
  if (request.isComplete) return _judgeAnswer(request);
  if (!_isWithinStop(endedAt, stop)) return "outside_stop";
  if (lastByteAt === undefined) return "not_sent_in_full";
  if (runs.some(({ hasBrokenOff }) => hasBrokenOff)) return "server_broke_off";
  if (endedAt - headAt >= request.timeoutMilliseconds) return "timed_out";
  if (hasOutlastedGrace(lastByteAt, runs, stop)) return "outlasted_grace";
  const hasCrossed = endedAt - lastByteAt <= CROSSING_MILLISECONDS;
  return runs.length === 0 && hasCrossed ? "crossed_close" : "lost";
}
