/**
 * Exchanges reports with the other gateways of the fleet: load and outcomes by
 * backend server, readiness and state versions. A router that is behind fetches
 * the state from a peer, so it stays up to date while it cannot use the store.
 */
import type { EntryRouter } from "./core/entry_addresses.ts";
import { createFleetSize } from "./core/fleet_size.ts";
import type { SocketAddress } from "./core/ids.ts";
import type { RandomSource } from "./core/random.ts";
import type { ServerRateLimits } from "./core/load_control/server_rate_limits.ts";
import type { ServerWarmUp } from "./core/load_control/server_warm_up.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetStore } from "./fleet_store.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import {
  gatewayPeersSchema,
  indexServerIds,
  type PackedReport,
  packReport,
  roundCapacity,
  safeUnpackReport,
  type ServerIdsByHash,
} from "./gateway_peer_messages.ts";
import { GatewayPeers } from "./gateway_peers.ts";
import { ReportBuilder, type ReportBuilderOptions } from "./report_builder.ts";
import { PeerAnnouncements } from "./peer_announcements.ts";
import { PeerDepartures } from "./peer_departures.ts";
import { PeerExchanges } from "./peer_exchanges.ts";
import { PeerSilence } from "./peer_silence.ts";
import type {
  PeerIdentity,
  PeerMessageKind,
  PeerNetwork,
} from "./peer_network.ts";
import { ReportHierarchy, type ReportPayload } from "./report_hierarchy.ts";
import {
  isListingDue,
  isReportDue,
  recordSentReport,
  type ReportTime,
} from "./report_schedule.ts";
import { describePeers, reportedPeers } from "./reported_peers.ts";
import { RouterDiscovery } from "./router_discovery.ts";
import { StateCatchUp } from "./state_catch_up.ts";
import { Task } from "./task.ts";
import type { Subscription } from "./timer_service.ts";

const TICK_MILLISECONDS = 50;
/** Ticks between selections of the collectors. */
const COLLECTOR_UPDATE_TICKS = 4;
/** Time after the start in which known routers count before they are heard. */
const START_MILLISECONDS = 5_000;

/** Options of the peer task. */
export interface GatewayPeerTaskOptions extends ReportBuilderOptions {
  readonly network: PeerNetwork;
  readonly store: FleetStore;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly seeds: readonly SocketAddress[];
  readonly rateLimits: ServerRateLimits;
  readonly warmUp: ServerWarmUp;
}

/** A report that is sent in a tick. */
interface _Sending {
  readonly payload: ReportPayload;
  readonly time: ReportTime;
  /** Encoded bodies of the tick, by their content. */
  readonly bodiesByKey: Map<string, PackedReport>;
}

/** Exchanges reports with the other gateways. */
export class GatewayPeerTask extends Task {
  override readonly name = "gateway peers";
  readonly #options: GatewayPeerTaskOptions;
  readonly #peers: GatewayPeers;
  readonly #ownReport: ReportBuilder;
  readonly #subscriptions: Subscription[] = [];
  readonly #catchUp: StateCatchUp;
  readonly #discovery: RouterDiscovery;
  readonly #hierarchy: ReportHierarchy;
  readonly #announcements: PeerAnnouncements;
  readonly #exchanges: PeerExchanges;
  readonly #silence: PeerSilence;
  readonly #departures: PeerDepartures;
  readonly #fleetSize = createFleetSize();
  #startedAt = Number.NEGATIVE_INFINITY;
  #serverIds: ServerIdsByHash = new Map();
  #tick = 0;
  #wasServing = false;
  #running = false;

