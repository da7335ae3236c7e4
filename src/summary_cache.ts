/** The sums that collectors sent, each from the collector that covers most. */
import { REPORT_LIFETIME_MILLISECONDS } from "./core/fleet_load.ts";
import type { DataCentreId, SocketAddress } from "./core/ids.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import type { ReportSummary } from "./gateway_peer_messages.ts";

/** A sum of another collector is taken if the present one is older than this. */
const STALE_SUMMARY_MILLISECONDS = 700;
/** A router without a sum that is younger than this asks others. */
const RECENT_SUMMARY_MILLISECONDS = 1_000;

/** A sum and when it was made, by the clock of this router. */
export interface CachedSummary {
  readonly from: SocketAddress;
  readonly at: number;
  readonly summary: ReportSummary;
}

/** The sums that one router was sent. */
export class SummaryCache {
  readonly #now: () => number;
  readonly #dataCentres = new Map<DataCentreId, CachedSummary>();
  #fleet: CachedSummary | undefined;

  constructor(now: () => number) {
    this.#now = now;
  }

  /** The sum of the fleet while it counts. */
  get fleet(): CachedSummary | undefined {
    return this.#isFresh(this.#fleet) ? this.#fleet : undefined;
  }

  /** Whether a collector told of the fleet a moment ago. */
  isCurrent(): boolean {
    return this.#fleet !== undefined &&
      this.#now() - this.#fleet.at < RECENT_SUMMARY_MILLISECONDS;
  }

  /** Whether a sum of a data centre counts. */
  hasDataCentre(dataCentre: DataCentreId): boolean {
    return this.#isFresh(this.#dataCentres.get(dataCentre));
  }

  /** The sums of data centres that count. */
  dataCentres(): [DataCentreId, CachedSummary][] {
    return [...this.#dataCentres].filter(([, cached]) => this.#isFresh(cached));
  }

  /** Routers whose counts are in the sums of data centres. */
  coveredRouters(): number {
    return this.dataCentres().reduce(
      (sum, [, { summary }]) => sum + summary.routers,
      0,
    );
  }

  /** Keeps a sum of the fleet; returns nothing if a better one is known. */
  storeFleet(
    peer: GatewayPeer,
    summary: ReportSummary,
  ): CachedSummary | undefined {
    if (!this.#isBetter(summary, peer, this.#fleet)) return undefined;
    this.#fleet = this.#toCached(peer, summary);
    return this.#fleet;
  }

  /** Keeps the sum of a data centre; returns nothing if a better one is known. */
  storeDataCentre(
    peer: GatewayPeer,
    dataCentre: DataCentreId,
    summary: ReportSummary,
  ): CachedSummary | undefined {
    const previous = this.#dataCentres.get(dataCentre);
    if (!this.#isBetter(summary, peer, previous)) return undefined;
    const cached = this.#toCached(peer, summary);
    this.#dataCentres.set(dataCentre, cached);
    return cached;
  }

  #toCached(peer: GatewayPeer, summary: ReportSummary): CachedSummary {
    const at = this.#now() - summary.ageMilliseconds;
    return { from: peer.address, at, summary };
  }

  #isBetter(
    summary: ReportSummary,
    peer: GatewayPeer,
    cached: CachedSummary | undefined,
  ): boolean {
    if (!cached || cached.from === peer.address) return true;
    const age = this.#now() - cached.at;
    if (summary.ageMilliseconds > age) return false;
    return age > STALE_SUMMARY_MILLISECONDS ||
      summary.routers > cached.summary.routers;
  }

  #isFresh(cached: CachedSummary | undefined): boolean {
    return cached !== undefined &&
      this.#now() - cached.at < REPORT_LIFETIME_MILLISECONDS;
  }
}
