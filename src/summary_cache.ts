/** Caches sums sent by collectors, preferring those that cover the most routers. */
import { REPORT_LIFETIME_MILLISECONDS } from "./core/load_control/fleet_load.ts";
import type { DataCentreId } from "./core/ids.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import type { ReportSummary } from "./gateway_report.ts";

/** A cached sum older than this is replaced by a newer one of any collector. */
const STALE_SUMMARY_MILLISECONDS = 700;
/** A router whose fleet sum is older than this asks other routers for one. */
const RECENT_SUMMARY_MILLISECONDS = 1_000;

/** A sum and when it was made, on this router's clock. */
export interface CachedSummary {
  readonly from: GatewayPeer;
  readonly at: number;
  readonly summary: ReportSummary;
}

/** The sums received by one router. */
export class SummaryCache {
  readonly #now: () => number;
  readonly #dataCentres = new Map<DataCentreId, CachedSummary>();
  #fleet: CachedSummary | undefined;

  constructor(now: () => number) {
    this.#now = now;
  }

  /** The sum of the fleet, undefined once it has expired. */
  get fleet(): CachedSummary | undefined {
    return this.#isFresh(this.#fleet) ? this.#fleet : undefined;
  }

  /** Whether a recent sum of the fleet is cached. */
  isCurrent(): boolean {
    return this.#fleet !== undefined &&
      this.#now() - this.#fleet.at < RECENT_SUMMARY_MILLISECONDS;
  }

  /** Whether an unexpired sum of a data centre is cached. */
  hasDataCentre(dataCentre: DataCentreId): boolean {
    return this.#isFresh(this.#dataCentres.get(dataCentre));
  }

  /** Returns the unexpired sums of data centres. */
  dataCentres(): [DataCentreId, CachedSummary][] {
    return [...this.#dataCentres].filter(([, cached]) => this.#isFresh(cached));
  }

  /** Number of routers covered by the sums of data centres. */
  coveredRouters(): number {
    return this.dataCentres().reduce(
      (sum, [, { summary }]) => sum + summary.routers,
      0,
    );
  }

  /** Caches a sum of the fleet; returns undefined if a better one is cached. */
  storeFleet(
    peer: GatewayPeer,
    summary: ReportSummary,
  ): CachedSummary | undefined {
    if (!this.#isBetter(summary, peer, this.#fleet)) return undefined;
    this.#fleet = this.#toCached(peer, summary);
    return this.#fleet;
  }

  /** Caches the sum of a data centre; returns undefined if a better one is cached. */
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
    return { from: peer, at, summary };
  }

  #isBetter(
    summary: ReportSummary,
    peer: GatewayPeer,
    cached: CachedSummary | undefined,
  ): boolean {
    if (!cached || cached.from === peer) return true;
    // The sum of a collector that has left gets no newer version.
    if (cached.from.departure) return true;
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
