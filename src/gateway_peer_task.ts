/**
 * What the gateways of a fleet tell each other: load and outcomes by backend
 * server, readiness, and the versions they know. Whoever is behind fetches the
 * state from a peer, so a router that the store refuses stays up to date.
 */
import type { EntryRouter } from "./core/entry_addresses.ts";
import type { FleetLoad } from "./core/fleet_load.ts";
import type { DataCentreId, HostId, SocketAddress } from "./core/ids.ts";
import type { PromptDirectory } from "./core/prompt_directory.ts";
import type { RandomSource } from "./core/random.ts";
import type { ServerOutcomes } from "./core/server_outcomes.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetStore } from "./fleet_store.ts";
import { createGatewayPeer, type GatewayPeer } from "./gateway_peer.ts";
import {
  gatewayPeersSchema,
  type GatewayReport,
  nameServers,
  type PackedReport,
  packReport,
  safeUnpackReport,
  type ServerNames,
} from "./gateway_peer_messages.ts";
import type { GatewayStateTask } from "./gateway_state_task.ts";
import type {
  PeerIdentity,
  PeerMessageKind,
  PeerNetwork,
} from "./peer_network.ts";
import { RouterDiscovery } from "./router_discovery.ts";
import { StateCatchUp } from "./state_catch_up.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

const TICK_MILLISECONDS = 50;
/** Changes are reported to routers of the same data centre at every tick. */
const NEAR_TICKS = 1;
/** Bytes between data centres are dear, so others hear of changes less often. */
const FAR_TICKS = 5;
/** A router without changes reports this often. */
const HEARTBEAT_TICKS = 8;
/** More peers than this stretch the periods, so that the cost of a router stays. */
const PEERS_AT_FULL_RATE = 20;
/** A peer that was silent for this many heartbeats is not used any more. */
const SILENT_HEARTBEATS = 3;
/** A silent peer is tried this often. */
const RETRY_MILLISECONDS = 1_000;
/** An address without an answer for this long is forgotten, unless it is a seed. */
const FORGET_MILLISECONDS = 30_000;

/** What the peer task needs. */
export interface GatewayPeerTaskOptions {
  readonly network: PeerNetwork;
  readonly store: FleetStore;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly state: GatewayStateTask;
  readonly load: FleetLoad;
  readonly outcomes: ServerOutcomes;
  readonly directory: PromptDirectory;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Where other routers connect to this one. */
  readonly address: SocketAddress;
  readonly callerAddress: SocketAddress;
  readonly seeds: readonly SocketAddress[];
  /** Whether callers may be sent to this router now. */
  readonly isServing: () => boolean;
  /** Share of its time that this router was busy. */
  readonly busyShare: () => number;
}

/** Talks to the other gateways. */
export class GatewayPeerTask extends Task {
  override readonly name = "gateway peers";
  readonly #options: GatewayPeerTaskOptions;
  readonly #peers = new Map<SocketAddress, GatewayPeer>();
  readonly #subscriptions: Subscription[] = [];
  readonly #catchUp: StateCatchUp;
  readonly #discovery: RouterDiscovery;
  #names: ServerNames = new Map();
  #tick = 0;
  #wasServing = false;
  #running = false;

