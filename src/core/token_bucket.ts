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

  function burst(): number {
    return Math.max(1, rate * BURST_MILLISECONDS / 1_000);
  }

  function refill(at: number): void {
    const elapsed = Math.max(0, at - refilledAt);
    refilledAt = Math.max(at, refilledAt);
    tokens = Math.min(burst(), tokens + rate * elapsed / 1_000);
  }

  return {
    tryTake(at) {
      refill(at);
      if (tokens < 1) return false;
      tokens--;
      return true;
    },
    setRate(next, at) {
      refill(at);
      rate = next;
      tokens = Math.min(tokens, burst());
    },
    rate: () => rate,
  };
}
