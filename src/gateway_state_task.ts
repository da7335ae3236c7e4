/**
 * Keeps the configuration of one gateway up to date and joins it with the
 * registered servers: read from the fleet's store, followed with watches, and
 * taken from peers that are ahead. Versions never go back.
 */
import { z } from "zod";
import {
  type GatewayConfiguration,
  gatewayConfigurationSchema,
} from "./core/gateway_configuration.ts";
import { createRouteTable, type RouteTable } from "./core/route_table.ts";
import type { RandomSource } from "./core/random.ts";
import {
  registrationListSchema,
  type ServerRegistry,
} from "./core/server_registry.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetStore } from "./fleet_store.ts";
import { createRegistryTask, type RegistryTask } from "./registry_task.ts";
import { StoreHealth } from "./store_health.ts";
import { Task } from "./task.ts";
import type { TimerService } from "./timer_service.ts";

/** Longest wait of one watch. A dead watch is noticed by peers before. */
const WATCH_MILLISECONDS = 25_000;
/** The same where only a few routers watch, and the others rely on them. */
const RELIED_ON_WATCH_MILLISECONDS = 6_000;
/** A router that leaves watching to others looks this often whether it should start. */
const IDLE_MILLISECONDS = 200;
/** The first wait is random, so that the watches of a fleet end at different times. */
const MINIMUM_FIRST_WATCH_MILLISECONDS = 2_000;

/** Versions in quick succession are read together; each wakes every router. */
const BATCH_MILLISECONDS = 400;

/** What the state task needs. */
export interface GatewayStateTaskOptions {
  readonly store: FleetStore;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly log: DecisionLog;
}

/** Everything a peer needs that cannot read the store. */
export const gatewayStateSchema = z.object({
  configuration: gatewayConfigurationSchema.optional(),
  registrations: registrationListSchema,
});

/** Everything a peer needs that cannot read the store. */
export type GatewayState = z.infer<typeof gatewayStateSchema>;

/** Whether a router watches the configuration, and whether others rely on it. */
export type ConfigurationWatch = "for_itself" | "for_others" | "not";

/** What is known now, for decisions and log lines. */
export interface StateVersions {
  readonly configurationVersion: number;
  readonly registryRevision: number;
}

/** Follows the state of the fleet. */
export class GatewayStateTask extends Task {
  override readonly name = "gateway state";
  readonly registryTask: RegistryTask;
  readonly #options: GatewayStateTaskOptions;
  readonly #storeHealth: StoreHealth;
  readonly #listeners: (() => void)[] = [];
  readonly #configurationListeners: ((next: GatewayConfiguration) => void)[] =
    [];
  #decideWatch: () => ConfigurationWatch = () => "for_itself";
  #table: RouteTable | undefined;
  #configurationRevision = 0;
  /** Newest version that a peer announced without its content. */
  #announcedVersion = 0;
  #running = false;

  constructor(options: GatewayStateTaskOptions) {
    super();
    this.#options = options;
    this.registryTask = createRegistryTask(options);
    this.registryTask.onChange(() => this.#notify());
    this.#storeHealth = new StoreHealth({
      ...options,
      subject: "configuration",
    });
  }

  /** The registered servers. */
  get registry(): ServerRegistry {
    return this.registryTask.registry;
  }

  /** The configuration in force; undefined before the first one. */
  table(): RouteTable | undefined {
    return this.#table;
  }

  /** Whether requests can be routed: configuration and servers are known. */
  isKnown(): boolean {
    return this.#table !== undefined && this.registry.revision > 0;
  }

  versions(): StateVersions {
    return {
      configurationVersion: this.#table?.configuration.version ?? 0,
      registryRevision: this.registry.revision,
    };
  }

  /** Time since the store last confirmed a subject, in milliseconds. */
  ageMilliseconds(subject: "configuration" | "registry"): number {
    const contact = subject === "configuration"
      ? this.#storeHealth
      : this.registryTask.storeHealth;
    return contact.ageMilliseconds();
  }

  /** Whether this router watches the store, and the store answers it. */
  get isWatching(): boolean {
    return this.registryTask.isWatching && !this.#storeHealth.isLost;
  }

  /** Sets who decides whether this router watches the configuration. */
  setWatchDecision(decideWatch: () => ConfigurationWatch): void {
    this.#decideWatch = decideWatch;
  }

  /** Calls the listener with every configuration that comes into force. */
  onConfiguration(listener: (next: GatewayConfiguration) => void): void {
    this.#configurationListeners.push(listener);
  }

  /** Calls the listener after every change. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** What a peer may take over. */
  state(): GatewayState {
    return {
      configuration: this.#table?.configuration,
      registrations: this.registry.list(),
    };
  }

  /** Takes over what a peer knows if it is newer. */
  adopt(state: GatewayState, peer: string): void {
    if (state.configuration) this.adoptConfiguration(state.configuration, peer);
    this.registryTask.adopt(state.registrations, peer);
  }

  /** Reads a version from the store that a peer has announced. */
  readSoon(version: number): void {
    this.#announcedVersion = Math.max(this.#announcedVersion, version);
  }

  /** Takes over a peer's configuration if it is newer. */
  adoptConfiguration(configuration: GatewayConfiguration, peer: string): void {
    this.#enforce(configuration, peer);
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
  }

  override async stop(): Promise<void> {
    this.#running = false;
    await this.registryTask.stop();
  }

  override describe(): unknown {
    return {
      ...this.versions(),
      isLost: this.#storeHealth.isLost,
      configurationAge: this.ageMilliseconds("configuration"),
      registry: this.registryTask.describe(),
    };
  }

  #firstWait(): number {
    const range = WATCH_MILLISECONDS - MINIMUM_FIRST_WATCH_MILLISECONDS;
    return MINIMUM_FIRST_WATCH_MILLISECONDS +
      this.#options.random.integer(range);
  }

  async #followConfiguration(): Promise<void> {
    const { store } = this.#options;
    let wait = this.#firstWait();
    while (this.#running) {
      const decision = this.#mustRead() ? "for_itself" : this.#decideWatch();
      if (decision === "not") {
        await this.#options.timers.sleep(IDLE_MILLISECONDS, "versions idle");
        continue;
      }
      if (decision === "for_others") {
        wait = Math.min(wait, RELIED_ON_WATCH_MILLISECONDS);
      }
      const isFirst = this.#configurationRevision === 0;
      const answer = isFirst
        ? await store.readConfiguration()
        : await store.watchConfiguration(this.#configurationRevision, wait);
      if (!this.#running) return;
      if (answer.isErr()) {
        if (answer.error.kind === "platform_history_lost") {
          this.#configurationRevision = 0;
        } else await this.#storeHealth.recordFailure(answer.error);
        continue;
      }
      if (!isFirst) wait = WATCH_MILLISECONDS;
      this.#storeHealth.recordSuccess();
      const { revision, configuration } = answer.value;
      if (configuration) this.#enforce(configuration, "store");
      this.#configurationRevision = revision;
      if (configuration && !isFirst) {
        await this.#options.timers.sleep(BATCH_MILLISECONDS, "versions");
      }
    }
  }

  /** Whether the store has to be read, whoever else watches it. */
  #mustRead(): boolean {
    return !this.isKnown() ||
      this.#announcedVersion > this.versions().configurationVersion;
  }

  #enforce(configuration: GatewayConfiguration, source: string): void {
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
      listener(configuration);
    }
    this.#notify();
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}

/** Creates the state task of one gateway. */
export function createGatewayStateTask(
  options: GatewayStateTaskOptions,
): GatewayStateTask {
  return new GatewayStateTask(options);
}
