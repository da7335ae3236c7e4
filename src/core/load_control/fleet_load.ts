/**
 * Requests in flight at each backend server, summed over all routers. Routers
 * report their own counts to each other; counts that are not refreshed in time
 * expire.
 *
 * Every router sees only a small part of the traffic. Routers that chose by
 * their own counts alone would send simultaneous bursts to one server.
 */
import type { BackendServerId } from "../ids.ts";

/** The counts of a router that stopped reporting expire after this time. */
export const REPORT_LIFETIME_MILLISECONDS = 3_000;

/** Requests in flight at one server, as counted by one router. */
export interface InFlightCount {
  readonly server: BackendServerId;
  readonly inFlight: number;
  /** Uncached prompt tokens of these requests that are not processed yet. */
  readonly promptTokens?: number;
}

interface _RemoteReport {
  receivedAt: number;
  counts: readonly InFlightCount[];
}

function _add(
  sums: Map<BackendServerId, number>,
  server: BackendServerId,
  count: number,
): void {
  const sum = (sums.get(server) ?? 0) + count;
  if (sum > 0) sums.set(server, sum);
  else sums.delete(server);
}

/** The load of all servers as known to one router. */
export class FleetLoad {
  readonly #own = new Map<BackendServerId, number>();
  readonly #remoteReports = new Map<string, _RemoteReport>();
  readonly #remote = new Map<BackendServerId, number>();
  readonly #remotePromptTokens = new Map<BackendServerId, number>();
  #ownVersion = 0;
  #onReport: () => void = () => undefined;

  /** Increases with every change of this router's own counts. */
  get ownVersion(): number {
    return this.#ownVersion;
  }

  /** Calls the listener after a peer's counts have changed; replaces another. */
  onReport(listener: () => void): void {
    this.#onReport = listener;
  }

  /** Counts a request that is sent to a server. */
  requestStarted(server: BackendServerId): void {
    this.#own.set(server, (this.#own.get(server) ?? 0) + 1);
    this.#ownVersion++;
  }

  /** Counts the end of a request. */
  requestEnded(server: BackendServerId): void {
    const remaining = (this.#own.get(server) ?? 0) - 1;
    if (remaining > 0) this.#own.set(server, remaining);
    else this.#own.delete(server);
    this.#ownVersion++;
  }

  /** Returns this router's own counts. */
  ownLoads(): InFlightCount[] {
    return [...this.#own].map(([server, inFlight]) => ({ server, inFlight }));
  }

  /** Replaces the counts of a peer, or a sum of several peers with one name. */
  recordReport(
    peer: string,
    loads: readonly InFlightCount[],
    now: number,
  ): void {
    this.#addRemote(this.#remoteReports.get(peer)?.counts, -1);
    this.#addRemote(loads, 1);
    this.#remoteReports.set(peer, { receivedAt: now, counts: loads });
    this.#onReport();
  }

  /** Drops the counts of a peer that has no request in flight any more. */
  forgetReport(peer: string): void {
    this.#addRemote(this.#remoteReports.get(peer)?.counts, -1);
    this.#remoteReports.delete(peer);
    this.#onReport();
  }

  /** Drops the counts of peers that stopped reporting. */
  expire(now: number): void {
    for (const [peer, { receivedAt, counts }] of this.#remoteReports) {
      if (now - receivedAt < REPORT_LIFETIME_MILLISECONDS) continue;
      this.#addRemote(counts, -1);
      this.#remoteReports.delete(peer);
      this.#onReport();
    }
  }

  /** Drops the counts of all peers, before they come from another source. */
  forgetReports(): void {
    this.#remoteReports.clear();
    this.#remote.clear();
    this.#remotePromptTokens.clear();
  }

  /** Returns the requests of all routers in flight at a server. */
  inFlight(server: BackendServerId): number {
    return (this.#own.get(server) ?? 0) + (this.#remote.get(server) ?? 0);
  }

  /** Returns the prompt tokens that other routers reported as not processed yet. */
  remotePromptTokens(server: BackendServerId): number {
    return this.#remotePromptTokens.get(server) ?? 0;
  }

  /** Returns the requests of this router in flight at a server. */
  ownInFlight(server: BackendServerId): number {
    return this.#own.get(server) ?? 0;
  }

  /** Returns the age of the oldest counts in use, in milliseconds. */
  ageMilliseconds(now: number): number {
    let age = 0;
    for (const { receivedAt } of this.#remoteReports.values()) {
      age = Math.max(age, now - receivedAt);
    }
    return age;
  }

  #addRemote(
    counts: readonly InFlightCount[] | undefined,
    sign: 1 | -1,
  ): void {
    for (const { server, inFlight, promptTokens } of counts ?? []) {
      _add(this.#remote, server, sign * inFlight);
      if (promptTokens === undefined) continue;
      _add(this.#remotePromptTokens, server, sign * promptTokens);
    }
  }
}

/** Creates a fleet load without any counts. */
export function createFleetLoad(): FleetLoad {
  return new FleetLoad();
}
