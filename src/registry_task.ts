/**
 * Tracks the registrations of backend servers. Only a few routers watch the store
 * and relay changes to the others, because every waiting call is billed and every
 * change would complete a call of every router.
 */
import type { ApplicationError } from "./core/errors.ts";
import type { RandomSource } from "./core/random.ts";
import { eraOf, revisionInEra } from "./core/store_revision.ts";
import {
  createServerRegistry,
  type ServerRegistry,
} from "./core/server_registry.ts";
import type {
  RegistrationList,
  RegistryChanges,
} from "./core/server_registrations.ts";
import {
  createWatchSchedule,
  ONLY_WATCHER,
  type WatchPosition,
} from "./core/watch_schedule.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetStore } from "./fleet_store.ts";
import { StoreHealth } from "./store_health.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

/** Longest duration of one watch call. */
const MAXIMUM_WATCH_MILLISECONDS = 6_000;
/** Delay after a change, so that the next call returns all changes of a burst. */
const BATCH_DELAY_MILLISECONDS = 200;
/** How often a router that does not watch checks whether it should start. */
const IDLE_CHECK_PERIOD_MILLISECONDS = 100;
const EXPIRY_PERIOD_MILLISECONDS = 250;

/** Returns this router's place among those that watch; undefined if it should not. */
export type WatchDecision = () => WatchPosition | undefined;

/** Options of {@link RegistryTask}. */
export interface RegistryTaskOptions {
  readonly store: FleetStore;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly log: DecisionLog;
}

/**
 * Whether revisions are of one era. Changes from an older era to this one lack what
 * both the sender's old state and its new one lack.
 */
function _haveOneEra(first: number, ...others: readonly number[]): boolean {
  return others.every((other) => eraOf(other) === eraOf(first));
}

/** Keeps the registered servers of one gateway up to date. */
export class RegistryTask extends Task {
  override readonly name = "registry";
  readonly registry: ServerRegistry = createServerRegistry();
  readonly storeHealth: StoreHealth;
  readonly #options: RegistryTaskOptions;
  readonly #listeners: ((changes: RegistryChanges) => void)[] = [];
  readonly #schedule = createWatchSchedule(MAXIMUM_WATCH_MILLISECONDS);
  #decideWatch: WatchDecision = () => ONLY_WATCHER;
  #isListed = false;
  #isWatching = false;
  #running = false;
  #expiry: Subscription | undefined;

  constructor(options: RegistryTaskOptions) {
    super();
    this.#options = options;
    this.storeHealth = new StoreHealth({ ...options, subject: "registry" });
  }

  /** Whether this router watches the store, and its last call did not fail. */
  get isWatching(): boolean {
    return this.#isWatching && !this.storeHealth.isUnavailable;
  }

  /** Sets the function that decides whether this router watches the store. */
  setWatchDecision(decideWatch: WatchDecision): void {
    this.#decideWatch = decideWatch;
  }

  /** Calls the listener with every batch of registry changes. */
  onChange(listener: (changes: RegistryChanges) => void): void {
    this.#listeners.push(listener);
  }

  override async start(): Promise<void> {
    this.#running = true;
    void this.#runWatchLoop();
    this.#expiry = this.#options.timers.every(
      EXPIRY_PERIOD_MILLISECONDS,
      "registration expiry",
      () => {
        this.registry.expire(this.#now());
        this.#publish("expiry");
      },
    );
  }

  override async stop(): Promise<void> {
    this.#running = false;
    this.#expiry?.cancel();
  }

