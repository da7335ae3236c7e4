/**
 * What the gateways of a fleet tell each other: load and outcomes by backend
 * server, readiness, and the versions they know. Whoever is behind fetches the
 * state from a peer, so a router that the store refuses stays up to date.
 */
import type { EntryRouter } from "./core/entry_addresses.ts";
import type { SocketAddress } from "./core/ids.ts";
import type { RandomSource } from "./core/random.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetStore } from "./fleet_store.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import {
  gatewayPeersSchema,
  type GatewayReport,
  indexServerIds,
  type PackedReport,
  packReport,
  safeUnpackReport,
  type ServerIdsByHash,
} from "./gateway_peer_messages.ts";
import { GatewayPeers } from "./gateway_peers.ts";
import { OwnReport, type OwnReportOptions } from "./own_report.ts";
import type {
  PeerIdentity,
  PeerMessageKind,
  PeerNetwork,
} from "./peer_network.ts";
import { ReportHierarchy, type ReportPayload } from "./report_hierarchy.ts";
import { RouterDiscovery } from "./router_discovery.ts";
import { StateCatchUp } from "./state_catch_up.ts";
import { Task } from "./task.ts";
import type { Subscription } from "./timer_service.ts";

const TICK_MILLISECONDS = 50;
/** Changes are reported to routers of the same data centre at every tick. */
const NEAR_TICKS = 1;
/** Bytes between data centres are dear, so others hear of changes less often. */
const FAR_TICKS = 5;
/** Changes are reported to collectors this often. */
const COLLECTOR_TICKS = 3;
/** Sums are passed on this often. */
const SUMMARY_TICKS = 5;
/** Sums name the routers that are heard this often. */
const LISTING_TICKS = 20;
/** Collectors are chosen anew this often. */
const CHOICE_TICKS = 4;
/** A router without changes reports this often. */
const HEARTBEAT_TICKS = 8;
/** A silent peer is tried this often. */
const RETRY_MILLISECONDS = 1_000;
/** An address without an answer for this long is forgotten, unless it is a seed. */
const FORGET_MILLISECONDS = 30_000;

/** What the peer task needs. */
export interface GatewayPeerTaskOptions extends OwnReportOptions {
  readonly network: PeerNetwork;
  readonly store: FleetStore;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly seeds: readonly SocketAddress[];
}

/** Talks to the other gateways. */
export class GatewayPeerTask extends Task {
  override readonly name = "gateway peers";
  readonly #options: GatewayPeerTaskOptions;
  readonly #peers: GatewayPeers;
  readonly #own: OwnReport;
  readonly #subscriptions: Subscription[] = [];
  readonly #catchUp: StateCatchUp;
  readonly #discovery: RouterDiscovery;
  readonly #hierarchy: ReportHierarchy;
  #names: ServerIdsByHash = new Map();
  #tick = 0;
  #wasServing = false;
  #running = false;

