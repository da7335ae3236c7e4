/**
 * Keeps the configuration and the registered servers of a gateway up to date:
 * reads them from the fleet's store, watches the store for changes, and accepts
 * newer versions from peers. Versions never decrease.
 */
import { ok, type Result } from "neverthrow";
import { z } from "zod";
import { safeParseConfiguration } from "./core/configuration_parser.ts";
import type { GatewayConfiguration } from "./core/gateway_configuration.ts";
import { createRouteTable, type RouteTable } from "./core/route_table.ts";
import { eraOf, revisionInEra } from "./core/store_revision.ts";
import { safeParseWith } from "./core/schema_result.ts";
import type { ServerRegistry } from "./core/server_registry.ts";
import {
  type RegistrationList,
  registrationListSchema,
} from "./core/server_registrations.ts";
import {
  createWatchSchedule,
  ONLY_WATCHER,
  type WatchPosition,
} from "./core/watch_schedule.ts";
import {
  createEvacuationTask,
  type EvacuationTask,
  type EvacuationTaskOptions,
} from "./evacuation_task.ts";
import type { StoredConfiguration } from "./fleet_store.ts";
import {
  createRegistryTask,
  type RegistryTask,
  type WatchDecision,
} from "./registry_task.ts";
import { StoreHealth } from "./store_health.ts";
import { Task } from "./task.ts";

/**
 * Longest duration of a watch. The store keeps its history for 20 s, and a longer
 * watch would end with the error that the changes since its start are lost.
 */
const MAXIMUM_WATCH_MILLISECONDS = 15_000;
/** How often a router that does not watch checks whether it should start to. */
const WATCH_CHECK_MILLISECONDS = 200;
/** Delay before the next call, to read successive versions together: each wakes every router. */
const BATCH_MILLISECONDS = 400;
/** From this size on, reading a version takes a notable share of a small host. */
const LARGE_CONFIGURATION_ROUTES = 300;
/** Delay before the next call after a large configuration. */
const LARGE_BATCH_MILLISECONDS = 700;

/** Options of the state task, and of the task for evacuations that it runs. */
export type GatewayStateTaskOptions = EvacuationTaskOptions;

const _state = z.object({
  configuration: z.unknown().optional(),
  registrations: registrationListSchema,
});

/** Configuration and registered servers. */
export interface GatewayState {
  readonly configuration: GatewayConfiguration | undefined;
  readonly registrations: RegistrationList;
}

/** Parses the state of a peer, or describes why it is invalid. */
export function safeParseState(value: unknown): Result<GatewayState, string> {
  return safeParseWith(_state, value).andThen((state) => {
    const { configuration, registrations } = state;
    if (configuration === undefined) {
      return ok({ configuration, registrations });
    }
    return safeParseConfiguration(configuration)
      .map((parsed) => ({ configuration: parsed, registrations }));
  });
}

/** Called with an applied configuration and whether it is the first. */
export type ConfigurationListener = (
  next: GatewayConfiguration,
  isFirst: boolean,
) => void;

/** Current versions of the state. */
export interface StateVersions {
  readonly configurationVersion: number;
  readonly registryRevision: number;
}

/** Keeps the fleet's configuration and registry up to date. */
export class GatewayStateTask extends Task {
  override readonly name = "gateway state";
  readonly registryTask: RegistryTask;
  readonly evacuationTask: EvacuationTask;
  readonly #options: GatewayStateTaskOptions;
  readonly #storeHealth: StoreHealth;
  readonly #listeners: (() => void)[] = [];
  readonly #configurationListeners: ConfigurationListener[] = [];
  readonly #schedule = createWatchSchedule(MAXIMUM_WATCH_MILLISECONDS);
  #decideWatch: WatchDecision = () => ONLY_WATCHER;
  #table: RouteTable | undefined;
  #configurationRevision = 0;
  /** Newest version that a peer announced without sending its content. */
  #announcedVersion = 0;
  /** Announced version for which the store was read last. */
  #readForVersion = 0;
  /** Whether versions come so quickly that a watch would return several. */
  #changesQuickly = false;
  #running = false;

