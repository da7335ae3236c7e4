/**
 * A token bucket with an adjustable rate. Its burst is short, so that no window
 * of a few seconds admits much more than the rate.
 */

/** The bucket holds at most the tokens that accrue in this time. */
const BURST_MILLISECONDS = 250;

/** A bucket of request tokens. */
export interface TokenBucket {
  /** Takes one token if one is available. */
  tryTake(now: number): boolean;
  /** Changes the rate; accrued tokens are kept up to the new burst size. */
  setRate(tokensPerSecond: number, now: number): void;
  /** Current rate in tokens per second. */
  rate(): number;
  /**
   * Time since when, or from which on, a token is available; infinite while the
   * rate is 0 and none is left.
   */
  availableAt(now: number): number;
}

/**
 * Creates a bucket that starts with a full burst, so that the first requests of
 * a previously idle workspace are admitted.
 */
export function createTokenBucket(
  tokensPerSecond: number,
  now: number,
): TokenBucket {
  let rate = tokensPerSecond;
  let tokens = burst();
  let refilledAt = now;
  let availableAt = now;

  function burst(): number {
    return Math.max(1, rate * BURST_MILLISECONDS / 1_000);
  }

  function refill(at: number): void {
    const elapsed = Math.max(0, at - refilledAt);
    refilledAt = Math.max(at, refilledAt);
    tokens = Math.min(burst(), tokens + rate * elapsed / 1_000);
  }

  function updateAvailability(): void {
    if (tokens >= 1) return;
    const missing = (1 - tokens) * 1_000;
    availableAt = rate > 0 ? refilledAt + missing / rate : Infinity;
  }

  return {
    tryTake(at) {
      refill(at);
      if (tokens < 1) return false;
      tokens--;
      updateAvailability();
      return true;
    },
    setRate(next, at) {
      refill(at);
      rate = next;
      tokens = Math.min(tokens, burst());
      updateAvailability();
    },
    rate: () => rate,
    availableAt(at) {
      refill(at);
      return availableAt;
    },
  };
}
