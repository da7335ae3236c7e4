/** Decides on retries. This first version has no budget; the budget lands with its own change. */
import { ERROR_ANSWERS, type ErrorKind } from "./errors.ts";

const RETRY_DELAY_MILLISECONDS = 5;

/** Whether to retry, and after what delay. */
export interface RetryDecision {
  readonly allowed: boolean;
  readonly delayMilliseconds: number;
}

/** Decides on retries. */
export interface RetryBudget {
  recordRequest(nowMilliseconds: number): void;
  mayRetry(
    kind: ErrorKind,
    idempotent: boolean,
    nowMilliseconds: number,
  ): RetryDecision;
}

/** Creates the decision; it admits every retry that is safe. */
export function createRetryBudget(_options: unknown): RetryBudget {
  return {
    recordRequest: () => undefined,
    mayRetry: (kind, idempotent) => ({
      allowed: idempotent || ERROR_ANSWERS[kind].runState === "not_run",
      delayMilliseconds: RETRY_DELAY_MILLISECONDS,
    }),
  };
}
