/**
 * Follows the evacuated data centres in the store. Only a few routers watch and tell
 * the others, because every waiting call is billed. A router that has just started
 * asks its peers first and reads the store itself if none tells it soon.
 */
import type { ApplicationError } from "./core/errors.ts";
import {
  createEvacuations,
  type EvacuationChange,
  type Evacuations,
  type EvacuationState,
} from "./core/evacuations.ts";
import type { DataCentreId } from "./core/ids.ts";
import type { RandomSource } from "./core/random.ts";
import { eraOf, revisionInEra } from "./core/store_revision.ts";
import {
  createWatchSchedule,
  ONLY_WATCHER,
  type WatchPosition,
} from "./core/watch_schedule.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetStore } from "./fleet_store.ts";
import type { WatchDecision } from "./registry_task.ts";
import { StoreHealth } from "./store_health.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

/** Longest duration of one watch; the store keeps its history for 20 s. */
const MAXIMUM_WATCH_MILLISECONDS = 15_000;
/**
 * Time between the ends of two routers' calls. If all waiting calls have fallen
 * silent, one is repeated after this time and a second of grace. Of the bound of
 * 5 s, 2 s are left for another router to take over and to tell the others.
 */
const WATCH_SPACING_MILLISECONDS = 2_000;
/** Delay after a change, so that the next call returns all changes of a burst. */
const BATCH_DELAY_MILLISECONDS = 200;
/** How often a router that does not watch checks whether it should start. */
const IDLE_CHECK_PERIOD_MILLISECONDS = 100;
const EXPIRY_PERIOD_MILLISECONDS = 250;
/**
 * A router whose calls for evacuations fail counts for this long as one that does not
 * watch, so that another takes over. After that, a store that refuses only these
 * calls would make all routers of the fleet watch.
 */
const TAKEOVER_MILLISECONDS = 5_000;
/** Time in which peers tell a router that has just started. */
export const FIRST_READ_DELAY_MILLISECONDS = 300;

/** Source of a change that came from the store. */
const STORE_SOURCE = "store";

/** Called when evacuations have changed; the source is `store` or a peer's host. */
export type EvacuationListener = (
  change: EvacuationChange,
  source: string,
) => void;

/** Options of {@link EvacuationTask}. */
export interface EvacuationTaskOptions {
  readonly store: FleetStore;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  /**
   * Time in milliseconds after which an entry must be in force. Undefined if this
   * fleet has no evacuations: nothing is read then, and no peer is told or heard.
   */
  readonly evacuateMilliseconds?: number | undefined;
}

