/**
 * Decides where a router sends reports. Routers of small fleets report to each
 * other. In larger fleets they report to the collectors of their data centre, which
 * exchange sums and return the sum of the fleet. A router collects for all that
 * report to it, so routers that disagree about the collectors still receive each
 * other's counts.
 */
import {
  chooseCollectors,
  type CollectorCandidate,
  isPreferredCollector,
  MAXIMUM_DIRECT_ROUTERS,
} from "./core/collectors.ts";
import { ownCandidate, peerCandidate } from "./collector_candidates.ts";
import type { DataCentreId, HostId, SocketAddress } from "./core/ids.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import type {
  GatewayReport,
  ReportSummary,
  SummaryScope,
} from "./gateway_report.ts";
import {
  ReportedCounts,
  type ReportedCountsOptions,
} from "./reported_counts.ts";
import { SummaryCache } from "./summary_cache.ts";

/** A router that reports directly counts as silent after this time. */
const DIRECT_TIMEOUT_MILLISECONDS = 1_200;
/** Silence timeout of a listed router: listed once a second, and two hops add to the age. */
const LISTED_ROUTER_TIMEOUT_MILLISECONDS = 4_000;
/** A collector silent for this long is not relied on to relay changes. */
const COLLECTOR_TIMEOUT_MILLISECONDS = 1_000;
/**
 * After its start, a router relies for this long on the collectors that it
 * computes from the store's records. If all routers of a restarting fleet asked
 * every other router instead, their connections would grow with the square of
 * the fleet.
 */
const START_MILLISECONDS = 500;
/** How often a router that does not respond is tried again. */
const RETRY_PERIOD_MILLISECONDS = 6_000;
/** What a report contains: own counts, or also a scope's sum. */
export type ReportPayload = "own" | SummaryScope;

/** Options of {@link ReportHierarchy}. */
export interface ReportHierarchyOptions
  extends Omit<ReportedCountsOptions, "cache" | "isSilent"> {
  readonly address: SocketAddress;
  readonly host: HostId;
  readonly capacity: number;
}

/** Routes one router's reports. */
export class ReportHierarchy {
  readonly #options: ReportHierarchyOptions;
  readonly #payloads = new Map<SocketAddress, ReportPayload>();
  readonly #cache: SummaryCache;
  readonly #counts: ReportedCounts;
  #localCollectors: readonly SocketAddress[] = [];
  #isHierarchical = false;
  #isCollecting = false;
  /** When the fleet was first known to be large. */
  #hierarchicalSince: number | undefined;