  constructor(options: GatewayPeerTaskOptions) {
    super();
    this.#options = options;
    const { network, state, store, timers, host, dataCentre, address } =
      options;
    this.#catchUp = new StateCatchUp({
      network,
      state,
      log: options.log,
      host,
      peers: () => this.#peers.values(),
      liveAddresses: () => this.#liveAddresses(),
      now: () => this.#now(),
    });
    this.#discovery = new RouterDiscovery({
      store,
      timers,
      log: options.log,
      random: options.random,
      self: { host, dataCentre, address },
      onFound: (found) => this.#know(found),
    });
  }

  override async start(): Promise<void> {
    const { network, timers, state, seeds } = this.#options;
    this.#running = true;
    state.onChange(() => this.#renameServers());
    network.handle("gateway.report", (body, from) => this.#receive(body, from));
    network.handle("gateway.peers", (body, from) => this.#learn(body, from));
    for (const seed of seeds) this.#know(seed);
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
    const now = this.#now();
    const routers: EntryRouter[] = [];
    if (isServing()) {
      routers.push({ callerAddress, dataCentre, busyShare: busyShare() });
    }
    for (const peer of this.#peers.values()) {
      if (!peer.report?.isServing || !peer.identity) continue;
      if (this.#isSilent(peer, now)) continue;
      routers.push({
        callerAddress: peer.report.callerAddress,
        dataCentre: peer.identity.dataCentre,
        busyShare: peer.report.busyShare,
      });
    }
    return routers;
  }

  /** Routers that are heard, this one included. */
  liveRouters(): number {
    const now = this.#now();
    let live = 1;
    for (const peer of this.#peers.values()) {
      if (peer.report && !this.#isSilent(peer, now)) live++;
    }
    return live;
  }

  override describe(): unknown {
    const now = this.#now();
    return [...this.#peers.values()].map((peer) => ({
      address: peer.address,
      host: peer.identity?.host,
      silentMilliseconds: now - peer.heardAt,
      isServing: peer.report?.isServing ?? false,
    }));
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  #stretch(): number {
    return Math.max(1, Math.ceil(this.#peers.size / PEERS_AT_FULL_RATE));
  }

  #silenceMilliseconds(): number {
    return SILENT_HEARTBEATS * HEARTBEAT_TICKS * TICK_MILLISECONDS *
      this.#stretch();
  }

  #isSilent(peer: GatewayPeer, now: number): boolean {
    return now - peer.heardAt > this.#silenceMilliseconds();
  }

  #know(address: SocketAddress): void {
    if (address === this.#options.address || this.#peers.has(address)) return;
    this.#peers.set(address, createGatewayPeer(address, this.#now()));
  }

  #renameServers(): void {
    const { servers } = this.#options.state.registry.list();
    this.#names = nameServers(servers.map(({ id }) => id));
  }

  #onTick(): void {
    const { load, isServing } = this.#options;
    const now = this.#now();
    this.#tick++;
    load.expire(now);
    const serving = isServing();
    const isUrgent = serving !== this.#wasServing;
    this.#wasServing = serving;
    const bodies = new Map<number, PackedReport>();
    for (const peer of [...this.#peers.values()]) {
      this.#watchSilence(peer, now);
      if (!isUrgent && !this.#isDue(peer, now)) continue;
      const body = bodies.get(peer.sentReadings) ??
        packReport(this.#report(now, peer.sentReadings));
      bodies.set(peer.sentReadings, body);
      peer.sentTick = this.#tick;
      peer.sentVersion = load.ownVersion;
      peer.triedAt = now;
      if (!this.#isSilent(peer, now)) {
        peer.sentReadings = this.#options.directory.announced;
      }
      this.#options.network.send(peer.address, "gateway.report", body);
    }
    this.#catchUp.check();
  }

  #report(now: number, sentReadings: number): GatewayReport {
    const { state, load, outcomes, callerAddress, isServing, busyShare } =
      this.#options;
    const { directory } = this.#options;
    const { configurationVersion, registryRevision } = state.versions();
    return {
      callerAddress,
      isServing: isServing(),
      isWatching: state.registryTask.isWatching,
      busyShare: busyShare(),
      configurationVersion,
      registryRevision,
      registryDigest: state.registry.digest,
      loads: load.ownLoads(),
      outcomes: outcomes.ownFailures(now),
      readings: directory.announcementsSince(sentReadings),
    };
  }

  #isDue(peer: GatewayPeer, now: number): boolean {
    if (this.#isSilent(peer, now)) {
      return now - peer.triedAt >= RETRY_MILLISECONDS;
    }
    const stretch = this.#stretch();
    const ticks = this.#tick - peer.sentTick;
    // Others rely on a watching router, so its silence must show soon.
    const isWatching = this.#options.state.registryTask.isWatching;
    if (ticks >= HEARTBEAT_TICKS * (isWatching ? 1 : stretch)) return true;
    const isNear = peer.identity?.dataCentre === this.#options.dataCentre;
    return peer.sentVersion !== this.#options.load.ownVersion &&
      ticks >= (isNear ? NEAR_TICKS : FAR_TICKS) * stretch;
  }

  #watchSilence(peer: GatewayPeer, now: number): void {
    if (!this.#isSilent(peer, now)) return;
    if (peer.report) {
      peer.report = undefined;
      this.#options.log.write("peer.lost", {
        peer: peer.identity?.host,
        address: peer.address,
        silentMilliseconds: Math.round(now - peer.heardAt),
      });
      this.#options.network.reset(peer.address);
    }
    const since = Math.max(peer.heardAt, peer.knownSince);
    const isSeed = this.#options.seeds.includes(peer.address);
    if (now - since > FORGET_MILLISECONDS && !isSeed) {
      this.#peers.delete(peer.address);
      // A router that hears few others is more likely cut off itself.
      const hearsMost = this.liveRouters() * 2 > this.#peers.size;
      if (hearsMost) this.#discovery.remove(peer.address);
    }
  }

  #receive(body: unknown, from: PeerIdentity): void {
    if (!this.#running) return;
    const report = safeUnpackReport(body, this.#names);
    if (!report) return this.#ignore(from, "gateway.report");
    const now = this.#now();
    this.#know(from.address);
    const peer = this.#peers.get(from.address);
    if (!peer) return;
    const isNew = peer.identity?.incarnation !== from.incarnation ||
      !peer.report;
    peer.identity = from;
    peer.report = report;
    peer.heardAt = now;
    this.#options.load.report(from.host, report.loads, now);
    this.#options.outcomes.report(from.host, report.outcomes, now);
    for (const reading of report.readings) {
      this.#options.directory.learn(reading);
    }
    if (isNew) this.#welcome(peer);
  }

  #welcome(peer: GatewayPeer): void {
    this.#options.log.write("peer.connected", {
      peer: peer.identity?.host,
      address: peer.address,
    });
    peer.sentVersion = -1;
    // A peer that has just joined knows nothing; what is kept is sent again.
    peer.sentReadings = 0;
    this.#options.network.send(peer.address, "gateway.peers", {
      addresses: this.#liveAddresses(),
    });
  }

  #liveAddresses(): SocketAddress[] {
    const now = this.#now();
    return [...this.#peers.values()]
      .filter((peer) => !this.#isSilent(peer, now))
      .map(({ address }) => address);
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
    for (const address of message.data.addresses) this.#know(address);
  }
}

/** Creates the peer task of one gateway. */
export function createGatewayPeerTask(
  options: GatewayPeerTaskOptions,
): GatewayPeerTask {
  return new GatewayPeerTask(options);
}