  constructor(options: GatewayStateTaskOptions) {
    super();
    this.#options = options;
    this.registryTask = createRegistryTask(options);
    this.registryTask.onChange(() => this.#notify());
    this.evacuationTask = createEvacuationTask(options);
    this.#storeHealth = new StoreHealth({
      ...options,
      subject: "configuration",
    });
  }

  /** The registered servers. */
  get registry(): ServerRegistry {
    return this.registryTask.registry;
  }

  /** Route table of the current configuration; undefined before the first. */
  table(): RouteTable | undefined {
    return this.#table;
  }

  /** Whether the configuration and the registry are known. */
  isKnown(): boolean {
    return this.#table !== undefined && this.registry.revision > 0;
  }

  /** Whether requests can be served: everything that decides where they go is known. */
  allowsServing(): boolean {
    return this.isKnown() && this.evacuationTask.allowsServing;
  }

  versions(): StateVersions {
    return {
      configurationVersion: this.#table?.configuration.version ?? 0,
      registryRevision: this.registry.revision,
    };
  }

  /** The versions for logs, with the store's era apart from its revision. */
  loggedVersions() {
    const { configurationVersion, registryRevision } = this.versions();
    return {
      configurationVersion,
      registryRevision: revisionInEra(registryRevision),
      storeEra: eraOf(registryRevision),
    };
  }

  /** Time since the store last confirmed the subject, in milliseconds. */
  ageMilliseconds(subject: "configuration" | "registry"): number {
    const health = subject === "configuration"
      ? this.#storeHealth
      : this.registryTask.storeHealth;
    return health.ageMilliseconds();
  }

  /**
   * Whether this router watches the store and the store responds, also to the watch
   * for evacuations, so that another router takes over in time.
   */
  get isWatching(): boolean {
    return this.registryTask.isWatching && !this.#storeHealth.isUnavailable &&
      !this.evacuationTask.needsTakeover;
  }

  /** Whether a call for the configuration or the registry failed last. */
  get isStoreUnavailable(): boolean {
    return this.#storeHealth.isUnavailable ||
      this.registryTask.storeHealth.isUnavailable;
  }

  /** Sets the function that decides whether this router watches the store. */
  setWatchDecision(decideWatch: WatchDecision): void {
    this.#decideWatch = decideWatch;
  }

  /** Calls the listener with every configuration that is applied. */
  onConfiguration(listener: ConfigurationListener): void {
    this.#configurationListeners.push(listener);
  }

  /** Calls the listener after every change of configuration or registry. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** The current state, as sent to peers. */
  state(): GatewayState {
    return {
      configuration: this.#table?.configuration,
      registrations: this.registry.listForPeer(this.#now()),
    };
  }

  /** Applies the parts of a peer's state that are newer. */
  adopt(state: GatewayState, peer: string): void {
    if (state.configuration) this.adoptConfiguration(state.configuration, peer);
    this.registryTask.adopt(state.registrations, peer);
  }

  /** Makes this router read from the store a version that a peer announced. */
  requestRead(version: number): void {
    this.#announcedVersion = Math.max(this.#announcedVersion, version);
  }

  /** Applies a peer's configuration if it is newer. */
  adoptConfiguration(configuration: GatewayConfiguration, peer: string): void {
    this.#apply(configuration, peer);
  }

  override async start(): Promise<void> {
    this.#running = true;
    this.#options.store.onIgnored = ({ subject, name, reason }) =>
      this.#options.log.write(
        subject === "server"
          ? "registry.entry_ignored"
          : "configuration.rejected",
        { name, reason },
      );
    void this.#followConfiguration();
    await this.registryTask.start();
    await this.evacuationTask.start();
  }

  override async stop(): Promise<void> {
    this.#running = false;
    await this.registryTask.stop();
    await this.evacuationTask.stop();
  }

  override describe(): unknown {
    return {
      ...this.loggedVersions(),
      isLost: this.#storeHealth.isUnavailable,
      configurationAge: this.ageMilliseconds("configuration"),
      registry: this.registryTask.describe(),
      evacuations: this.evacuationTask.describe(),
    };
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  async #followConfiguration(): Promise<void> {
    const { store } = this.#options;
    while (this.#running) {
      const position = this.#mustRead() ? ONLY_WATCHER : this.#decideWatch();
      if (!position) {
        await this.#options.timers.sleep(
          WATCH_CHECK_MILLISECONDS,
          "versions idle",
        );
        continue;
      }
      const isWatch = !this.#readsCurrent();
      const result = isWatch
        ? await store.watchConfiguration(
          this.#configurationRevision,
          this.#nextWait(position),
        )
        : await store.readConfiguration();
      if (!this.#running) return;
      if (result.isErr()) {
        if (result.error.kind === "platform_history_lost") {
          this.#configurationRevision = 0;
          await this.#storeHealth.recordLostHistory();
        } else if (!this.#storeHealth.recordSilence(result.error)) {
          await this.#storeHealth.recordFailure(result.error);
        }
        continue;
      }
      this.#storeHealth.recordSuccess();
      await this.#applyStored(result.value, isWatch);
    }
  }

  /**
   * Returns how long a watch waits. After a failure the first call does not wait: it
   * may have been a return from a copy, which only a response shows.
   */
  #nextWait(position: WatchPosition): number {
    if (!this.#storeHealth.isProven) return 0;
    return this.#schedule.nextWait(position, this.#now());
  }

  /**
   * Whether to read the current version instead of waiting for newer ones. A
   * watch returns the content of every version since the last call, which would
   * take a host's link and processor while versions come in quick succession.
   */
  #readsCurrent(): boolean {
    if (this.#configurationRevision === 0 || this.#changesQuickly) return true;
    const { configurationVersion } = this.versions();
    const isAnnounced = this.#announcedVersion > configurationVersion &&
      this.#announcedVersion > this.#readForVersion;
    if (isAnnounced) this.#readForVersion = this.#announcedVersion;
    return isAnnounced;
  }

  async #applyStored(
    { revision, configuration, supersededVersions }: StoredConfiguration,
    isWatch: boolean,
  ): Promise<void> {
    const isFirst = this.#configurationRevision === 0;
    const isNewer = configuration !== undefined &&
      configuration.version > this.versions().configurationVersion;
    if (configuration) this.#apply(configuration, "store");
    this.#configurationRevision = revision;
    this.#changesQuickly = !isFirst &&
      (isWatch ? supersededVersions > 0 : isNewer);
    if (isFirst || !isNewer) return;
    this.#schedule.recordChange(this.#now());
    const isLarge = configuration.routes.length > LARGE_CONFIGURATION_ROUTES;
    await this.#options.timers.sleep(
      isLarge ? LARGE_BATCH_MILLISECONDS : BATCH_MILLISECONDS,
      "versions",
    );
  }

  /** Whether this router must read the store itself. */
  #mustRead(): boolean {
    return !this.isKnown() ||
      this.#announcedVersion > this.versions().configurationVersion;
  }

  #apply(configuration: GatewayConfiguration, source: string): void {
    const current = this.#table?.configuration.version ?? 0;
    if (configuration.version <= current) return;
    this.#table = createRouteTable(configuration);
    this.#options.log.write("configuration.in_force", {
      version: configuration.version,
      previous: current,
      source,
      routes: configuration.routes.length,
    });
    for (const listener of this.#configurationListeners) {
      listener(configuration, current === 0);
    }
    this.#notify();
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}

/** Creates the state task of a gateway. */
export function createGatewayStateTask(
  options: GatewayStateTaskOptions,
): GatewayStateTask {
  return new GatewayStateTask(options);
}
