/** Classifies failed calls by whether the request may have been executed. */
import { type ApplicationError, errorResponseFor } from "./core/errors.ts";

/** The request was not executed and never will be for this call. */
export interface NotRun {
  readonly kind: "not_run";
  readonly error: ApplicationError;
}

/** The request may have been executed; the caller must find out by its own means. */
export interface OutcomeUnknown {
  readonly kind: "outcome_unknown";
  readonly error: ApplicationError;
}

/** Why a call returned no response. */
export type CallFailure = NotRun | OutcomeUnknown;

/** Classifies an error by whether the request may have been executed. */
export function toCallFailure(error: ApplicationError): CallFailure {
  const kind = errorResponseFor(error).runState === "not_run"
    ? "not_run"
    : "outcome_unknown";
  return { kind, error };
}
