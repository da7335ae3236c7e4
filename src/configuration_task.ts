/**
 * Keeps the configuration of one router up to date: reads the platform,
 * exchanges changes with peers, and publishes the configuration in force.
 */
import { parseChunksInSlices } from "./chunk_parsing.ts";
import {
  ConfigurationExchange,
  type ReadHead,
} from "./configuration_exchange.ts";
import type { ConfigurationView } from "./configuration_view.ts";
import { ConfigurationWatch, retryDelay } from "./configuration_watch.ts";
import { recordGenerationFloor } from "./core/configuration_apply.ts";
import { ChunkReader } from "./core/configuration_chunks.ts";
import type {
  ConfigurationAction,
  ConfigurationAlarm,
  ConfigurationEvent,
  ConfigurationSource,
  ConfigurationState,
} from "./core/configuration_events.ts";
import { type ConfigurationHead, sha256 } from "./core/configuration_head.ts";
import {
  createConfigurationState,
  decideConfiguration,
  generationOf,
  isReady,
} from "./core/configuration_state.ts";
import { chooseAnnouncementTargets } from "./core/configuration_tree.ts";
import type { Fleet } from "./core/fleet_schema.ts";
import type { SocketAddress } from "./core/ids.ts";
import type { RandomSource } from "./core/random.ts";
import type { MembershipView } from "./membership_view.ts";
import type { PeerNetwork } from "./peer_network.ts";
import type { PlatformClient } from "./platform_client.ts";
import { PublishedConfiguration } from "./published_configuration.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

const TICK_PERIOD_MILLISECONDS = 250;
/** Watchers also poll at this interval, in case a watch fails silently. */
export const READ_PERIOD_MILLISECONDS = 5_000;
/** Maximum number of peers that a starting router queries in each round. */
const START_UP_PEERS = 5;

/** Options of the configuration task. */
export interface ConfigurationTaskOptions {
  readonly network: PeerNetwork;
  readonly platform: PlatformClient;
  readonly membership: MembershipView;
  readonly timers: TimerService;
  readonly random: RandomSource;
  /** Called when an alarm is raised or cleared; no detail means cleared. */
  readonly onAlarm?: (
    alarm: ConfigurationAlarm,
    detail: string | undefined,
  ) => void;
}

/** Loads, exchanges and publishes the configuration of one router. */
export class ConfigurationTask extends Task {
  override readonly name = "configuration";
  readonly #options: ConfigurationTaskOptions;
  readonly #view = new PublishedConfiguration();
  readonly #reader = new ChunkReader();
  readonly #exchange: ConfigurationExchange;
  readonly #watch: ConfigurationWatch;
  readonly #subscriptions: Subscription[] = [];
  readonly #waitingForReady: (() => void)[] = [];
  #state: ConfigurationState;
  #ready = false;
  /** Whether a start-up round has reached a peer or the platform. */
  #sourceReached = false;
  #peerFrameSeen = false;
  #stopped = false;

