/**
 * Retries of requests: decides from the error table whether the same work may
 * be sent again, and pays for it from a budget that is a share of the traffic.
 */
import { ERROR_RESPONSES, type ErrorKind } from "./errors.ts";
import type { RandomSource } from "./random.ts";

const BASE_DELAY_MILLISECONDS = 25;
const MAXIMUM_DELAY_MILLISECONDS = 1_000;
/** Time over which traffic earns retries; older traffic no longer counts. */
const WINDOW_MILLISECONDS = 10_000;
/** A router with little traffic may still retry this often in a window. */
const MINIMUM_RETRIES = 1;
const SLOTS = 10;
const SLOT_MILLISECONDS = WINDOW_MILLISECONDS / SLOTS;

/** What a retry budget needs. */
export interface RetryBudgetOptions {
  /** Retries allowed for each request, for example 0.1; read at each decision. */
  readonly ratio: () => number;
  /** Retries allowed in a window besides the share; read at each decision. */
  readonly allowance?: () => number;
  readonly random: RandomSource;
}

interface _Slot {
  number: number;
  requests: number;
  retries: number;
}

/**
 * Whether sending the work again cannot run it twice and can succeed. The
 * error must be temporary: the table calls it retryable, or its outcome is
 * unknown and the work is idempotent.
 */
export function isSafeToRetry(kind: ErrorKind, idempotent: boolean): boolean {
  const { runState, retryable } = ERROR_RESPONSES[kind];
  if (runState === "not_run") return retryable;
  return idempotent && (retryable || _isTransient(kind));
}

/** Kinds that idempotent work may meet again, although it may have run. */
function _isTransient(kind: ErrorKind): boolean {
  return kind === "outcome_unknown" || kind === "answer_truncated" ||
    kind === "backend_failed" || kind === "stream_gone";
}

/** The retry budget of one router. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #slots: _Slot[] = Array.from(
    { length: SLOTS },
    () => ({ number: -1, requests: 0, retries: 0 }),
  );
  #allowed = 0;
  #refused = 0;

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Counts a first attempt; retries are not counted here. */
  recordRequest(now: number): void {
    this.#slot(now).requests++;
  }

  /** Spends a retry if the work may be sent again and the budget allows it. */
  mayRetry(kind: ErrorKind, idempotent: boolean, now: number): boolean {
    if (!isSafeToRetry(kind, idempotent)) return false;
    if (this.left(now) < 1) {
      this.#refused++;
      return false;
    }
    this.#slot(now).retries++;
    this.#allowed++;
    return true;
  }

  /** Retries that the budget allows now. */
  left(now: number): number {
    const oldest = this.#slot(now).number - SLOTS + 1;
    let [requests, retries] = [0, 0];
    for (const slot of this.#slots) {
      if (slot.number < oldest) continue;
      requests += slot.requests;
      retries += slot.retries;
    }
    const allowance = this.#options.allowance?.() ?? 0;
    const budget = this.#options.ratio() * requests + allowance;
    return Math.max(MINIMUM_RETRIES, budget) - retries;
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
    const slot = this.#slots[number % SLOTS] as _Slot;
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