  /** Replaces the registry with a peer's list if that is newer. */
  adopt(list: RegistrationList, peer: string): void {
    if (list.revision <= this.registry.revision) return;
    this.registry.replace(list, this.#now());
    this.#publish(peer);
  }

  /**
   * Applies a peer's changes; false if earlier changes are missing here, or if the
   * store has returned from a copy between the two states.
   */
  receive(changes: RegistryChanges, peer: string): boolean {
    const known = this.registry.revision;
    if (changes.revision < known) return true;
    const { afterRevision } = changes;
    // A first list names no server that had left, so it continues no other state. The
    // sender's reports show whether this router lacks anything.
    if (afterRevision === 0 && known > 0) return true;
    if (afterRevision > known) return false;
    if (!_haveOneEra(known, afterRevision, changes.revision)) return false;
    this.registry.applyPeerChanges(changes, this.#now());
    this.#publish(peer);
    return true;
  }

  override describe(): unknown {
    return {
      revision: revisionInEra(this.registry.revision),
      era: eraOf(this.registry.revision),
      isWatching: this.isWatching,
      isLost: this.storeHealth.isUnavailable,
      ageMilliseconds: this.storeHealth.ageMilliseconds(),
      servers: this.registry.list().servers,
    };
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  async #runWatchLoop(): Promise<void> {
    const { timers } = this.#options;
    while (this.#running) {
      const isKnown = this.registry.revision > 0;
      const position = isKnown ? this.#decideWatch() : ONLY_WATCHER;
      if (!position) {
        this.#isWatching = false;
        await timers.sleep(IDLE_CHECK_PERIOD_MILLISECONDS, "registry idle");
        continue;
      }
      // Reported while the call waits, so that others do not start to watch too.
      this.#isWatching = this.#isListed;
      const wasListed = this.#isListed;
      const failure: ApplicationError | undefined = wasListed
        ? await this.#watch(this.#nextWait(position))
        : await this.#list();
      if (!this.#running) return;
      if (!failure) {
        this.storeHealth.recordSuccess();
        this.#isListed = true;
        if (!this.#publish("store") || !wasListed) continue;
        this.#schedule.recordChange(this.#now());
        await timers.sleep(BATCH_DELAY_MILLISECONDS, "registry batch");
      } else if (failure.kind === "platform_history_lost") {
        this.#isListed = false;
        await this.storeHealth.recordLostHistory();
      } else if (!this.storeHealth.recordSilence(failure)) {
        this.registry.markStoreDown();
        await this.storeHealth.recordFailure(failure);
      }
    }
  }

  /**
   * Returns how long a watch waits. After a failure the first call does not wait: it
   * may have been a return from a copy, which only a response shows.
   */
  #nextWait(position: WatchPosition): number {
    if (!this.storeHealth.isProven) return 0;
    return this.#schedule.nextWait(position, this.#now());
  }

  async #list(): Promise<ApplicationError | undefined> {
    const listed = await this.#options.store.listServers();
    if (listed.isErr()) return listed.error;
    // Marked up before the list is applied: servers missing from it after an
    // outage get a grace period to register again.
    this.registry.markStoreUp(this.#now());
    this.registry.replace(listed.value, this.#now());
    return undefined;
  }

  async #watch(
    waitMilliseconds: number,
  ): Promise<ApplicationError | undefined> {
    const watched = await this.#options.store.watchServers(
      this.registry.revision,
      waitMilliseconds,
    );
    if (watched.isErr()) return watched.error;
    const { revision, changes } = watched.value;
    this.registry.markStoreUp(this.#now());
    this.registry.apply(revision, changes, this.#now());
    return undefined;
  }

  /** Logs pending changes and notifies listeners; false if there are none. */
  #publish(source: string): boolean {
    const changes = this.registry.takeChanges(this.#now());
    if (!changes) return false;
    this.#options.log.write("registry.changed", {
      revision: revisionInEra(changes.revision),
      era: eraOf(changes.revision),
      source,
      changes: changes.changes.slice(0, 8).map(({ id, server }) => ({
        id,
        state: server ? (server.isDraining ? "draining" : "ready") : "gone",
      })),
      deferred: changes.deferred?.length ?? 0,
      servers: this.registry.size,
    });
    for (const listener of this.#listeners) listener(changes);
    return true;
  }
}

/** Creates the registry task of one gateway. */
export function createRegistryTask(options: RegistryTaskOptions): RegistryTask {
  return new RegistryTask(options);
}
