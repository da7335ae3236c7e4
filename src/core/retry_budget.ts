/**
 * The retry budget: decides from the error table whether a request may be sent
 * again, and limits retries to a fraction of the traffic.
 */
import { ERROR_RESPONSES, type ErrorKind } from "./errors.ts";
import type { RandomSource } from "./random.ts";

/** Doubled for each attempt to get the upper limit of the random delay. */
const BASE_DELAY_MILLISECONDS = 25;
const MAXIMUM_DELAY_MILLISECONDS = 1_000;
/** Sliding window over which requests and retries are counted. */
const WINDOW_MILLISECONDS = 10_000;
/** Retries allowed in a window even with little traffic. */
const MINIMUM_RETRIES_PER_WINDOW = 1;
const SLOT_COUNT = 10;
const SLOT_MILLISECONDS = WINDOW_MILLISECONDS / SLOT_COUNT;

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries allowed per request, for example 0.1; read at each decision. */
  readonly ratio: () => number;
  /**
   * Retries allowed in a window in addition to the ratio; read at each
   * decision.
   */
  readonly allowance?: () => number;
  readonly random: RandomSource;
}

interface _Slot {
  number: number;
  requests: number;
  retries: number;
}

/**
 * Whether a retry can succeed and cannot run non-idempotent work twice. The
 * error must be temporary: the table marks it as retryable, or its outcome is
 * unknown and the work is idempotent.
 */
export function isSafeToRetry(kind: ErrorKind, idempotent: boolean): boolean {
  const { runState, retryable } = ERROR_RESPONSES[kind];
  if (runState === "not_run") return retryable;
  return idempotent && (retryable || _isTransient(kind));
}

/**
 * Errors after which idempotent work may be retried although it may have run.
 */
function _isTransient(kind: ErrorKind): boolean {
  return kind === "outcome_unknown" || kind === "answer_truncated" ||
    kind === "backend_failed" || kind === "stream_gone";
}

/** The retry budget of one router. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #slots: _Slot[] = Array.from(
    { length: SLOT_COUNT },
    () => ({ number: -1, requests: 0, retries: 0 }),
  );
  #allowed = 0;
  #refused = 0;

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Counts a first attempt; retries must not be recorded here. */
  recordRequest(now: number): void {
    this.#slot(now).requests++;
  }

  /** Takes one retry from the budget if retrying is safe and one is left. */
  tryTake(kind: ErrorKind, idempotent: boolean, now: number): boolean {
    if (!isSafeToRetry(kind, idempotent)) return false;
    if (this.remaining(now) < 1) {
      this.#refused++;
      return false;
    }
    this.#slot(now).retries++;
    this.#allowed++;
    return true;
  }

  /** Number of retries that the budget currently allows. */
  remaining(now: number): number {
    const oldest = this.#slot(now).number - SLOT_COUNT + 1;
    let [requests, retries] = [0, 0];
    for (const slot of this.#slots) {
      if (slot.number < oldest) continue;
      requests += slot.requests;
      retries += slot.retries;
    }
    const allowance = this.#options.allowance?.() ?? 0;
    const budget = this.#options.ratio() * requests + allowance;
    return Math.max(MINIMUM_RETRIES_PER_WINDOW, budget) - retries;
  }

  /** Delay before attempt number `attempt` (from 1), with full jitter. */
  delayMilliseconds(attempt: number): number {
    const ceiling = Math.min(
      MAXIMUM_DELAY_MILLISECONDS,
      BASE_DELAY_MILLISECONDS * 2 ** attempt,
    );
    return this.#options.random.next() * ceiling;
  }

  /** Counters for the state dump. */
  describe(): unknown {
    return { allowed: this.#allowed, refused: this.#refused };
  }

  #slot(now: number): _Slot {
    const number = Math.floor(now / SLOT_MILLISECONDS);
    const slot = this.#slots[number % SLOT_COUNT] as _Slot;
    if (slot.number !== number) {
      slot.number = number;
      slot.requests = 0;
      slot.retries = 0;
    }
    return slot;
  }
}

/** Creates the retry budget of one router. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  return new RetryBudget(options);
}
