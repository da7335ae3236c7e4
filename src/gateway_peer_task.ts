/**
 * What the gateways of a fleet tell each other: load and outcomes by backend
 * server, readiness, and the versions they know. Whoever is behind fetches the
 * state from a peer, so a router that the store refuses stays up to date.
 */
import type { FleetLoad } from "./core/fleet_load.ts";
import type { DataCentreId, HostId, SocketAddress } from "./core/ids.ts";
import type { PromptDirectory } from "./core/prompt_directory.ts";
import type { ServerOutcomes } from "./core/server_outcomes.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetStore } from "./fleet_store.ts";
import {
  gatewayPeersSchema,
  type GatewayReport,
  nameServers,
  type PackedReport,
  packReport,
  safeUnpackReport,
  type ServerNames,
} from "./gateway_peer_messages.ts";
import {
  gatewayStateSchema,
  type GatewayStateTask,
} from "./gateway_state_task.ts";
import type { PeerIdentity, PeerNetwork } from "./peer_network.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

const TICK_MILLISECONDS = 50;
/** Changes are reported to routers of the same data centre at every tick. */
const NEAR_TICKS = 1;
/** Bytes between data centres are dear, so others hear of changes less often. */
const FAR_TICKS = 3;
/** A router without changes reports this often. */
const HEARTBEAT_TICKS = 8;
/** More peers than this stretch the periods, so that the cost of a router stays. */
const PEERS_AT_FULL_RATE = 20;
/** A peer that was silent for this many heartbeats is not used any more. */
const SILENT_HEARTBEATS = 3;
/** A silent peer is tried this often. */
const RETRY_MILLISECONDS = 1_000;
/** An address without an answer for this long is forgotten, unless it is listed. */
const FORGET_MILLISECONDS = 30_000;
/** Being behind a peer for this long means that the own watch does not work. */
const BEHIND_MILLISECONDS = 300;
const STATE_TIMEOUT_MILLISECONDS = 1_000;
/** Routers are listed again this often; peers name new ones in between. */
const LIST_MILLISECONDS = 30_000;
const FIRST_LIST_RETRY_MILLISECONDS = 500;

/** A router that callers may be sent to. */
export interface ServingRouter {
  readonly callerAddress: SocketAddress;
  readonly dataCentre: DataCentreId;
  readonly busyShare: number;
}

/** What the peer task needs. */
export interface GatewayPeerTaskOptions {
  readonly network: PeerNetwork;
  readonly store: FleetStore;
  readonly timers: TimerService;
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

interface _Peer {
  readonly address: SocketAddress;
  identity: PeerIdentity | undefined;
  report: GatewayReport | undefined;
  heardAt: number;
  knownSince: number;
  triedAt: number;
  sentTick: number;
  sentVersion: number;
  /** Number after the last announcement of readings that was sent. */
  sentReadings: number;
  behindSince: number | undefined;
}

/** Talks to the other gateways. */
export class GatewayPeerTask extends Task {
  override readonly name = "gateway peers";
  readonly #options: GatewayPeerTaskOptions;
  readonly #peers = new Map<SocketAddress, _Peer>();
  readonly #subscriptions: Subscription[] = [];
  #names: ServerNames = new Map();
  #tick = 0;
  #wasServing = false;
  #isFetching = false;
  #running = false;
  #registered = false;

  constructor(options: GatewayPeerTaskOptions) {
    super();
    this.#options = options;
  }

