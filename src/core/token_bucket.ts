/**
 * A token bucket whose rate may change while it runs. It holds a short burst
 * only, so a window of some seconds never admits much more than its rate.
 */

/** Tokens accrue for this long while nothing is taken. */
const BURST_MILLISECONDS = 250;

/** A bucket of request tokens. */
export interface TokenBucket {
  /** Takes one token if there is one. */
  tryTake(now: number): boolean;
  /** Changes the rate; tokens already accrued are kept up to the new burst. */
  setRate(tokensPerSecond: number, now: number): void;
  /** Current rate in tokens a second. */
  rate(): number;
}

/**
 * Creates a bucket that holds one burst, so that the first requests of a
 * workspace that was idle are admitted.
 */
export function createTokenBucket(
  tokensPerSecond: number,
  now: number,
): TokenBucket {
  let rate = tokensPerSecond;
  let tokens = burst();
  let filledAt = now;

  function burst(): number {
    return Math.max(1, rate * BURST_MILLISECONDS / 1_000);
  }

  function fill(at: number): void {
    const elapsed = Math.max(0, at - filledAt);
    filledAt = Math.max(at, filledAt);
    tokens = Math.min(burst(), tokens + rate * elapsed / 1_000);
  }

  return {
    tryTake(at) {
      fill(at);
      if (tokens < 1) return false;
      tokens--;
      return true;
    },
    setRate(next, at) {
      fill(at);
      rate = next;
      tokens = Math.min(tokens, burst());
    },
    rate: () => rate,
  };
}
