/**
 * Decides which of the counts that peers report a router uses: the reports of all
 * routers, those of its data centre with sums of the others, or a sum of the fleet.
 */
import {
  type FleetLoad,
  REPORT_LIFETIME_MILLISECONDS,
} from "./core/load_control/fleet_load.ts";
import type { DataCentreId } from "./core/ids.ts";
import {
  type ServerCounts,
  subtractOwnCounts,
  sumCounts,
} from "./core/report_sums.ts";
import type { ServerOutcomes } from "./core/server_outcomes.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import type {
  GatewayReport,
  ReportSummary,
  RouterListing,
  SummaryScope,
} from "./gateway_report.ts";
import type { ReportBuilder } from "./report_builder.ts";
import type { CachedSummary, SummaryCache } from "./summary_cache.ts";

const FLEET_SOURCE = "fleet";

/** The source of the counts of other routers. */
type _CountSource =
  | "reports" // Reports of all routers.
  | "sums" // Reports of its own data centre and sums of the others.
  | "fleet"; // The sum of the fleet, from a collector.

/** Options of {@link ReportedCounts}. */
export interface ReportedCountsOptions {
  readonly dataCentre: DataCentreId;
  readonly peers: () => Iterable<GatewayPeer>;
  readonly load: FleetLoad;
  readonly outcomes: ServerOutcomes;
  readonly own: ReportBuilder;
  readonly now: () => number;
  readonly cache: SummaryCache;
  /** Whether a peer has left or has been silent for too long to be used. */
  readonly isSilent: (peer: GatewayPeer) => boolean;
}

/** Applies the counts that one router receives, and sums them for others. */
export class ReportedCounts {
  readonly #options: ReportedCountsOptions;
  #reportedCounts: ServerCounts = { loads: [], outcomes: [] };
  #isHierarchical = false;
  #isCollecting = false;
  #source: _CountSource = "reports";

  constructor(options: ReportedCountsOptions) {
    this.#options = options;
  }

  /** Chooses the source of the counts again. */
  update(isHierarchical: boolean, isCollecting: boolean): void {
    this.#isHierarchical = isHierarchical;
    this.#isCollecting = isCollecting;
    const source = this.#chooseSource();
    if (source === this.#source) return;
    this.#source = source;
    this.#reapply();
  }

  /** Records that this router's own counts were reported to a collector. */
  recordReported(): void {
    this.#reportedCounts = this.#options.own.counts();
  }

  /** Applies a peer's report. */
  receive(peer: GatewayPeer, report: GatewayReport): void {
    const isLocal = peer.name?.dataCentre === this.#options.dataCentre;
    const source = this.#source;
    if (source === "reports" || (isLocal && source === "sums")) {
      this.#apply(peer.name?.host ?? peer.address, report, peer.directAt);
    }
    const { summary } = report;
    if (!this.#isHierarchical || !summary) return;
    if (summary.scope === "data_centre" && !isLocal) {
      this.#receiveDataCentre(peer, summary);
    } else if (summary.scope === "fleet" && isLocal) {
      this.#receiveFleet(peer, summary);
    }
  }

  /** Builds the summary for reports of a scope. */
  summaryFor(scope: SummaryScope, withListings: boolean): ReportSummary {
    const { own } = this.#options;
    const localReports = this.#localReports();
    const listings = withListings ? this.#listings(scope) : [];
    if (scope === "data_centre") {
      const sum = sumCounts([own.counts(), ...localReports]);
      const routers = localReports.length + 1;
      return { scope, routers, ageMilliseconds: 0, ...sum, listings };
    }
    const { fleet } = this.#options.cache;
    if (this.#source === "fleet" && fleet) {
      const ageMilliseconds = this.#options.now() - fleet.at;
      return { ...fleet.summary, ageMilliseconds, listings };
    }
    const remote = this.#options.cache.dataCentres().map(([, { summary }]) =>
      summary
    );
    const sum = sumCounts([own.counts(), ...localReports, ...remote]);
    const routers = this.#coveredRouters();
    return { scope, routers, ageMilliseconds: 0, ...sum, listings };
  }

  /** Prefers a received fleet sum if it covers more than this collector knows. */
  #chooseSource(): _CountSource {
    if (!this.#isHierarchical) return "reports";
    if (!this.#isCollecting) return "fleet";
    const fleetRouters = this.#options.cache.isCurrent()
      ? this.#options.cache.fleet?.summary.routers
      : 0;
    return (fleetRouters ?? 0) > this.#coveredRouters() ? "fleet" : "sums";
  }

  /** Number of routers covered by the received reports and sums. */
  #coveredRouters(): number {
    return this.#options.cache.coveredRouters() + this.#localReports().length +
      1;
  }

  #receiveDataCentre(peer: GatewayPeer, summary: ReportSummary): void {
    const dataCentre = peer.name?.dataCentre;
    if (dataCentre === undefined) return;
    const cached = this.#options.cache.storeDataCentre(
      peer,
      dataCentre,
      summary,
    );
    if (cached && this.#source === "sums") {
      this.#apply(dataCentre, summary, cached.at);
    }
  }

  #receiveFleet(peer: GatewayPeer, summary: ReportSummary): void {
    const cached = this.#options.cache.storeFleet(peer, summary);
    if (cached && this.#source === "fleet") this.#applyFleet(cached);
  }

  #localReports(): GatewayReport[] {
    const now = this.#options.now();
    const reports: GatewayReport[] = [];
    for (const { name, report, directAt } of this.#options.peers()) {
      if (name?.dataCentre !== this.#options.dataCentre || !report) continue;
      if (now - directAt < REPORT_LIFETIME_MILLISECONDS) reports.push(report);
    }
    return reports;
  }

  #listings(scope: SummaryScope): RouterListing[] {
    const { dataCentre, isSilent, own, now } = this.#options;
    const listings = [own.listing()];
    for (const peer of this.#options.peers()) {
      const { listing, heardAt } = peer;
      if (!listing || isSilent(peer)) continue;
      const isLocal = listing.dataCentre === dataCentre;
      if (scope === "data_centre" && !isLocal) continue;
      listings.push({ ...listing, ageMilliseconds: now() - heardAt });
    }
    return listings;
  }

  #apply(source: string, counts: ServerCounts, at: number): void {
    this.#options.load.recordReport(source, counts.loads, at);
    this.#options.outcomes.setPeerCounts(source, counts.outcomes, at);
  }

  #applyFleet({ summary, at }: CachedSummary): void {
    const others = subtractOwnCounts(summary, this.#reportedCounts);
    this.#apply(FLEET_SOURCE, others, at);
  }

  /** Rebuilds the counts from the known data of a newly selected source. */
  #reapply(): void {
    const { load, outcomes, dataCentre, peers } = this.#options;
    load.forgetReports();
    outcomes.clearPeerCounts();
    if (this.#source === "fleet") {
      const { fleet } = this.#options.cache;
      if (fleet) this.#applyFleet(fleet);
      return;
    }
    for (const { name, report, directAt } of peers()) {
      const isUsed = this.#source === "reports" ||
        name?.dataCentre === dataCentre;
      if (report && name && isUsed) this.#apply(name.host, report, directAt);
    }
    if (this.#source === "reports") return;
    for (const [source, { summary, at }] of this.#options.cache.dataCentres()) {
      this.#apply(source, summary, at);
    }
  }
}
