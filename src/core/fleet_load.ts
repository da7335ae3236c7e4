/**
 * Requests in flight at each backend server, summed over all routers. Routers
 * tell each other their own counts; what a router did not repeat in time no
 * longer counts.
 *
 * Load pattern: every router sees a sliver of the traffic, so choosing by its
 * own counts alone sends bursts of all routers to the same server.
 */
import type { BackendServerId } from "./ids.ts";

/** Counts of a router that fell silent are dropped after this time. */
export const REPORT_LIFETIME_MILLISECONDS = 3_000;

/** Requests in flight at one server, as one router counts them. */
export interface ServerLoad {
  readonly server: BackendServerId;
  readonly inFlight: number;
}

interface _PeerCounts {
  receivedAt: number;
  counts: ReadonlyMap<BackendServerId, number>;
}

/** The load of all servers as one router knows it. */
export class FleetLoad {
  readonly #own = new Map<BackendServerId, number>();
  readonly #peers = new Map<string, _PeerCounts>();
  readonly #foreign = new Map<BackendServerId, number>();
  #ownVersion = 0;

  /** Rises with every change of this router's own counts. */
  get ownVersion(): number {
    return this.#ownVersion;
  }

  /** Counts a request that is sent to a server. */
  started(server: BackendServerId): void {
    this.#own.set(server, (this.#own.get(server) ?? 0) + 1);
    this.#ownVersion++;
  }

  /** Counts the end of a request. */
  ended(server: BackendServerId): void {
    const left = (this.#own.get(server) ?? 0) - 1;
    if (left > 0) this.#own.set(server, left);
    else this.#own.delete(server);
    this.#ownVersion++;
  }

  /** This router's own counts. */
  ownLoads(): ServerLoad[] {
    return [...this.#own].map(([server, inFlight]) => ({ server, inFlight }));
  }

  /** Replaces the counts of a peer, or the sum of several under one name. */
  report(peer: string, loads: readonly ServerLoad[], now: number): void {
    const counts = new Map(
      loads.map(({ server, inFlight }) => [server, inFlight]),
    );
    this.#add(this.#peers.get(peer)?.counts, -1);
    this.#add(counts, 1);
    this.#peers.set(peer, { receivedAt: now, counts });
  }

  /** Drops the counts of peers that fell silent. */
  expire(now: number): void {
    for (const [peer, { receivedAt, counts }] of this.#peers) {
      if (now - receivedAt < REPORT_LIFETIME_MILLISECONDS) continue;
      this.#add(counts, -1);
      this.#peers.delete(peer);
    }
  }

  /** Drops the counts of all peers, because others will report them. */
  forgetReports(): void {
    this.#peers.clear();
    this.#foreign.clear();
  }

  /** Requests of all routers in flight at a server. */
  inFlight(server: BackendServerId): number {
    return (this.#own.get(server) ?? 0) + (this.#foreign.get(server) ?? 0);
  }

  /** Requests of this router in flight at a server. */
  ownInFlight(server: BackendServerId): number {
    return this.#own.get(server) ?? 0;
  }

  /** Age of the oldest counts in use, in milliseconds. */
  ageMilliseconds(now: number): number {
    let age = 0;
    for (const { receivedAt } of this.#peers.values()) {
      age = Math.max(age, now - receivedAt);
    }
    return age;
  }

  #add(
    counts: ReadonlyMap<BackendServerId, number> | undefined,
    sign: 1 | -1,
  ): void {
    for (const [server, count] of counts ?? []) {
      const sum = (this.#foreign.get(server) ?? 0) + sign * count;
      if (sum > 0) this.#foreign.set(server, sum);
      else this.#foreign.delete(server);
    }
  }
}

/** Creates a view without any load. */
export function createFleetLoad(): FleetLoad {
  return new FleetLoad();
}
