/**
 * Keeps the configuration of one router up to date: watches the platform if
 * this router is a watcher, exchanges changes with peers, and publishes the
 * configuration in force.
 */
import { prepareChunks } from "./chunk_preparation.ts";
import {
  ConfigurationExchange,
  parseHeadObject,
  type ReadHead,
} from "./configuration_exchange.ts";
import { ConfigurationView } from "./configuration_view.ts";
import { recordGenerationFloor } from "./core/configuration_apply.ts";
import { ChunkReader } from "./core/configuration_chunks.ts";
import type {
  ConfigurationAction,
  ConfigurationAlarm,
  ConfigurationEvent,
  ConfigurationSource,
  ConfigurationState,
} from "./core/configuration_events.ts";
import {
  type ConfigurationHead,
  HEAD_KEY,
  sha256,
} from "./core/configuration_head.ts";
import {
  createConfigurationState,
  decideConfiguration,
  generationOf,
  isReady,
} from "./core/configuration_state.ts";
import {
  chooseAnnouncementTargets,
  isWatcher,
} from "./core/configuration_tree.ts";
import type { ConfigurationSnapshot, Fleet } from "./core/fleet_schema.ts";
import type { SocketAddress } from "./core/ids.ts";
import type { RandomSource } from "./core/random.ts";
import type { MembershipView } from "./membership_view.ts";
import type { PeerNetwork } from "./peer_network.ts";
import type { PlatformClient } from "./platform_client.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

const TICK_MILLISECONDS = 250;
/** Watchers also poll at this interval, in case a watch fails silently. */
export const READ_PERIOD_MILLISECONDS = 5_000;
const WATCH_TIMEOUT_MILLISECONDS = 30_000;
const INITIAL_RETRY_MILLISECONDS = 250;
const MAXIMUM_RETRY_MILLISECONDS = 5_000;
/** Peers that a starting router queries in each round. */
const START_UP_PEERS = 5;

/** Options of the configuration task. */
export interface ConfigurationTaskOptions {
  readonly network: PeerNetwork;
  readonly platform: PlatformClient;
  readonly membership: MembershipView;
  readonly timers: TimerService;
  readonly random: RandomSource;
  /** Called when an alarm is raised, and without a detail when it clears. */
  readonly onAlarm?: (
    alarm: ConfigurationAlarm,
    detail: string | undefined,
  ) => void;
}

class _PublishedView extends ConfigurationView {
  readonly #listeners: ((snapshot: ConfigurationSnapshot) => void)[] = [];
  #snapshot: ConfigurationSnapshot | undefined;

  override current(): ConfigurationSnapshot | undefined {
    return this.#snapshot;
  }

  override onChange(listener: (snapshot: ConfigurationSnapshot) => void): void {
    this.#listeners.push(listener);
  }

  publish(snapshot: ConfigurationSnapshot): void {
    this.#snapshot = snapshot;
    for (const listener of this.#listeners) listener(snapshot);
  }
}

/** Loads, exchanges and publishes the configuration of one router. */
export class ConfigurationTask extends Task {
  override readonly name = "configuration";
  readonly #options: ConfigurationTaskOptions;
  readonly #view = new _PublishedView();
  readonly #reader = new ChunkReader();
  readonly #exchange: ConfigurationExchange;
  readonly #subscriptions: Subscription[] = [];
  readonly #waitingForReady: (() => void)[] = [];
  #state: ConfigurationState;
  #ready = false;
  /** Whether a start-up round has reached a peer or the platform. */
  #sourceReached = false;
  #peerFrameSeen = false;
  #stopped = false;
  #watching = false;
  #headVersion = 0;
  /** Incremented when watching starts or stops, which ends older loops. */
  #watchId = 0;

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
  }

  /** The configuration in force, for other tasks. */
  get view(): ConfigurationView {
    return this.#view;
  }

  override async start(): Promise<void> {
    const { membership, network, timers } = this.#options;
    this.#exchange.start();
    network.onGeneration((generation, from) =>
      this.#generationSeen(generation, from.address)
    );
    membership.onChange(() => this.#updateWatching());
    this.#subscriptions.push(
      timers.every(TICK_MILLISECONDS, "configuration tick", () => this.#tick()),
      timers.every(READ_PERIOD_MILLISECONDS, "configuration read", () => {
        if (this.#watching) void this.#readPlatform();
      }),
    );
    this.#updateWatching();
    void this.#startUp();
  }

  override async stop(): Promise<void> {
    this.#stopped = true;
    this.#watchId++;
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
      watching: this.#watching,
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

  /** Runs for every frame, so it only handles generations above our own. */
  #generationSeen(generation: number, from: SocketAddress): void {
    this.#peerFrameSeen = true;
    if (generation > generationOf(this.#state)) {
      this.#handle({ kind: "announced", from, generation });
    }
  }

  #tick(): void {
    if (this.#peerFrameSeen) {
      this.#peerFrameSeen = false;
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
    await prepareChunks(this.#reader, texts);
    this.#handle({ kind: "chunks_arrived", source, texts });
  }

  async #readPlatform(): Promise<boolean> {
    const seen = this.#state.highestGeneration;
    const read = await this.#exchange.readHead();
    if (read.isErr()) return false;
    this.#headRead(read.value, seen);
    return true;
  }

  /**
   * Ignores a response that is older than a head received while the read was in
   * flight, as this is not a stale read of the store.
   */
  #headRead({ head, version }: ReadHead, seenAtStart: number): void {
    const { highestGeneration } = this.#state;
    const isOlder = (head?.generation ?? 0) < highestGeneration;
    if (isOlder && highestGeneration > seenAtStart) return;
    const isRolledBack = version < this.#headVersion;
    this.#headVersion = version;
    // A pending watch would miss versions that a rolled back store reuses.
    if (isRolledBack && this.#watching) void this.#watch(++this.#watchId);
    this.#handle({ kind: "head_read", head });
  }

  #updateWatching(): void {
    const { membership } = this.#options;
    const watching = isWatcher(membership.self(), membership.liveMembers());
    if (watching === this.#watching || this.#stopped) return;
    this.#watching = watching;
    const watchId = ++this.#watchId;
    if (watching) void this.#watch(watchId);
  }

  async #watch(watchId: number): Promise<void> {
    const { platform, timers } = this.#options;
    let failures = 0;
    while (watchId === this.#watchId) {
      const seen = this.#state.highestGeneration;
      const watched = await platform.watch(
        HEAD_KEY,
        this.#headVersion,
        WATCH_TIMEOUT_MILLISECONDS,
      );
      if (watchId !== this.#watchId) return;
      const parsed = watched.andThen(parseHeadObject);
      if (parsed.isOk()) {
        failures = 0;
        if (parsed.value.head) this.#headRead(parsed.value, seen);
        continue;
      }
      await timers.sleep(this.#retryDelay(failures++), "configuration watch");
    }
  }

  #retryDelay(failures: number): number {
    const longest = Math.min(
      MAXIMUM_RETRY_MILLISECONDS,
      INITIAL_RETRY_MILLISECONDS * 2 ** Math.min(failures, 10),
    );
    return longest * (0.5 + this.#options.random.next() / 2);
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
        await timers.sleep(this.#retryDelay(round), "configuration start-up");
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
