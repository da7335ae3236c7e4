/**
 * When an overloaded router closes kept connections of callers, so that they query the
 * directory again: only while other routers have room, only where the directory lists
 * routers by weight, and only as many as others can take over gradually.
 */
import {
  type EntryRouter,
  hasUnevenCapacities,
  meanUtilization,
  OVERLOAD_UTILIZATION,
} from "./entry_weights.ts";

/** A fleet above this mean utilization has no room for the callers of others. */
const FULL_FLEET_UTILIZATION = 0.7;
/** A short peak is over before a caller has found another router. */
const OVERLOAD_MILLISECONDS = 1_000;
/** Part of the connections that is closed in any one second. */
const CONNECTIONS_PER_CLOSED = 10;
const MILLISECONDS_PER_SECOND = 1_000;

/** Returns the time between two closed connections; of a few, one is closed less often. */
function _closeInterval(openConnections: number): number {
  const perSecond = openConnections / CONNECTIONS_PER_CLOSED;
  return MILLISECONDS_PER_SECOND /
    (perSecond >= 1 ? Math.floor(perSecond) : perSecond);
}

/** Decides when a router closes a connection after a response. */
export interface ConnectionShedding {
  /** Records this router's utilization and the routers that serve, itself included. */
  observe(
    utilization: number,
    routers: readonly EntryRouter[],
    now: number,
  ): void;
  /** Whether a connection may be closed now. */
  isDue(now: number): boolean;
  /** Records that one of the open connections is closed. */
  recordClosed(openConnections: number, now: number): void;
}

/** Creates the decision; times are monotonic, in milliseconds. */
export function createConnectionShedding(): ConnectionShedding {
  let overloadedSince = Number.POSITIVE_INFINITY;
  let nextAt = Number.NEGATIVE_INFINITY;

  function isOverloaded(
    utilization: number,
    routers: readonly EntryRouter[],
  ): boolean {
    if (utilization <= OVERLOAD_UTILIZATION) return false;
    const mean = meanUtilization(
      routers.map((router) => ({ router, weight: 1 })),
    );
    return mean < FULL_FLEET_UTILIZATION && hasUnevenCapacities(routers);
  }

  return {
    observe(utilization, routers, now) {
      overloadedSince = isOverloaded(utilization, routers)
        ? Math.min(overloadedSince, now)
        : Number.POSITIVE_INFINITY;
    },
    isDue: (now) =>
      now >= overloadedSince + OVERLOAD_MILLISECONDS && now >= nextAt,
    recordClosed(openConnections, now) {
      nextAt = now + _closeInterval(Math.max(1, openConnections));
    },
  };
}
