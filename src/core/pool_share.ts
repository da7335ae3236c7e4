/**
 * The share of a pool's load that falls to one backend server. The load is that
 * of the last summary, which may be out of date.
 */

/**
 * Time in which a pool can lose most of its load when requests stop arriving:
 * the time constant of an exponential decay. Once the mean has fallen it is
 * assumed to keep falling at this rate, so that a stale mean lets no server
 * exceed the bound while the pool drains.
 */
export const MEAN_LOAD_DECAY_MILLISECONDS = 10_000;

/** A pool load not refreshed for three summary periods is assumed to fall. */
export const POOL_LOAD_FRESH_MILLISECONDS = 750;

/** Typical age of the loads in a summary on receipt. */
export const POOL_LOAD_LAG_MILLISECONDS = 400;

/** The summed load of all live servers of a pool. */
export interface PoolLoad {
  readonly totalTokens: number;
  readonly totalCapacityTokens: number;
  readonly engineCount: number;
}

/** A server's share of the load of its pool. */
export interface PoolShare {
  set(pool: PoolLoad | undefined, nowMilliseconds: number): void;
  /**
   * The share of a server of a capacity, if `addedTokens` were added to the
   * load that the pool had at the last summary.
   */
  tokens(capacityTokens: number, addedTokens: number): number;
  /** The same with the load that the pool has now at least. */
  tokensAt(
    nowMilliseconds: number,
    capacityTokens: number,
    addedTokens: number,
  ): number;
}

function _utilization({ totalTokens, totalCapacityTokens }: PoolLoad): number {
  return totalTokens / Math.max(1, totalCapacityTokens);
}

/** Creates the share of a pool whose load is not known. */
export function createPoolShare(): PoolShare {
  let pool: PoolLoad | undefined;
  let poolReceivedAt = 0;
  let isPoolFalling = true;

  function set(next: PoolLoad | undefined, at: number): void {
    if (at > poolReceivedAt) {
      isPoolFalling = !next || !pool || _utilization(next) < _utilization(pool);
    }
    pool = next;
    poolReceivedAt = at;
  }

  /** The server's share of the pool's load plus `addedTokens`. */
  function shareAtAge(
    poolAgeMilliseconds: number,
    capacityTokens: number,
    addedTokens: number,
  ): number {
    if (!pool || pool.totalCapacityTokens <= 0) return 0;
    const share = capacityTokens / pool.totalCapacityTokens;
    const mayDecay = isPoolFalling ||
      poolAgeMilliseconds > POOL_LOAD_FRESH_MILLISECONDS;
    const decayMilliseconds = mayDecay
      ? poolAgeMilliseconds + POOL_LOAD_LAG_MILLISECONDS
      : 0;
    const remainingRatio = Math.exp(
      -decayMilliseconds / MEAN_LOAD_DECAY_MILLISECONDS,
    );
    return (pool.totalTokens * remainingRatio + addedTokens) *
      Math.min(1, share);
  }

  return {
    set,
    tokens: (capacityTokens, addedTokens) =>
      shareAtAge(0, capacityTokens, addedTokens),
    tokensAt: (now, capacityTokens, addedTokens) =>
      shareAtAge(now - poolReceivedAt, capacityTokens, addedTokens),
  };
}
