/**
 * Remembers the routers that a router lost without a departure, beyond the time
 * for which peers are kept. They may be cut off rather than dead, and then still
 * use their part of a limit.
 */
import { evictOldest } from "../bounded_map.ts";
import type { SocketAddress } from "../ids.ts";
import {
  type FleetMember,
  WARM_UP_CUT_OFF_MILLISECONDS,
} from "./rate_limit_shares.ts";

/**
 * A lost router that is no longer among the peers has expired if it was silent for
 * this long; otherwise it has left.
 */
const EXPIRED_SILENCE_MILLISECONDS = 25_000;
const MAXIMUM_LOST_ROUTERS = 1_024;

/** The routers that were lost without a departure. */
export interface FleetMemory {
  /** Returns the members with those that are remembered. */
  complete(members: readonly FleetMember[], now: number): FleetMember[];
}

/** Creates a memory without routers. */
export function createFleetMemory(): FleetMemory {
  /** When lost routers were last heard. */
  const lost = new Map<SocketAddress, number>();
  let silent = new Map<SocketAddress, number>();

  function keepExpired(present: ReadonlySet<SocketAddress>, now: number): void {
    for (const [address, heardAt] of silent) {
      if (present.has(address)) continue;
      if (now - heardAt < EXPIRED_SILENCE_MILLISECONDS) continue;
      lost.set(address, heardAt);
      evictOldest(lost, MAXIMUM_LOST_ROUTERS);
    }
  }

  function forget(present: ReadonlySet<SocketAddress>, now: number): void {
    for (const [address, heardAt] of lost) {
      const isOver = now - heardAt >= WARM_UP_CUT_OFF_MILLISECONDS;
      if (isOver || present.has(address)) lost.delete(address);
    }
  }

  return {
    complete(members, now) {
      const present = new Set(members.map(({ address }) => address));
      keepExpired(present, now);
      forget(present, now);
      silent = new Map(
        members.filter(({ isHeard }) => !isHeard).map((
          { address, silentMilliseconds },
        ) => [address, now - silentMilliseconds]),
      );
      const remembered = [...lost].map(([address, heardAt]) => ({
        address,
        isHeard: false,
        silentMilliseconds: now - heardAt,
      }));
      return [...members, ...remembered];
    },
  };
}
