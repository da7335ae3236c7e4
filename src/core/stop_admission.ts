/**
 * Decides whether a stopping router takes a request. Whatever it has passed on when
 * its grace time ends is cut, so it takes what ends before that by the request's own
 * time limit. An estimate from recent durations is no promise: it counts only while
 * callers cannot know of the stop yet, and where other routers serve, so that a
 * rejected caller loses little, only with a margin.
 */

/** An estimate counts for this long, in which callers learn that a router stops. */
const ESTIMATE_WINDOW_MILLISECONDS = 2_000;
/** How many times the longest recent duration must fit if other routers serve. */
const ESTIMATE_MARGIN_FACTOR = 2;

/** How far a planned stop is. */
export interface StopProgress {
  readonly sinceSignalMilliseconds: number;
  /** Time until all requests must have an answer. */
  readonly remainingMilliseconds: number;
  /** Whether a rejected caller can turn to another router. */
  readonly hasOtherRouters: boolean;
}

/** What is known of the duration of a request. */
export interface StoppableRequest {
  /** Time until it times out, whatever its server does. */
  readonly timeoutMilliseconds: number;
  /** Longest duration of its route's recent requests; 0 if there were none. */
  readonly longestRecentMilliseconds: number;
  /** Whether its server gets the body while it is still arriving. */
  readonly isStreamed: boolean;
}

/** Why a router takes a request, or that it does not. */
export type StopAdmission =
  /** The router is not stopping. */
  | "not_stopping"
  /** It ends in time by its own time limit. */
  | "within_timeout"
  /** Requests like it have ended in time. */
  | "within_estimate"
  /** It may not end in time. */
  | "too_long";

/** Returns whether a stopping router takes a request, and why. */
export function decideStopAdmission(
  stop: StopProgress,
  request: StoppableRequest,
): StopAdmission {
  const { remainingMilliseconds } = stop;
  if (remainingMilliseconds <= 0) return "too_long";
  if (request.timeoutMilliseconds <= remainingMilliseconds) {
    return "within_timeout";
  }
  const { longestRecentMilliseconds } = request;
  // A caller may take any time for the rest of a body.
  const isKnown = longestRecentMilliseconds > 0 && !request.isStreamed &&
    stop.sinceSignalMilliseconds <= ESTIMATE_WINDOW_MILLISECONDS;
  if (!isKnown) return "too_long";
  const factor = stop.hasOtherRouters ? ESTIMATE_MARGIN_FACTOR : 1;
  return longestRecentMilliseconds * factor <= remainingMilliseconds
    ? "within_estimate"
    : "too_long";
}
