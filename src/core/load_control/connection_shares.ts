/**
 * The connections to one server that a router may have. A server accepts a limited
 * number from all routers together and resets those beyond it. No router knows how
 * many the others have, so each keeps to an equal part.
 */

/**
 * Part of the connections that all routers use together. A server accepts fewer while
 * its queue is long, and routers that have just started count the others too low.
 */
const USABLE_RATIO = 0.9;
/** With one connection, every request would wait for the end of the one before it. */
const MINIMUM_SHARE = 2;

/** Returns the connections to a server that one of the routers may have. */
export function decideConnectionShare(
  maximumConnections: number,
  sharingRouters: number,
): number {
  const share = USABLE_RATIO * maximumConnections / Math.max(1, sharingRouters);
  return Math.max(MINIMUM_SHARE, Math.floor(share));
}
