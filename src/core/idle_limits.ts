/**
 * How long a kept connection to the servers of a service may have rested before
 * it is used again. Pure: the caller passes the time.
 *
 * Load pattern: servers drop idle connections without a word and sooner than
 * they announce. What is sent next on such a connection is reset, and work that
 * may run once only cannot be sent again.
 */

/** A reset this soon after the send means that the server had dropped the connection. */
const DROPPED_RESET_MILLISECONDS = 20;
/** A connection that rested for less was in use; its reset has another cause. */
const MINIMUM_IDLE_MILLISECONDS = 50;
/** Connections are used again after this part of the rest that was too long. */
const IDLE_LIMIT_RATIO = 0.5;
/** A limit is kept for this long after the last reset. */
const LIMIT_LIFETIME_MILLISECONDS = 20_000;

/** A request on a kept connection that was reset before any answer. */
export interface ResetAfterIdle {
  /** Time for which the connection had not been used. */
  readonly idleMilliseconds: number;
  /** Time from the send to the reset. */
  readonly sentMilliseconds: number;
}

interface _Limit {
  readonly milliseconds: number;
  readonly until: number;
}

/** The limits of all services, as one router has met them. */
export class IdleLimits {
  readonly #limits = new Map<string, _Limit>();

  /** Records a reset; returns the new limit if the connection had been dropped. */
  recordReset(
    service: string,
    { idleMilliseconds: restedMilliseconds, sentMilliseconds }: ResetAfterIdle,
    now: number,
  ): number | undefined {
    const wasDropped = sentMilliseconds < DROPPED_RESET_MILLISECONDS &&
      restedMilliseconds >= MINIMUM_IDLE_MILLISECONDS;
    if (!wasDropped) return undefined;
    const milliseconds = Math.min(
      this.limit(service, now),
      restedMilliseconds * IDLE_LIMIT_RATIO,
    );
    const until = now + LIMIT_LIFETIME_MILLISECONDS;
    this.#limits.set(service, { milliseconds, until });
    return milliseconds;
  }

  /** Longest rest after which a connection is used again; infinite by default. */
  limit(service: string, now: number): number {
    const limit = this.#limits.get(service);
    return limit && now < limit.until ? limit.milliseconds : Infinity;
  }
}

/** Creates limits that nothing is known of yet. */
export function createIdleLimits(): IdleLimits {
  return new IdleLimits();
}
