/**
 * The routers that recently took backend servers over from this router. Until the
 * grace period ends, messages of routers that do not know of the change yet are
 * forwarded to them.
 */
import type { BackendServerId, HostId, SocketAddress } from "./core/ids.ts";

/**
 * A router that is no longer the owner keeps deciding for this long unless the
 * new owner takes over earlier, as other routers may learn of the change later.
 */
export const HANDOVER_GRACE_MILLISECONDS = 5_000;

/** The router that took over a backend server. */
export interface Successor {
  readonly host: HostId;
  readonly address: SocketAddress;
}

/** The successors of one router. */
export interface ServerSuccessors {
  add(
    server: BackendServerId,
    successor: Successor,
    nowMilliseconds: number,
  ): void;
  get(server: BackendServerId): Successor | undefined;
  /** Removes a successor; returns whether there was one. */
  remove(server: BackendServerId): boolean;
  /** Whether the grace period of a server is over, if there was one. */
  canOwn(server: BackendServerId, nowMilliseconds: number): boolean;
  /** Removes successors whose grace period is over; returns whether any was. */
  expire(nowMilliseconds: number): boolean;
  servers(): BackendServerId[];
}

/** Creates the successors of a router, of which there are none at first. */
export function createServerSuccessors(): ServerSuccessors {
  const successors = new Map<
    BackendServerId,
    { readonly successor: Successor; readonly until: number }
  >();

  function expire(now: number): boolean {
    let hasExpired = false;
    for (const [server, { until }] of successors) {
      if (now < until) continue;
      successors.delete(server);
      hasExpired = true;
    }
    return hasExpired;
  }

  return {
    add: (server, successor, now) => {
      const until = now + HANDOVER_GRACE_MILLISECONDS;
      successors.set(server, { successor, until });
    },
    get: (server) => successors.get(server)?.successor,
    remove: (server) => successors.delete(server),
    canOwn: (server, now) =>
      now >= (successors.get(server)?.until ?? -Infinity),
    expire,
    servers: () => [...successors.keys()],
  };
}
