/**
 * Which routers a caller is told to use: those of its own data centre while
 * they have room, since bytes between data centres are dear, and others beside
 * them when they are few or busy.
 *
 * Load pattern: callers move to one data centre, or a burst comes there, and
 * its few routers would carry all of it.
 */
import type { DataCentreId, SocketAddress } from "./ids.ts";

/** A router that callers may be sent to. */
export interface EntryRouter {
  readonly callerAddress: SocketAddress;
  readonly dataCentre: DataCentreId;
  /** Share of its time that the router was busy, 0 to 1. */
  readonly busyShare: number;
}

/** Routers above this share of busy time on average have no room for more. */
const FULL_BUSY_RATIO = 0.7;
/** A caller needs another address if one router fails. */
const MINIMUM_ADDRESSES = 2;
/** Callers read at most this many addresses. */
const MAXIMUM_ADDRESSES = 64;

function _meanBusyShare(routers: readonly EntryRouter[]): number {
  const sum = routers.reduce((total, { busyShare }) => total + busyShare, 0);
  return routers.length > 0 ? sum / routers.length : 1;
}

/** Returns the addresses for a caller in a data centre. */
export function chooseEntryAddresses(
  routers: readonly EntryRouter[],
  dataCentre: DataCentreId | undefined,
): SocketAddress[] {
  const near = routers.filter((router) => router.dataCentre === dataCentre);
  const far = routers
    .filter((router) => router.dataCentre !== dataCentre)
    .sort((left, right) => left.busyShare - right.busyShare);
  const isFull = _meanBusyShare(near) > FULL_BUSY_RATIO;
  const added = isFull
    ? far
    : far.slice(0, Math.max(0, MINIMUM_ADDRESSES - near.length));
  return [...near, ...added]
    .slice(0, MAXIMUM_ADDRESSES)
    .map(({ callerAddress }) => callerAddress);
}
