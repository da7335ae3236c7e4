/**
 * Decides what to do with a request after a failed attempt. A request that may
 * have run is sent again only if it is repeatable, and every further delivery
 * to a backend server is charged to the fleet's retry budget.
 */

import type { GatewayRoute } from "./gateway_configuration.ts";

/**
 * A server that takes longer than this multiple of the latency objective is
 * suspect.
 */
const RESPONSE_TIMEOUT_RATIO = 2;
const MINIMUM_RESPONSE_TIMEOUT_MILLISECONDS = 600;

/** Returns the time without a response after which a server is suspect. */
export function responseTimeoutMilliseconds(route: GatewayRoute): number {
  return Math.max(
    MINIMUM_RESPONSE_TIMEOUT_MILLISECONDS,
    RESPONSE_TIMEOUT_RATIO * route.latencyObjectiveMilliseconds,
  );
}

/** How an attempt ended without a complete response. */
export type AttemptFailure =
  /** No byte reached the server. */
  | "not_sent"
  /** The server reported that it did not run the request. */
  | "not_run"
  /** The server may have run the request. */
  | "unknown"
  /** The server returned an error response. */
  | "server_error"
  /** The response was interrupted after it had started. */
  | "broken";

/** A request's state after a failed attempt. */
export interface AttemptState {
  readonly failure: AttemptFailure;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Whether the body is buffered, so that it can be sent again. */
  readonly hasBody: boolean;
  /** Number of servers that may have run the request. */
  readonly runs: number;
  readonly maximumRuns: number;
  /** Number of servers that were sent the request or could not be reached. */
  readonly attempts: number;
  /** Whether the caller has received part of the response. */
  readonly hasBegun: boolean;
  /** Whether another server can continue a response that has started. */
  readonly isResumable: boolean;
  readonly remainingMilliseconds: number;
  /**
   * Takes one retry from the budget; called only if all other conditions allow
   * a retry.
   */
  readonly takeRetry: () => boolean;
}

/** The action after a failed attempt. */
export type NextStep =
  /** Try another server. */
  | "retry"
  /** Tell the caller that the request did not run. */
  | "reject"
  /** Tell the caller that the outcome is unknown. */
  | "fail"
  /** Close the connection, because the response cannot be completed. */
  | "cut"
  /** Forward the server's error response to the caller. */
  | "deliver";

/** Number of servers tried before a request is given up. */
const MAXIMUM_ATTEMPTS = 6;
/** Minimum time left that is enough for another attempt. */
const MINIMUM_REMAINING_MILLISECONDS = 20;

function _canRetry(state: AttemptState): boolean {
  return state.hasBody && state.attempts < MAXIMUM_ATTEMPTS &&
    state.remainingMilliseconds > MINIMUM_REMAINING_MILLISECONDS;
}

function _canRunAgain(state: AttemptState): boolean {
  return state.isRepeatable && state.runs < state.maximumRuns &&
    (!state.hasBegun || state.isResumable);
}

function _giveUp(state: AttemptState): NextStep {
  if (state.hasBegun) return "cut";
  if (state.failure === "server_error") return "deliver";
  // An earlier attempt may have run even if the last one did not.
  return state.runs > 0 ? "fail" : "reject";
}

/** Decides what to do after a failed attempt. */
export function decideNextStep(state: AttemptState): NextStep {
  if (!_canRetry(state)) return _giveUp(state);
  if (state.failure === "not_sent") return "retry";
  const canRun = state.failure === "not_run" || _canRunAgain(state);
  return canRun && state.takeRetry() ? "retry" : _giveUp(state);
}
