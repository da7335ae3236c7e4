/**
 * Limits how long a keep-alive connection to the servers of a service may have
 * been idle before it is reused. Pure: the caller passes the time.
 *
 * Servers may drop idle connections silently and sooner than they announce. The
 * next request on such a connection is reset, and a request that must not run
 * more than once cannot be sent again.
 */

/**
 * A reset within this time of the send means that the server had already
 * dropped the connection.
 */
const DROPPED_RESET_MILLISECONDS = 20;
/** A connection idle for less was still in use; its reset has another cause. */
const MINIMUM_IDLE_MILLISECONDS = 50;
/** The new limit as a fraction of the idle time that was too long. */
const IDLE_LIMIT_RATIO = 0.5;
/** A limit expires this long after the last reset. */
const LIMIT_LIFETIME_MILLISECONDS = 20_000;

/** A reset of a reused connection before any response arrived. */
export interface ResetAfterIdle {
  /** Time for which the connection was idle before the request. */
  readonly idleMilliseconds: number;
  /** Time from the send to the reset. */
  readonly sentMilliseconds: number;
}

interface _Limit {
  readonly milliseconds: number;
  readonly expiresAt: number;
}

/** The idle limits that one router has learned for all services. */
export class IdleLimits {
  readonly #limits = new Map<string, _Limit>();

  /**
   * Records a reset; returns the new limit if the server had dropped the
   * connection.
   */
  recordReset(
    service: string,
    { idleMilliseconds, sentMilliseconds }: ResetAfterIdle,
    now: number,
  ): number | undefined {
    const wasDropped = sentMilliseconds < DROPPED_RESET_MILLISECONDS &&
      idleMilliseconds >= MINIMUM_IDLE_MILLISECONDS;
    if (!wasDropped) return undefined;
    const milliseconds = Math.min(
      this.limit(service, now),
      idleMilliseconds * IDLE_LIMIT_RATIO,
    );
    const expiresAt = now + LIMIT_LIFETIME_MILLISECONDS;
    this.#limits.set(service, { milliseconds, expiresAt });
    return milliseconds;
  }

  /**
   * Returns the longest idle time after which a connection is reused; infinite
   * by default.
   */
  limit(service: string, now: number): number {
    const limit = this.#limits.get(service);
    return limit && now < limit.expiresAt ? limit.milliseconds : Infinity;
  }
}

/** Creates an empty set of idle limits. */
export function createIdleLimits(): IdleLimits {
  return new IdleLimits();
}