  constructor(options: ConfigurationTaskOptions) {
    super();
    this.#options = options;
    this.#state = createConfigurationState(this.#now());
    this.#exchange = new ConfigurationExchange({
      network: options.network,
      platform: options.platform,
      findChunk: (digest) => this.#state.chunks.get(digest),
      onAnnounced: (from, generation) =>
        this.#handle({ kind: "announced", from, generation }),
    });
    this.#watch = new ConfigurationWatch({
      ...options,
      highestGeneration: () => this.#state.highestGeneration,
      onHeadRead: (read, seenAtStart) =>
        this.#handleHeadRead(read, seenAtStart),
    });
  }

  /** The configuration in force, for other tasks. */
  get view(): ConfigurationView {
    return this.#view;
  }

  override async start(): Promise<void> {
    const { membership, network, timers } = this.#options;
    this.#exchange.start();
    network.onGeneration((generation, from) =>
      this.#handleGeneration(generation, from.address)
    );
    membership.onChange(() => this.#watch.update());
    this.#subscriptions.push(
      timers.every(
        TICK_PERIOD_MILLISECONDS,
        "configuration tick",
        () => this.#tick(),
      ),
      timers.every(READ_PERIOD_MILLISECONDS, "configuration read", () => {
        if (this.#watch.isWatching) void this.#readPlatform();
      }),
    );
    this.#watch.update();
    void this.#startUp();
  }

  override async stop(): Promise<void> {
    this.#stopped = true;
    this.#watch.stop();
    for (const subscription of this.#subscriptions) subscription.cancel();
  }

  /** Resolves once the configuration is as new as that of reachable peers. */
  whenReady(): Promise<void> {
    if (this.#ready) return Promise.resolve();
    return new Promise((resolve) => this.#waitingForReady.push(resolve));
  }

  /** Whether `whenReady` has resolved. */
  isReady(): boolean {
    return this.#ready;
  }

  /** Whether neither a peer nor the platform has responded recently. */
  isStale(): boolean {
    return this.#state.alarms.has("configuration_stale");
  }

  /** The alarms that are currently raised. */
  alarms(): readonly ConfigurationAlarm[] {
    return [...this.#state.alarms];
  }

  /** The highest generation seen, which may not be in force yet. */
  highestGeneration(): number {
    return this.#state.highestGeneration;
  }

  override describe(): unknown {
    const { alarms, chunks, claims, highestGeneration, inForce, pending } =
      this.#state;
    return {
      generation: inForce?.generation ?? 0,
      digest: inForce?.digest,
      applyId: inForce?.applyId,
      drains: inForce?.drains,
      highestGeneration,
      ready: this.#ready,
      watching: this.#watch.isWatching,
      alarms: [...alarms],
      chunks: chunks.size,
      claims: Object.fromEntries(claims),
      pending: pending &&
        { generation: pending.head.generation, attempt: pending.attempt },
      ...this.#exchange.counters,
    };
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  #handle(event: ConfigurationEvent): void {
    if (this.#stopped) return;
    const decision = decideConfiguration(this.#state, event, {
      nowMilliseconds: this.#now(),
      random: this.#options.random.next(),
      readFleet: (digests, texts) => this.#reader.read(digests, texts),
    });
    this.#state = decision.state;
    for (const action of decision.actions) this.#perform(action);
    this.#checkReady();
  }

  #perform(action: ConfigurationAction): void {
    switch (action.kind) {
      case "fetch_head":
        return void this.#fetchHead(action.source);
      case "fetch_chunks":
        return void this.#fetchChunks(action.source, action.digests);
      case "adopt":
        return this.#adopt(action.head, action.fleet);
      case "announce":
        return this.#announce(action.head);
      case "raise_alarm":
        return this.#options.onAlarm?.(action.alarm, action.detail);
      case "clear_alarm":
        return this.#options.onAlarm?.(action.alarm, undefined);
      case "record_floor":
        return void recordGenerationFloor(
          this.#options.platform,
          action.generation,
        );
    }
  }

  #adopt(head: ConfigurationHead, fleet: Fleet): void {
    const { generation, digest, drains } = head;
    this.#exchange.setServedHead(head);
    this.#options.network.setGeneration(generation);
    this.#view.publish({ generation, digest, fleet, drains });
  }

  #announce(head: ConfigurationHead): void {
    const { membership } = this.#options;
    for (
      const target of chooseAnnouncementTargets(
        membership.self(),
        membership.liveMembers(),
      )
    ) {
      this.#exchange.announce(target.address, head.generation);
    }
  }

  #checkReady(): void {
    if (this.#ready || !this.#sourceReached || !isReady(this.#state)) return;
    this.#ready = true;
    for (const resolve of this.#waitingForReady.splice(0)) resolve();
  }

  /** Called for every frame; handles only generations above this router's. */
  #handleGeneration(generation: number, from: SocketAddress): void {
    this.#peerFrameSeen = true;
    if (generation > generationOf(this.#state)) {
      this.#handle({ kind: "announced", from, generation });
    }
  }

  #tick(): void {
    if (this.#peerFrameSeen) {
      this.#peerFrameSeen = false;
      // Generation 0 only records that a peer was in contact.
      this.#handle({
        kind: "announced",
        from: this.#options.membership.self().address,
        generation: 0,
      });
    }
    this.#handle({ kind: "tick" });
  }

  async #fetchHead(source: ConfigurationSource): Promise<boolean> {
    if (source.kind === "platform") return this.#readPlatform();
    const fetched = await this.#exchange.fetchHead(source.address);
    const head = fetched.unwrapOr(undefined);
    if (head) {
      this.#handle({ kind: "head_fetched", from: source.address, head });
    } else this.#handle({ kind: "fetch_failed", source, what: "head" });
    return fetched.isOk();
  }

  async #fetchChunks(
    source: ConfigurationSource,
    digests: readonly string[],
  ): Promise<void> {
    const fetched = source.kind === "platform"
      ? await this.#exchange.readChunks(digests)
      : await this.#exchange.fetchChunks(source.address, digests);
    if (fetched.isErr()) {
      this.#handle({ kind: "fetch_failed", source, what: "chunks" });
      return;
    }
    const requested = new Set(digests);
    const texts = fetched.value.filter((text) => requested.has(sha256(text)));
    await parseChunksInSlices(this.#reader, texts);
    this.#handle({ kind: "chunks_arrived", source, texts });
  }

  async #readPlatform(): Promise<boolean> {
    const seen = this.#state.highestGeneration;
    const read = await this.#exchange.readHead();
    if (read.isErr()) return false;
    this.#handleHeadRead(read.value, seen);
    return true;
  }

  /**
   * Handles a head read from the platform. A head overtaken by a newer one
   * while the read was in flight is not a stale read and is ignored.
   */
  #handleHeadRead({ head, version }: ReadHead, seenAtStart: number): void {
    const { highestGeneration } = this.#state;
    const isOlder = (head?.generation ?? 0) < highestGeneration;
    if (isOlder && highestGeneration > seenAtStart) return;
    this.#watch.recordVersion(version);
    this.#handle({ kind: "head_read", head });
  }

  /** Queries peers and the platform until the configuration is up to date. */
  async #startUp(): Promise<void> {
    const { membership, random, timers } = this.#options;
    for (let round = 0; !this.#ready && !this.#stopped; round++) {
      const { host } = membership.self();
      const others = membership.liveMembers().filter((member) =>
        member.host !== host
      );
      const peers = random.shuffle(others).slice(0, START_UP_PEERS);
      const reached = await Promise.all([
        this.#readPlatform(),
        ...peers.map(({ address }) =>
          this.#fetchHead({ kind: "peer", address })
        ),
      ]);
      this.#sourceReached ||= reached.includes(true);
      this.#checkReady();
      if (!this.#ready) {
        await timers.sleep(
          retryDelay(round, random.next()),
          "configuration start-up",
        );
      }
    }
  }
}

/** Creates the configuration task of one router. */
export function createConfigurationTask(
  options: ConfigurationTaskOptions,
): ConfigurationTask {
  return new ConfigurationTask(options);
}
