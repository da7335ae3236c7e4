/**
 * Keeps the configuration and the registered servers of one gateway up to date:
 * reads them from the fleet's store, follows them with watches, and takes newer
 * ones from peers while the store does not answer. Versions never go back.
 */
import { z } from "zod";
import type { ApplicationError } from "./core/errors.ts";
import {
  type GatewayConfiguration,
  gatewayConfigurationSchema,
} from "./core/gateway_configuration.ts";
import { createRouteTable, type RouteTable } from "./core/route_table.ts";
import type { RandomSource } from "./core/random.ts";
import {
  createServerRegistry,
  registrationListSchema,
  type ServerRegistry,
} from "./core/server_registry.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetStore } from "./fleet_store.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

/** Longest wait of one watch. A dead watch is noticed by peers before. */
const WATCH_MILLISECONDS = 10_000;
/** The first wait is random, so that the watches of a fleet end at different times. */
const MINIMUM_FIRST_WATCH_MILLISECONDS = 2_000;
const FIRST_RETRY_MILLISECONDS = 100;
const MAXIMUM_RETRY_MILLISECONDS = 1_000;
const EXPIRY_PERIOD_MILLISECONDS = 250;

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

/** What is known now, for decisions and log lines. */
export interface StateVersions {
  readonly configurationVersion: number;
  readonly registryRevision: number;
}

type _Subject = "configuration" | "registry";

/** Follows the state of the fleet. */
export class GatewayStateTask extends Task {
  override readonly name = "gateway state";
  readonly registry: ServerRegistry = createServerRegistry();
  readonly #options: GatewayStateTaskOptions;
  readonly #listeners: (() => void)[] = [];
  readonly #lost = new Set<_Subject>();
  readonly #confirmedAt = new Map<_Subject, number>();
  #table: RouteTable | undefined;
  #configurationRevision = 0;
  #running = false;
  #expiry: Subscription | undefined;

  constructor(options: GatewayStateTaskOptions) {
    super();
    this.#options = options;
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
  ageMilliseconds(subject: _Subject): number {
    const confirmedAt = this.#confirmedAt.get(subject);
    return confirmedAt === undefined ? -1 : this.#now() - confirmedAt;
  }

  /** Whether the store answered the last call about a subject. */
  isStoreReachable(): boolean {
    return this.#lost.size === 0;
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
    if (state.configuration) this.#enforce(state.configuration, peer);
    const { registrations } = state;
    if (registrations.revision > this.registry.revision) {
      this.registry.replace(registrations, this.#now());
      this.#registryChanged(peer);
    }
  }

  override async start(): Promise<void> {
    const { timers } = this.#options;
    this.#running = true;
    this.#options.store.onIgnored = ({ subject, name, reason }) =>
      this.#options.log.write(
        subject === "server"
          ? "registry.entry_ignored"
          : "configuration.rejected",
        { name, reason },
      );
    void this.#followConfiguration();
    void this.#followServers();
    this.#expiry = timers.every(
      EXPIRY_PERIOD_MILLISECONDS,
      "registration expiry",
      () => this.#expire(),
    );
  }

  override async stop(): Promise<void> {
    this.#running = false;
    this.#expiry?.cancel();
  }

  override describe(): unknown {
    return {
      ...this.versions(),
      lost: [...this.#lost],
      configurationAge: this.ageMilliseconds("configuration"),
      registryAge: this.ageMilliseconds("registry"),
      servers: this.registry.list().servers,
    };
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  #firstWait(): number {
    const range = WATCH_MILLISECONDS - MINIMUM_FIRST_WATCH_MILLISECONDS;
    return MINIMUM_FIRST_WATCH_MILLISECONDS +
      this.#options.random.integer(range);
  }

  async #followConfiguration(): Promise<void> {
    const { store } = this.#options;
    let wait = this.#firstWait();
    let failures = 0;
    while (this.#running) {
      const isFirst = this.#configurationRevision === 0;
      const answer = isFirst
        ? await store.readConfiguration()
        : await store.watchConfiguration(this.#configurationRevision, wait);
      if (!this.#running) return;
      if (answer.isErr()) {
        if (answer.error.kind === "platform_history_lost") {
          this.#configurationRevision = 0;
        } else {failures = await this.#pause(
            "configuration",
            answer.error,
            failures,
          );}
        continue;
      }
      failures = 0;
      if (!isFirst) wait = WATCH_MILLISECONDS;
      this.#confirm("configuration");
      const { revision, configuration } = answer.value;
      if (configuration) this.#enforce(configuration, "store");
      this.#configurationRevision = revision;
    }
  }

  async #followServers(): Promise<void> {
    let wait = this.#firstWait();
    let failures = 0;
    let isListed = false;
    while (this.#running) {
      const failure: ApplicationError | undefined = isListed
        ? await this.#watchServers(wait)
        : await this.#listServers();
      if (!this.#running) return;
      if (!failure) {
        failures = 0;
        if (isListed) wait = WATCH_MILLISECONDS;
        isListed = true;
        continue;
      }
      isListed = isListed && failure.kind !== "platform_history_lost";
      if (failure.kind === "platform_history_lost") continue;
      failures = await this.#pause("registry", failure, failures);
    }
  }

  async #listServers(): Promise<ApplicationError | undefined> {
    const listed = await this.#options.store.listServers();
    if (listed.isErr()) return listed.error;
    this.#confirm("registry");
    const before = this.registry.version;
    this.registry.replace(listed.value, this.#now());
    if (this.registry.version !== before) this.#registryChanged("store");
    return undefined;
  }

  async #watchServers(wait: number): Promise<ApplicationError | undefined> {
    const watched = await this.#options.store.watchServers(
      this.registry.revision,
      wait,
    );
    if (watched.isErr()) return watched.error;
    this.#confirm("registry");
    const { revision, changes } = watched.value;
    this.registry.apply(revision, changes, this.#now());
    if (changes.length > 0) this.#registryChanged("store");
    return undefined;
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
    this.#notify();
  }

  #registryChanged(source: string): void {
    this.#options.log.write("registry.changed", {
      revision: this.registry.revision,
      source,
      servers: this.registry.list().servers.length,
    });
    this.#notify();
  }

  #expire(): void {
    const before = this.registry.version;
    this.registry.expire(this.#now());
    if (this.registry.version !== before) this.#registryChanged("expiry");
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }

  #confirm(subject: _Subject): void {
    this.#confirmedAt.set(subject, this.#now());
    if (subject === "registry") this.registry.storeReturned(this.#now());
    if (!this.#lost.delete(subject)) return;
    this.#options.log.write("dependency.returned", {
      dependency: "store",
      subject,
    });
  }

  async #pause(
    subject: _Subject,
    error: ApplicationError,
    failures: number,
  ): Promise<number> {
    if (subject === "registry") this.registry.storeLost();
    if (!this.#lost.has(subject)) {
      this.#lost.add(subject);
      this.#options.log.write("dependency.lost", {
        dependency: "store",
        subject,
        error: error.kind,
        detail: error.detail,
      });
    }
    const longest = Math.min(
      MAXIMUM_RETRY_MILLISECONDS,
      FIRST_RETRY_MILLISECONDS * 2 ** failures,
    );
    await this.#sleep(longest * (0.5 + this.#options.random.next() / 2));
    return failures + 1;
  }

  #sleep(milliseconds: number): Promise<void> {
    return this.#options.timers.sleep(milliseconds, "store retry");
  }
}

/** Creates the state task of one gateway. */
export function createGatewayStateTask(
  options: GatewayStateTaskOptions,
): GatewayStateTask {
  return new GatewayStateTask(options);
}