  constructor(options: GatewayPeerTaskOptions) {
    super();
    this.#options = options;
    const { network, state, store, timers, host, dataCentre, address } =
      options;
    this.#peers = new GatewayPeers(address, () => this.#now());
    this.#ownReport = new ReportBuilder(options);
    this.#hierarchy = new ReportHierarchy({
      ...options,
      peers: () => this.#peers.all(),
      own: this.#ownReport,
      now: () => this.#now(),
    });
    this.#announcements = new PeerAnnouncements({
      ...options,
      relays: () => this.#hierarchy.isCollecting,
      now: () => this.#now(),
    });
    this.#exchanges = new PeerExchanges({
      ...options,
      task: state.evacuationTask,
      peers: () => this.#peers.all(),
      findPeer: ({ address: from }) => this.#peers.get(from),
      reportedPeers: () => reportedPeers(this.#peers.all(), this.#hierarchy),
      isSilent: (peer) => this.#hierarchy.isSilent(peer),
      isWatching: () => state.isWatching,
      now: () => this.#now(),
      onMalformed: (from, kind) => this.#logIgnored(from, kind),
    });
    this.#catchUp = new StateCatchUp({
      network,
      state,
      log: options.log,
      host,
      capacity: options.capacity,
      peers: () => this.#peers.all(),
      relayAddresses: (isWatching) => this.#relayAddresses(isWatching),
      isHierarchical: () => this.#hierarchy.isHierarchical,
      hasListedRouters: () => this.#discovery.hasListed,
      receivesFromCollectors: () => this.#hierarchy.receivesFromCollectors(),
      now: () => this.#now(),
    });
    this.#discovery = new RouterDiscovery({
      store,
      timers,
      log: options.log,
      random: options.random,
      self: { host, dataCentre, address, capacity: options.capacity },
      onFound: (found) => this.#peers.addRegistered(found),
      isCovered: () =>
        this.#hierarchy.isHierarchical && !this.#hierarchy.needsSummary,
    });
    this.#silence = new PeerSilence({
      ...options,
      peers: this.#peers,
      hierarchy: this.#hierarchy,
      discovery: this.#discovery,
      liveRouters: () => this.liveRouters(),
      now: () => this.#now(),
    });
    this.#departures = new PeerDepartures({
      ...options,
      peers: this.#peers,
      hierarchy: this.#hierarchy,
    });
  }

  override async start(): Promise<void> {
    const { network, timers, state, seeds } = this.#options;
    this.#running = true;
    state.onChange(() => this.#indexServers());
    this.#indexServers();
    network.handle(
      "gateway.report",
      (body, from) => this.#onReport(body, from),
    );
    network.handle("gateway.peers", (body, from) => this.#onPeers(body, from));
    for (const seed of seeds) this.#peers.add(seed);
    this.#startedAt = this.#now();
    this.#updateFleetSize();
    this.#catchUp.start();
    this.#subscriptions.push(
      timers.every(TICK_MILLISECONDS, "gateway reports", () => this.#onTick()),
    );
    await this.#discovery.start();
  }

  /** Stops after the last request and tells the peers that this router leaves. */
  override async stop(): Promise<void> {
    this.#running = false;
    this.#catchUp.stop();
    for (const subscription of this.#subscriptions) subscription.cancel();
    this.#departures.announceOwn();
    await this.#discovery.stop();
  }

  /** Reports to all peers immediately that this router stops serving. */
  announce(): void {
    this.#onTick();
  }

  /** Routers that accept callers, including this one if it does. */
  servingRouters(): EntryRouter[] {
    const routers: EntryRouter[] = [];
    if (this.#options.isServing()) routers.push(this.#ownReport.listing());
    for (const peer of this.#peers.all()) {
      if (!peer.listing?.isServing || this.#hierarchy.isSilent(peer)) continue;
      routers.push(peer.listing);
    }
    return routers;
  }

  /** Number of routers that are not silent, including this one. */
  liveRouters(): number {
    let live = 1;
    for (const peer of this.#peers.all()) {
      if (peer.listing && !this.#hierarchy.isSilent(peer)) live++;
    }
    return live;
  }

  /** Number of routers among which a fleet-wide allowance is divided. */
  sharingRouters(): number {
    return this.#fleetSize.size;
  }

  override describe(): unknown {
    return describePeers(this.#peers.all(), this.#hierarchy, this.#now());
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  #updateFleetSize(): void {
    const now = this.#now();
    const isStarting = now - this.#startedAt < START_MILLISECONDS;
    const known = isStarting ? this.#peers.size + 1 : 1;
    this.#fleetSize.update(Math.max(known, this.liveRouters()), now);
  }

  #indexServers(): void {
    const { servers } = this.#options.state.registry.list();
    this.#serverIds = indexServerIds(servers.map(({ id }) => id));
  }

  #onTick(): void {
    const { load, isServing } = this.#options;
    const now = this.#now();
    // A large fleet has too many peers to look at each of them in every tick.
    const isUpdate = this.#tick % COLLECTOR_UPDATE_TICKS === 0;
    if (isUpdate) this.#update(now);
    this.#tick++;
    load.expire(now);
    const isUrgent = isServing() !== this.#wasServing;
    if (isUrgent) {
      this.#wasServing = !this.#wasServing;
      this.#peers.recordOwnChange();
    }
    const time = this.#reportTime(now);
    const bodiesByKey = new Map<string, PackedReport>();
    for (const peer of this.#peers.all()) {
      const payload = this.#hierarchy.payloadFor(peer);
      if (payload === undefined) continue;
      if (isUrgent || this.#isDue(peer, payload, time)) {
        this.#send(peer, { payload, time, bodiesByKey });
      }
    }
    this.#catchUp.fetchIfBehind();
  }

  #update(now: number): void {
    this.#silence.update(now);
    this.#hierarchy.update();
    this.#updateFleetSize();
    this.#exchanges.updateView();
    const { registryRevision } = this.#options.state.versions();
    this.#discovery.followStoreEra(registryRevision);
  }

  /** Sends a report; peers with the same content share one encoded body. */
  #send(
    peer: GatewayPeer,
    { payload, time, bodiesByKey }: _Sending,
  ): void {
    const { network } = this.#options;
    const withListings = payload !== "own" && isListingDue(peer, time);
    const first = this.#announcements.first(peer);
    const key = `${payload} ${withListings} ${JSON.stringify(first)}`;
    let body = bodiesByKey.get(key);
    if (!body) {
      const summary = payload === "own"
        ? undefined
        : this.#hierarchy.summaryFor(payload, withListings);
      const { needsSummary } = this.#hierarchy;
      body = packReport(
        this.#ownReport.build(first, needsSummary, summary),
      );
      bodiesByKey.set(key, body);
    }
    this.#hierarchy.recordSent(peer);
    recordSentReport(peer, time, withListings);
    if (!this.#hierarchy.isSilent(peer)) {
      this.#announcements.recordSent(peer);
    }
    network.send(peer.address, "gateway.report", body);
    this.#exchanges.send(peer);
  }

  #reportTime(now: number): ReportTime {
    return {
      tick: this.#tick,
      now,
      loadVersion: this.#options.load.ownVersion,
      listingVersion: this.#peers.listingVersion,
    };
  }

  #isDue(
    peer: GatewayPeer,
    payload: ReportPayload,
    time: ReportTime,
  ): boolean {
    return isReportDue(peer, {
      ...time,
      payload,
      isUnanswered: this.#hierarchy.isUnanswered(peer),
      isHierarchical: this.#hierarchy.isHierarchical,
      isLocal: peer.name?.dataCentre === this.#options.dataCentre,
    });
  }

  #onReport(body: unknown, from: PeerIdentity): void {
    if (!this.#running) return;
    const report = safeUnpackReport(body, this.#serverIds);
    if (!report) return this.#logIgnored(from, "gateway.report");
    const peer = this.#peers.add(from.address, from);
    if (!peer || this.#departures.hasLeft(peer, from)) return;
    const isNew = this.#peers.recordReport(peer, report, from);
    this.#hierarchy.receive(peer, report);
    this.#silence.markUnlisted(peer, report);
    this.#announcements.receive(report);
    if (isNew) this.#onConnected(peer);
  }

  #onConnected(peer: GatewayPeer): void {
    this.#options.log.write("peer.connected", {
      peer: peer.identity?.host,
      address: peer.address,
    });
    peer.sentVersion = -1;
    peer.sentListingVersion = -1;
    this.#announcements.restart(peer);
    this.#exchanges.restart(peer);
    // In a large fleet the collectors' summaries list the routers.
    if (this.#hierarchy.isHierarchical) return;
    this.#options.network.send(peer.address, "gateway.peers", {
      addresses: this.#liveAddresses(),
    });
  }

  #liveAddresses(): SocketAddress[] {
    return [...this.#peers.all()]
      .filter((peer) => !this.#hierarchy.isSilent(peer))
      .map(({ address }) => address);
  }

  /** Peers to which this router relays registry changes. */
  #relayAddresses(isWatching: boolean): SocketAddress[] {
    if (this.#hierarchy.isHierarchical) {
      return this.#hierarchy.relayAddresses(isWatching);
    }
    return isWatching ? this.#liveAddresses() : [];
  }

  #logIgnored(from: PeerIdentity, kind: PeerMessageKind): void {
    this.#options.log.write("peer.message_ignored", {
      peer: from.host,
      kind,
      detail: "the body is malformed",
    });
  }

  #onPeers(body: unknown, from: PeerIdentity): void {
    const message = gatewayPeersSchema.safeParse(body);
    if (!message.success) return this.#logIgnored(from, "gateway.peers");
    for (const address of message.data.addresses) this.#peers.add(address);
  }
}

/** Creates the peer task of a gateway. */
export function createGatewayPeerTask(
  options: GatewayPeerTaskOptions,
): GatewayPeerTask {
  const capacity = roundCapacity(options.capacity);
  return new GatewayPeerTask({ ...options, capacity });
}