  constructor(options: ReportHierarchyOptions) {
    this.#options = options;
    this.#cache = new SummaryCache(options.now);
    this.#counts = new ReportedCounts({
      ...options,
      cache: this.#cache,
      isSilent: (peer) => this.isSilent(peer),
    });
  }

  /** Whether reports go through collectors. */
  get isHierarchical(): boolean {
    return this.#isHierarchical;
  }

  /** Whether this router is a collector of its data centre. */
  get isCollecting(): boolean {
    return this.#isCollecting;
  }

  /** Whether no collector sends this router the state of the others. */
  get needsSummary(): boolean {
    if (!this.#isHierarchical) return false;
    // If few members report here, others have chosen different collectors.
    return this.#isCollecting ? this.#lacksMembers() : !this.#cache.isCurrent();
  }

  /** Whether no direct report of a peer arrived within the timeout. */
  isUnanswered(peer: GatewayPeer): boolean {
    return this.#options.now() - peer.directAt > DIRECT_TIMEOUT_MILLISECONDS;
  }

  /** Returns the payload for a peer, or undefined if it gets no reports. */
  payloadFor(peer: GatewayPeer): ReportPayload | undefined {
    return this.#isHierarchical ? this.#payloads.get(peer.address) : "own";
  }

  /** Whether a peer has left, or has been silent for so long that it is not used. */
  isSilent(peer: GatewayPeer): boolean {
    if (peer.departure) return true;
    const isLocal = peer.name?.dataCentre === this.#options.dataCentre;
    const isDirect = !this.#isHierarchical || (isLocal && this.#isCollecting);
    const limit = isDirect
      ? DIRECT_TIMEOUT_MILLISECONDS
      : LISTED_ROUTER_TIMEOUT_MILLISECONDS;
    return this.#options.now() - peer.heardAt > limit;
  }

  /** Whether a peer is lost because a collector no longer lists it. */
  isUnlisted(
    peer: GatewayPeer,
    by: GatewayPeer,
    summary: ReportSummary,
  ): boolean {
    if (!peer.listing || summary.listings.length === 0) return false;
    const isCovered = summary.scope === "fleet" ||
      peer.name?.dataCentre === by.name?.dataCentre;
    const silence = this.#options.now() - peer.heardAt;
    return isCovered && silence > DIRECT_TIMEOUT_MILLISECONDS &&
      !summary.listings.some(({ address }) => address === peer.address);
  }

  /** Whether registry changes would reach this router through peers. */
  receivesFromCollectors(): boolean {
    if (!this.#isHierarchical || this.#isCollecting) return true;
    const now = this.#options.now();
    for (const peer of this.#options.peers()) {
      const isCollector = this.#localCollectors.includes(peer.address);
      const silence = now - peer.directAt;
      if (isCollector && silence < COLLECTOR_TIMEOUT_MILLISECONDS) return true;
    }
    return false;
  }

  /** Whether no live router ranks before this one. */
  isMostPreferred(): boolean {
    for (const peer of this.#options.peers()) {
      if (!peer.listing || this.isSilent(peer)) continue;
      if (isPreferredCollector(peer.listing, this.#options)) return false;
    }
    return true;
  }

  /** Chooses collectors again from the current state of the peers. */
  update(): void {
    const peers = [...this.#options.peers()];
    this.#isHierarchical = peers.length > MAXIMUM_DIRECT_ROUTERS;
    this.#payloads.clear();
    if (this.#isHierarchical) {
      this.#hierarchicalSince ??= this.#options.now();
      this.#assignPayloads(peers);
    } else this.#isCollecting = false;
    this.#counts.update(this.#isHierarchical, this.#isCollecting);
  }

  /** Records that a report was sent to a peer. */
  recordSent(peer: GatewayPeer): void {
    const now = this.#options.now();
    if (this.#payloads.get(peer.address) === "own") {
      this.#counts.recordReported();
    }
    const isRetryDue = peer.unansweredSince !== undefined &&
      now - peer.unansweredSince > RETRY_PERIOD_MILLISECONDS;
    if (isRetryDue) peer.unansweredSince = now;
    else peer.unansweredSince ??= now;
  }

  /** Applies a peer's report. */
  receive(peer: GatewayPeer, report: GatewayReport): void {
    this.#counts.receive(peer, report);
  }

  /** Builds the summary for reports of a scope. */
  summaryFor(scope: SummaryScope, withListings: boolean): ReportSummary {
    return this.#counts.summaryFor(scope, withListings);
  }

  /** Returns the addresses to which state changes are relayed. */
  relayAddresses(isWatching: boolean): SocketAddress[] {
    return [...this.#payloads]
      .filter(([, payload]) => isWatching || payload === "fleet")
      .map(([address]) => address);
  }

  /** Whether most routers of this data centre do not report here. */
  #lacksMembers(): boolean {
    const { dataCentre, now } = this.#options;
    let [localRouters, members] = [0, 0];
    for (const { name, reportedAsMemberAt } of this.#options.peers()) {
      if (name?.dataCentre !== dataCentre) continue;
      localRouters++;
      const silence = now() - reportedAsMemberAt;
      if (silence < DIRECT_TIMEOUT_MILLISECONDS) members++;
    }
    return members * 2 < localRouters;
  }

  #assignPayloads(peers: readonly GatewayPeer[]): void {
    const { dataCentre, address } = this.#options;
    const locals = peers.filter(({ name }) => name?.dataCentre === dataCentre);
    const own = ownCandidate(this.#options);
    const local = chooseCollectors([own, ...this.#candidates(locals)]);
    this.#localCollectors = local.map((candidate) => candidate.address);
    this.#isCollecting = this.#localCollectors.includes(address);
    this.#assignLocal(locals);
    for (const collector of local) this.#payloads.set(collector.address, "own");
    this.#payloads.delete(address);
    if (this.#isCollecting) this.#assignRemote(peers);
  }

  /** Sends the sum of this data centre to the collectors of the others. */
  #assignRemote(peers: readonly GatewayPeer[]): void {
    const groups = new Map<DataCentreId, CollectorCandidate[]>();
    for (const candidate of this.#candidates(peers)) {
      const group = groups.get(candidate.dataCentre) ?? [];
      groups.set(candidate.dataCentre, group);
      group.push(candidate);
    }
    groups.delete(this.#options.dataCentre);
    for (const [dataCentre, candidates] of groups) {
      const hasSum = this.#cache.hasDataCentre(dataCentre);
      // Without a sum of a data centre, all of its routers are contacted.
      const recipients = hasSum || this.#isStarting()
        ? chooseCollectors(candidates)
        : candidates;
      for (const recipient of recipients) {
        this.#payloads.set(recipient.address, "data_centre");
      }
    }
  }

  #candidates(peers: readonly GatewayPeer[]): CollectorCandidate[] {
    const now = this.#options.now();
    return peers.flatMap((peer) => {
      if (!peer.name) return [];
      const isSilent = this.isSilent(peer);
      return [peerCandidate(peer, { ...peer.name, isSilent, now })];
    });
  }

  /** Sends sums to local routers that report here, or own reports to ask for a sum. */
  #assignLocal(peers: readonly GatewayPeer[]): void {
    const needsSummary = this.needsSummary && !this.#isStarting();
    const hasSummary = this.#isCollecting || this.#cache.isCurrent();
    for (const peer of peers) {
      const silence = this.#options.now() - peer.reportedAsMemberAt;
      const isReporting = silence < DIRECT_TIMEOUT_MILLISECONDS;
      const isRequesting = isReporting && (peer.report?.needsSummary ?? false);
      const isMember = isReporting && this.#isCollecting;
      if (isMember || (isRequesting && hasSummary)) {
        this.#payloads.set(peer.address, "fleet");
      } else if (isRequesting || needsSummary) {
        this.#payloads.set(peer.address, "own");
      }
    }
  }

  #isStarting(): boolean {
    const { now } = this.#options;
    const since = this.#hierarchicalSince ?? now();
    return now() - since < START_MILLISECONDS;
  }
}
