/**
 * Whether a server has been responding without a gap, seen from one router. A gap
 * may hide a restart; a server without one has not been restarted meanwhile.
 */

/** Longest time between two responses of a server that was not restarted. */
const CONTINUITY_MILLISECONDS = 700;
/** A server without a response for this long may be restarting. */
const UNRESPONSIVE_MILLISECONDS = 1_000;

/** The responses of one server. */
export interface ResponseGaps {
  recordResponse(now: number): void;
  /** Records that a request got no response. */
  recordNoResponse(now: number): void;
  /** Whether requests have been without a response for about a second. */
  isUnresponsive(now: number): boolean;
  /** Whether responses came without a gap from before a time until now. */
  hasContinuedSince(at: number, now: number): boolean;
}

/** Creates the record of a server that has not responded yet. */
export function createResponseGaps(): ResponseGaps {
  let respondingSince = Number.POSITIVE_INFINITY;
  let respondedAt = Number.NEGATIVE_INFINITY;
  let silentSince = Number.POSITIVE_INFINITY;
  return {
    recordResponse(now) {
      const gap = now - respondedAt;
      if (gap >= CONTINUITY_MILLISECONDS) respondingSince = now;
      respondedAt = now;
      silentSince = Number.POSITIVE_INFINITY;
    },
    recordNoResponse(now) {
      silentSince = Math.min(silentSince, now);
    },
    isUnresponsive: (now) => now - silentSince >= UNRESPONSIVE_MILLISECONDS,
    hasContinuedSince: (at, now) =>
      respondingSince <= at && now - respondedAt < CONTINUITY_MILLISECONDS,
  };
}
