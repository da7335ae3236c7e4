/** What a failed call says about the work: not run, or unknown. */
import { type ApplicationError, errorResponseFor } from "./core/errors.ts";

/** Proof that the work was not done and never will be for this call. */
export interface NotRun {
  readonly kind: "not_run";
  readonly error: ApplicationError;
}

/** The work may or may not have been done; the caller must find out by its own means. */
export interface OutcomeUnknown {
  readonly kind: "outcome_unknown";
  readonly error: ApplicationError;
}

/** Why a call brought no answer. */
export type CallFailure = NotRun | OutcomeUnknown;

/** Sorts an error by what it says about the work. */
export function toCallFailure(error: ApplicationError): CallFailure {
  const kind = errorResponseFor(error).runState === "not_run"
    ? "not_run"
    : "outcome_unknown";
  return { kind, error };
}