/** Keeps the evacuated data centres of one gateway up to date. */
export class EvacuationTask extends Task {
  override readonly name = "evacuations";
  readonly evacuations: Evacuations = createEvacuations();
  readonly storeHealth: StoreHealth;
  readonly #options: EvacuationTaskOptions;
  readonly #schedule = createWatchSchedule(
    MAXIMUM_WATCH_MILLISECONDS,
    WATCH_SPACING_MILLISECONDS,
  );
  readonly #listeners: EvacuationListener[] = [];
  readonly #knownListeners: (() => void)[] = [];
  #decideWatch: WatchDecision = () => ONLY_WATCHER;
  #startedAt = Number.NEGATIVE_INFINITY;
  /** Whether the list was read since this router began to watch. */
  #isListed = false;
  /** Since when the calls have failed or had no response. */
  #lostSince: number | undefined;
  #running = false;
  #expiry: Subscription | undefined;

  constructor(options: EvacuationTaskOptions) {
    super();
    this.#options = options;
    this.storeHealth = new StoreHealth({ ...options, subject: "evacuations" });
  }

  /** Whether this fleet has evacuations. */
  get isEnabled(): boolean {
    return this.#options.evacuateMilliseconds !== undefined;
  }

  /**
   * Whether requests may be sent to servers. A router that has just started first
   * learns what is evacuated. It serves without that once the bound has passed: it
   * then knows registrations from peers, all of which are of an earlier release.
   */
  get allowsServing(): boolean {
    const { evacuateMilliseconds = 0 } = this.#options;
    return !this.isEnabled || this.evacuations.isKnown ||
      this.#now() - this.#startedAt >= evacuateMilliseconds;
  }

  /** Whether another router should take over the watch from this one. */
  get needsTakeover(): boolean {
    return this.#lostSince !== undefined &&
      this.#now() - this.#lostSince < TAKEOVER_MILLISECONDS;
  }

  /** Sets the function that decides whether this router watches the store. */
  setWatchDecision(decideWatch: WatchDecision): void {
    this.#decideWatch = decideWatch;
  }

  /** Calls the listener with every change. */
  onChange(listener: EvacuationListener): void {
    this.#listeners.push(listener);
  }

  /** Calls the listener whenever more is known, also if nothing is evacuated. */
  onKnown(listener: () => void): void {
    this.#knownListeners.push(listener);
  }

  /** Calls the listener with each data centre whose evacuation has ended. */
  onEnded(listener: (dataCentre: DataCentreId) => void): void {
    this.onChange(({ ended }) => {
      for (const dataCentre of ended) listener(dataCentre);
    });
  }

  override async start(): Promise<void> {
    if (!this.isEnabled) return;
    this.#running = true;
    this.#startedAt = this.#now();
    void this.#run();
    this.#expiry = this.#options.timers.every(
      EXPIRY_PERIOD_MILLISECONDS,
      "evacuation holds",
      () => this.#publish(this.evacuations.expire(this.#now()), "expiry"),
    );
  }

  override async stop(): Promise<void> {
    this.#running = false;
    this.#expiry?.cancel();
  }

  /** Adopts what a peer knows, as far as it is newer. */
  receive(state: EvacuationState, peer: string): void {
    const wasKnown = this.evacuations.isKnown;
    const change = this.evacuations.merge(state, this.#now());
    this.#publish(change, peer, !wasKnown);
  }

  /** What peers are told. */
  snapshot(): EvacuationState {
    return this.evacuations.snapshot(this.#now());
  }

  override describe(): unknown {
    const { revision } = this.evacuations;
    return {
      isEnabled: this.isEnabled,
      isKnown: this.evacuations.isKnown,
      isLost: this.storeHealth.isUnavailable,
      isWatching: this.#isListed,
      ageMilliseconds: this.storeHealth.ageMilliseconds(),
      ...this.snapshot(),
      revision: revisionInEra(revision),
      era: eraOf(revision),
    };
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  async #run(): Promise<void> {
    const { timers } = this.#options;
    await timers.sleep(FIRST_READ_DELAY_MILLISECONDS, "first evacuations");
    while (this.#running) {
      const position = this.allowsServing ? this.#decideWatch() : ONLY_WATCHER;
      if (position) await this.#callStore(position);
      else {
        this.#isListed = false;
        await timers.sleep(IDLE_CHECK_PERIOD_MILLISECONDS, "evacuations idle");
      }
    }
  }

  async #callStore(position: WatchPosition): Promise<void> {
    const failure = this.#isListed
      ? await this.#watch(this.#nextWait(position))
      : await this.#list();
    if (!this.#running) return;
    if (!failure) {
      this.#lostSince = undefined;
      return this.storeHealth.recordSuccess();
    }
    if (failure.kind === "platform_history_lost") {
      this.#isListed = false;
      await this.storeHealth.recordLostHistory();
      return;
    }
    // A store that has never responded to such calls may not know them.
    const hasResponded = this.storeHealth.ageMilliseconds() >= 0;
    if (hasResponded) this.#lostSince ??= this.#now();
    if (!this.storeHealth.recordSilence(failure)) {
      await this.storeHealth.recordFailure(failure);
    }
  }

  /** After a failure the first call does not wait: a change may have been missed. */
  #nextWait(position: WatchPosition): number {
    if (!this.storeHealth.isProven) return 0;
    return this.#schedule.nextWait(position, this.#now());
  }

  async #list(): Promise<ApplicationError | undefined> {
    const listed = await this.#options.store.listEvacuations();
    if (listed.isErr()) return listed.error;
    this.#isListed = true;
    const { revision, dataCentres } = listed.value;
    const wasKnown = this.evacuations.isKnown;
    const change = this.evacuations.replace(
      revision,
      dataCentres,
      this.#now(),
    );
    this.#publish(change, STORE_SOURCE, !wasKnown);
    return undefined;
  }

  async #watch(
    waitMilliseconds: number,
  ): Promise<ApplicationError | undefined> {
    const { store, timers } = this.#options;
    const watched = await store.watchEvacuations(
      this.evacuations.revision,
      waitMilliseconds,
    );
    if (watched.isErr()) return watched.error;
    const { revision, events } = watched.value;
    const change = this.evacuations.apply(revision, events, this.#now());
    this.#publish(change, STORE_SOURCE);
    if (events.length === 0) return undefined;
    this.#schedule.recordChange(this.#now());
    await timers.sleep(BATCH_DELAY_MILLISECONDS, "evacuations batch");
    return undefined;
  }

  #publish(
    change: EvacuationChange | undefined,
    source: string,
    isFirst = false,
  ): void {
    if (change) {
      this.#log(change, source);
      for (const listener of this.#listeners) listener(change, source);
    }
    if (change || isFirst) {
      for (const listener of this.#knownListeners) listener();
    }
  }

  #log({ started, ended }: EvacuationChange, source: string): void {
    const { log } = this.#options;
    const { revision } = this.evacuations;
    const fields = {
      source,
      revision: revisionInEra(revision),
      era: eraOf(revision),
    };
    for (const dataCentre of started) {
      log.write("evacuation.started", { dataCentre, ...fields });
    }
    for (const dataCentre of ended) {
      log.write("evacuation.ended", { dataCentre, ...fields });
    }
  }
}

/** Creates the evacuation task of one gateway. */
export function createEvacuationTask(
  options: EvacuationTaskOptions,
): EvacuationTask {
  return new EvacuationTask(options);
}
