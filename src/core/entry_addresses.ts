/**
 * Chooses the router addresses that a caller gets: routers of its own data
 * centre while they have capacity, since traffic between data centres is
 * expensive, plus others when the local ones are few or busy. With local
 * routers only, the few of a data centre would have to handle all requests when
 * callers move there or a burst arrives.
 */
import type { DataCentreId, SocketAddress } from "./ids.ts";

/** A router whose address callers may get. */
export interface EntryRouter {
  readonly callerAddress: SocketAddress;
  readonly dataCentre: DataCentreId;
  /** Fraction of time that the router was busy, 0 to 1. */
  readonly busyShare: number;
}

/** Routers with a mean busy share above this have no spare capacity. */
const FULL_BUSY_RATIO = 0.7;
/** A caller needs a second address in case one router fails. */
const MINIMUM_ADDRESSES = 2;
/** Callers use at most this many addresses. */
const MAXIMUM_ADDRESSES = 64;

function _meanBusyShare(routers: readonly EntryRouter[]): number {
  const sum = routers.reduce((total, { busyShare }) => total + busyShare, 0);
  return routers.length > 0 ? sum / routers.length : 1;
}

/** Returns the router addresses for a caller in a data centre. */
export function chooseEntryAddresses(
  routers: readonly EntryRouter[],
  dataCentre: DataCentreId | undefined,
): SocketAddress[] {
  const local = routers.filter((router) => router.dataCentre === dataCentre);
  const remote = routers
    .filter((router) => router.dataCentre !== dataCentre)
    .sort((left, right) => left.busyShare - right.busyShare);
  const isLocalFull = _meanBusyShare(local) > FULL_BUSY_RATIO;
  const fallback = isLocalFull
    ? remote
    : remote.slice(0, Math.max(0, MINIMUM_ADDRESSES - local.length));
  return [...local, ...fallback]
    .slice(0, MAXIMUM_ADDRESSES)
    .map(({ callerAddress }) => callerAddress);
}