  constructor(options: GatewayPeerTaskOptions) {
    super();
    this.#options = options;
    const { network, state, store, timers, host, dataCentre, address } =
      options;
    this.#peers = new GatewayPeers(address, () => this.#now());
    this.#own = new OwnReport(options);
    this.#hierarchy = new ReportHierarchy({
      ...options,
      peers: () => this.#peers.all(),
      own: this.#own,
      now: () => this.#now(),
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
      hearsCollectors: () => this.#hierarchy.hearsCollectors(),
      now: () => this.#now(),
    });
    this.#discovery = new RouterDiscovery({
      store,
      timers,
      log: options.log,
      random: options.random,
      self: { host, dataCentre, address },
      onFound: (found) => void this.#peers.know(found.address, found),
    });
  }

  override async start(): Promise<void> {
    const { network, timers, state, seeds } = this.#options;
    this.#running = true;
    state.onChange(() => this.#renameServers());
    this.#renameServers();
    network.handle("gateway.report", (body, from) => this.#receive(body, from));
    network.handle("gateway.peers", (body, from) => this.#learn(body, from));
    for (const seed of seeds) this.#peers.know(seed);
    this.#subscriptions.push(
      timers.every(TICK_MILLISECONDS, "gateway reports", () => this.#onTick()),
    );
    await this.#discovery.start();
  }

  override async stop(): Promise<void> {
    this.#running = false;
    this.#catchUp.stop();
    await this.#discovery.stop();
    for (const subscription of this.#subscriptions) subscription.cancel();
  }

  /** Tells all peers at once that this router stops serving. */
  announce(): void {
    this.#onTick();
  }

  /** Routers that callers may be sent to, this one included if it serves. */
  servingRouters(): EntryRouter[] {
    const { callerAddress, dataCentre, isServing, busyShare } = this.#options;
    const routers: EntryRouter[] = [];
    if (isServing()) {
      routers.push({ callerAddress, dataCentre, busyShare: busyShare() });
    }
    for (const peer of this.#peers.all()) {
      if (!peer.listing?.isServing || this.#hierarchy.isSilent(peer)) continue;
      routers.push(peer.listing);
    }
    return routers;
  }

  /** Routers that are heard, this one included. */
  liveRouters(): number {
    let live = 1;
    for (const peer of this.#peers.all()) {
      if (peer.listing && !this.#hierarchy.isSilent(peer)) live++;
    }
    return live;
  }

  override describe(): unknown {
    const now = this.#now();
    return [...this.#peers.all()].map((peer) => ({
      address: peer.address,
      host: peer.name?.host,
      silentMilliseconds: now - peer.heardAt,
      isServing: peer.listing?.isServing ?? false,
      reports: this.#hierarchy.payloadFor(peer) ?? "none",
    }));
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  #renameServers(): void {
    const { servers } = this.#options.state.registry.list();
    this.#names = indexServerIds(servers.map(({ id }) => id));
  }

  #onTick(): void {
    const { load, isServing } = this.#options;
    const now = this.#now();
    if (this.#tick % CHOICE_TICKS === 0) this.#hierarchy.update();
    this.#tick++;
    load.expire(now);
    const isUrgent = isServing() !== this.#wasServing;
    if (isUrgent) {
      this.#wasServing = !this.#wasServing;
      this.#peers.noteOwnChange();
    }
    const bodies = new Map<string, PackedReport>();
    for (const peer of [...this.#peers.all()]) {
      this.#watchSilence(peer, now);
      const payload = this.#hierarchy.payloadFor(peer);
      if (payload === undefined) continue;
      if (isUrgent || this.#isDue(peer, payload)) {
        this.#send(peer, payload, bodies);
      }
    }
    this.#catchUp.check();
  }

  /** Sends a report; peers that get the same one share its body. */
  #send(
    peer: GatewayPeer,
    payload: ReportPayload,
    bodies: Map<string, PackedReport>,
  ): void {
    const { directory, load, network } = this.#options;
    const withListings = payload !== "own" && this.#isListingDue(peer);
    const key = `${payload} ${withListings} ${peer.sentReadings}`;
    let body = bodies.get(key);
    if (!body) {
      const summary = payload === "own"
        ? undefined
        : this.#hierarchy.summaryFor(payload, withListings);
      const { needsSummary } = this.#hierarchy;
      body = packReport(
        this.#own.report(peer.sentReadings, needsSummary, summary),
      );
      bodies.set(key, body);
    }
    this.#hierarchy.noteSent(peer);
    peer.sentTick = this.#tick;
    peer.sentVersion = load.ownVersion;
    peer.triedAt = this.#now();
    if (withListings) {
      peer.listedTick = this.#tick;
      peer.listedVersion = this.#peers.listingVersion;
    }
    if (!this.#hierarchy.isSilent(peer)) {
      peer.sentReadings = directory.nextSequence;
    }
    network.send(peer.address, "gateway.report", body);
  }

  #isListingDue(peer: GatewayPeer): boolean {
    return peer.listedVersion !== this.#peers.listingVersion ||
      this.#tick - peer.listedTick >= LISTING_TICKS;
  }

  #isDue(peer: GatewayPeer, payload: ReportPayload): boolean {
    const ticks = this.#tick - peer.sentTick;
    if (this.#hierarchy.isUnanswered(peer)) {
      return this.#now() - peer.triedAt >= RETRY_MILLISECONDS;
    }
    if (payload !== "own") return ticks >= SUMMARY_TICKS;
    if (ticks >= HEARTBEAT_TICKS) return true;
    return peer.sentVersion !== this.#options.load.ownVersion &&
      ticks >= this.#changeTicks(peer);
  }

  /** Ticks after which changes are reported. */
  #changeTicks(peer: GatewayPeer): number {
    if (this.#hierarchy.isHierarchical) return COLLECTOR_TICKS;
    const isNear = peer.name?.dataCentre === this.#options.dataCentre;
    return isNear ? NEAR_TICKS : FAR_TICKS;
  }

  #watchSilence(peer: GatewayPeer, now: number): void {
    if (!this.#hierarchy.isSilent(peer)) return;
    if (peer.listing) this.#lose(peer);
    const since = Math.max(peer.heardAt, peer.knownSince);
    const isSeed = this.#options.seeds.includes(peer.address);
    if (now - since > FORGET_MILLISECONDS && !isSeed) {
      this.#peers.forget(peer);
      // A router that hears few others is more likely cut off itself.
      const hearsMost = this.liveRouters() * 2 > this.#peers.size;
      if (hearsMost && this.#hierarchy.ranksFirst()) {
        this.#discovery.remove(peer.address);
      }
    }
  }

  #lose(peer: GatewayPeer): void {
    this.#peers.lose(peer);
    this.#options.log.write("peer.lost", {
      peer: peer.name?.host,
      address: peer.address,
      silentMilliseconds: Math.round(this.#now() - peer.heardAt),
    });
    this.#options.network.reset(peer.address);
  }

  #receive(body: unknown, from: PeerIdentity): void {
    if (!this.#running) return;
    const report = safeUnpackReport(body, this.#names);
    if (!report) return this.#ignore(from, "gateway.report");
    const peer = this.#peers.know(from.address, from);
    if (!peer) return;
    const isNew = this.#peers.receive(peer, report, from);
    this.#hierarchy.receive(peer, report);
    this.#loseUnlisted(peer, report);
    this.#learnReadings(report);
    if (isNew) this.#welcome(peer);
  }

  #loseUnlisted(from: GatewayPeer, { summary }: GatewayReport): void {
    if (!summary) return;
    for (const peer of this.#peers.all()) {
      if (this.#hierarchy.isUnlisted(peer, from, summary)) this.#lose(peer);
    }
  }

  #learnReadings({ readings }: GatewayReport): void {
    const { directory } = this.#options;
    for (const reading of readings) {
      if (this.#hierarchy.isCollecting) directory.addAndAnnounce(reading);
      else directory.add(reading);
    }
  }

  #welcome(peer: GatewayPeer): void {
    this.#options.log.write("peer.connected", {
      peer: peer.identity?.host,
      address: peer.address,
    });
    peer.sentVersion = -1;
    peer.listedVersion = -1;
    // A peer that has just joined knows nothing; what is kept is sent again.
    peer.sentReadings = 0;
    // Collectors name the routers of a large fleet in their summaries.
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

  /** Where this router passes changes of the registry on to. */
  #relayAddresses(isWatching: boolean): SocketAddress[] {
    if (this.#hierarchy.isHierarchical) {
      return this.#hierarchy.relayAddresses(isWatching);
    }
    return isWatching ? this.#liveAddresses() : [];
  }

  #ignore(from: PeerIdentity, kind: PeerMessageKind): void {
    this.#options.log.write("peer.message_ignored", {
      peer: from.host,
      kind,
      detail: "the body is malformed",
    });
  }

  #learn(body: unknown, from: PeerIdentity): void {
    const message = gatewayPeersSchema.safeParse(body);
    if (!message.success) return this.#ignore(from, "gateway.peers");
    for (const address of message.data.addresses) this.#peers.know(address);
  }
}

/** Creates the peer task of one gateway. */
export function createGatewayPeerTask(
  options: GatewayPeerTaskOptions,
): GatewayPeerTask {
  return new GatewayPeerTask(options);
}