  override async start(): Promise<void> {
    const { network, timers, state, seeds } = this.#options;
    this.#running = true;
    state.onChange(() => this.#renameServers());
    network.handle("gateway.report", (body, from) => this.#receive(body, from));
    network.handle("gateway.peers", (body) => this.#learn(body));
    network.handle("gateway.state", () => state.state());
    for (const seed of seeds) this.#know(seed);
    this.#subscriptions.push(
      timers.every(TICK_MILLISECONDS, "gateway reports", () => this.#onTick()),
    );
    void this.#discover();
  }

  override async stop(): Promise<void> {
    this.#running = false;
    for (const subscription of this.#subscriptions) subscription.cancel();
  }

  /** Tells all peers at once that this router stops serving. */
  announce(): void {
    this.#onTick();
  }

  /** Routers that callers may be sent to, this one included if it serves. */
  servingRouters(): ServingRouter[] {
    const { callerAddress, dataCentre, isServing, busyShare } = this.#options;
    const now = this.#now();
    const routers: ServingRouter[] = [];
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

  #isSilent(peer: _Peer, now: number): boolean {
    return now - peer.heardAt > this.#silenceMilliseconds();
  }

  #know(address: SocketAddress): void {
    if (address === this.#options.address || this.#peers.has(address)) return;
    const now = this.#now();
    this.#peers.set(address, {
      address,
      identity: undefined,
      report: undefined,
      heardAt: Number.NEGATIVE_INFINITY,
      knownSince: now,
      triedAt: Number.NEGATIVE_INFINITY,
      sentTick: Number.NEGATIVE_INFINITY,
      sentVersion: -1,
      sentReadings: 0,
      behindSince: undefined,
    });
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
    this.#catchUp(now);
  }

  #report(now: number, sentReadings: number): GatewayReport {
    const { state, load, outcomes, callerAddress, isServing, busyShare } =
      this.#options;
    const { directory } = this.#options;
    const { configurationVersion, registryRevision } = state.versions();
    return {
      callerAddress,
      isServing: isServing(),
      busyShare: busyShare(),
      configurationVersion,
      registryRevision,
      registryDigest: state.registry.digest,
      loads: load.ownLoads(),
      outcomes: outcomes.ownFailures(now),
      readings: directory.announcementsSince(sentReadings),
    };
  }

  #isDue(peer: _Peer, now: number): boolean {
    if (this.#isSilent(peer, now)) {
      return now - peer.triedAt >= RETRY_MILLISECONDS;
    }
    const stretch = this.#stretch();
    const ticks = this.#tick - peer.sentTick;
    if (ticks >= HEARTBEAT_TICKS * stretch) return true;
    const isNear = peer.identity?.dataCentre === this.#options.dataCentre;
    return peer.sentVersion !== this.#options.load.ownVersion &&
      ticks >= (isNear ? NEAR_TICKS : FAR_TICKS) * stretch;
  }

  #watchSilence(peer: _Peer, now: number): void {
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
    }
  }

  #receive(body: unknown, from: PeerIdentity): void {
    if (!this.#running) return;
    const report = safeUnpackReport(body, this.#names);
    if (!report) return;
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

  #welcome(peer: _Peer): void {
    this.#options.log.write("peer.connected", {
      peer: peer.identity?.host,
      address: peer.address,
    });
    peer.sentVersion = -1;
    // A peer that has just joined knows nothing; what is kept is sent again.
    peer.sentReadings = 0;
    const now = this.#now();
    const addresses = [...this.#peers.values()]
      .filter((other) => !this.#isSilent(other, now))
      .map(({ address }) => address);
    this.#options.network.send(peer.address, "gateway.peers", { addresses });
  }

  #learn(body: unknown): void {
    const message = gatewayPeersSchema.safeParse(body);
    if (!message.success) return;
    for (const address of message.data.addresses) this.#know(address);
  }

  /** Fetches the state from a peer that is ahead for longer than a watch needs. */
  #catchUp(now: number): void {
    const { state } = this.#options;
    const own = state.versions();
    for (const peer of this.#peers.values()) {
      const report = peer.report;
      const isBehind = report !== undefined && (
        report.configurationVersion > own.configurationVersion ||
        (report.registryRevision > own.registryRevision &&
          report.registryDigest !== state.registry.digest)
      );
      if (!isBehind) {
        peer.behindSince = undefined;
        continue;
      }
      peer.behindSince ??= now;
      const isLate = now - peer.behindSince >= BEHIND_MILLISECONDS;
      if (isLate || !state.isKnown()) void this.#fetch(peer);
    }
  }

  async #fetch(peer: _Peer): Promise<void> {
    if (this.#isFetching) return;
    this.#isFetching = true;
    const { network, state } = this.#options;
    const answer = await network.request(
      peer.address,
      "gateway.state",
      {},
      STATE_TIMEOUT_MILLISECONDS,
    );
    this.#isFetching = false;
    peer.behindSince = undefined;
    if (answer.isErr() || !this.#running) return;
    const parsed = gatewayStateSchema.safeParse(answer.value);
    if (parsed.success) state.adopt(parsed.data, peer.identity?.host ?? "peer");
  }

  /** Registers this router once and looks for others until the store answered. */
  async #discover(): Promise<void> {
    const { store, timers, host, dataCentre, address } = this.#options;
    while (this.#running) {
      if (!this.#registered) {
        const registered = await store.registerRouter({
          host,
          dataCentre,
          address,
        });
        this.#registered = registered.isOk();
      }
      const listed = await store.listRouters();
      if (listed.isOk()) {
        for (const record of listed.value) this.#know(record.address);
      }
      const isDone = this.#registered && listed.isOk();
      await timers.sleep(
        isDone ? LIST_MILLISECONDS : FIRST_LIST_RETRY_MILLISECONDS,
        "router discovery",
      );
    }
  }
}

/** Creates the peer task of one gateway. */
export function createGatewayPeerTask(
  options: GatewayPeerTaskOptions,
): GatewayPeerTask {
  return new GatewayPeerTask(options);
}
