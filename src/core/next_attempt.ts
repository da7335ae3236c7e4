/**
 * What to do with a request after an attempt that brought no answer. Work that
 * may have run is repeated only if it is repeatable, and every further arrival
 * at a backend server is paid for from the fleet's retry budget.
 */

import type { GatewayRoute } from "./gateway_configuration.ts";

/** A server without an answer for this multiple of the objective is suspect. */
const RESPONSE_TIMEOUT_RATIO = 2;
const MINIMUM_RESPONSE_TIMEOUT_MILLISECONDS = 600;

/** Returns after what time without an answer a server is suspect. */
export function responseTimeoutMilliseconds(route: GatewayRoute): number {
  return Math.max(
    MINIMUM_RESPONSE_TIMEOUT_MILLISECONDS,
    RESPONSE_TIMEOUT_RATIO * route.latencyObjectiveMilliseconds,
  );
}

/** How an attempt ended without a complete answer. */
export type AttemptFailure =
  /** No byte reached the server. */
  | "not_sent"
  /** The server said that it did not run the request. */
  | "not_run"
  /** The server may have run the request. */
  | "unknown"
  /** The server answered with an error of its own. */
  | "server_error"
  /** The answer broke after it had begun. */
  | "broken";

/** What the decision depends on. */
export interface AttemptState {
  readonly failure: AttemptFailure;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Whether the body is held, so that it can be sent again. */
  readonly hasBody: boolean;
  /** Servers that may have run the request. */
  readonly runs: number;
  readonly maximumRuns: number;
  /** Servers that the request was sent to or tried at. */
  readonly attempts: number;
  /** Whether the caller has received a part of the answer. */
  readonly hasBegun: boolean;
  /** Whether the answer can go on at another server after it has begun. */
  readonly isResumable: boolean;
  readonly remainingMilliseconds: number;
  /** Takes one retry from the budget; asked only if everything else allows it. */
  readonly takeRetry: () => boolean;
}

/** What happens next. */
export type NextStep =
  /** Another server is tried. */
  | "retry"
  /** The caller is told that the request has not run. */
  | "reject"
  /** The caller is told that the outcome is unknown. */
  | "fail"
  /** The connection is closed, since the answer cannot be completed. */
  | "cut"
  /** The caller gets the server's own error. */
  | "deliver";

/** A request that found so many servers unusable is given up. */
const MAXIMUM_ATTEMPTS = 6;
/** Less time than this is not enough for another attempt. */
const MINIMUM_REMAINING_MILLISECONDS = 20;

function _mayTryAgain(state: AttemptState): boolean {
  return state.hasBody && state.attempts < MAXIMUM_ATTEMPTS &&
    state.remainingMilliseconds > MINIMUM_REMAINING_MILLISECONDS;
}

function _mayRunAgain(state: AttemptState): boolean {
  return state.isRepeatable && state.runs < state.maximumRuns &&
    (!state.hasBegun || state.isResumable);
}

function _giveUp(state: AttemptState): NextStep {
  if (state.hasBegun) return "cut";
  if (state.failure === "server_error") return "deliver";
  // An earlier attempt may have run even if the last one was not.
  return state.runs > 0 ? "fail" : "reject";
}

/** Decides what happens after a failed attempt. */
export function decideNextStep(state: AttemptState): NextStep {
  if (!_mayTryAgain(state)) return _giveUp(state);
  if (state.failure === "not_sent") return "retry";
  const mayRun = state.failure === "not_run" || _mayRunAgain(state);
  return mayRun && state.takeRetry() ? "retry" : _giveUp(state);
}
