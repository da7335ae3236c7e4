/**
 * Router discovery through the fleet's store. A router registers once per process
 * and lists the others until both calls have succeeded. Afterwards it lists them
 * rarely, since peers tell each other about new routers: a list of every router
 * each time would make the number of calls grow with the fleet.
 */
import type { ApplicationError } from "./core/errors.ts";
import type { SocketAddress } from "./core/ids.ts";
import type { RandomSource } from "./core/random.ts";
import { eraOf } from "./core/store_revision.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetStore, RouterRecord } from "./fleet_store.ts";
import { StoreHealth } from "./store_health.ts";
import { Task } from "./task.ts";
import type { TimerService } from "./timer_service.ts";

/** Delay of the second list: routers that start together may miss each other in the first. */
const SECOND_LIST_DELAY_MILLISECONDS = 5_000;
const LIST_PERIOD_MILLISECONDS = 30_000;
/** Time over which the routers of a fleet register again after a loss of their records. */
const REGISTRATION_SPREAD_MILLISECONDS = 2_000;
/** Period of lists while collectors list the fleet's routers to this one. */
const COVERED_LIST_PERIOD_MILLISECONDS = 120_000;

/** Options of {@link RouterDiscovery}. */
export interface RouterDiscoveryOptions {
  readonly store: FleetStore;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly self: RouterRecord;
  readonly log: DecisionLog;
  /** Called with every listed router except this one. */
  readonly onFound: (record: RouterRecord) => void;
  /** Whether collectors list the routers of the whole fleet to this one. */
  readonly isCovered?: () => boolean;
}

/** Registers this router in the store and finds others. */
export class RouterDiscovery extends Task {
  override readonly name = "router discovery";
  readonly #options: RouterDiscoveryOptions;
  readonly #storeHealth: StoreHealth;
  readonly #listed = new Map<SocketAddress, RouterRecord>();
  #isRegistered = false;
  #isListed = false;
  #listedAt = Number.NEGATIVE_INFINITY;
  /** Era of the store's state that this router has; undefined before the first. */
  #storeEra: number | undefined;
  #running = false;

  constructor(options: RouterDiscoveryOptions) {
    super();
    this.#options = options;
    this.#storeHealth = new StoreHealth({ ...options, subject: "routers" });
  }

  /** Whether this router has listed the others since its start. */
  get hasListed(): boolean {
    return Number.isFinite(this.#listedAt);
  }

  override async start(): Promise<void> {
    this.#running = true;
    void this.#discover();
  }

  override async stop(): Promise<void> {
    this.#running = false;
  }

  /** Registers again when the store has returned from a copy without the record. */
  followStoreEra(registryRevision: number): void {
    if (registryRevision === 0) return;
    const era = eraOf(registryRevision);
    const isRestored = this.#storeEra !== undefined && era > this.#storeEra;
    this.#storeEra = era;
    if (isRestored) void this.registerAgain();
  }

  /** Registers this router again after a loss of records in the store. */
  async registerAgain(): Promise<void> {
    const { timers, random } = this.#options;
    const delay = random.integer(REGISTRATION_SPREAD_MILLISECONDS);
    await timers.sleep(delay, "router registration");
    this.#isRegistered = false;
    // If it fails, the next round of the discovery registers it.
    if (this.#running) await this.#register();
  }

  /** Removes the record of a router that has not responded for a long time. */
  remove(address: SocketAddress): void {
    const record = this.#listed.get(address);
    this.#listed.delete(address);
    if (record) void this.#removeRecord(record);
  }

  override describe(): unknown {
    return { isRegistered: this.#isRegistered, listed: this.#listed.size };
  }

  async #removeRecord({ host, address }: RouterRecord): Promise<void> {
    const removed = await this.#options.store.removeRouter(host);
    this.#options.log.write("router.removed", {
      router: host,
      address,
      // Not retried: the next router that drops the address removes the record.
      error: removed.isErr() ? removed.error.kind : undefined,
    });
  }

  async #discover(): Promise<void> {
    const { timers } = this.#options;
    let wait = SECOND_LIST_DELAY_MILLISECONDS;
    while (this.#running) {
      const wasRegistered = this.#isRegistered;
      const failure = await this.#register() ?? await this.#list();
      if (!this.#running) return;
      if (failure) {
        await this.#storeHealth.recordFailure(failure);
        continue;
      }
      this.#storeHealth.recordSuccess();
      // Registers again if a peer removed the record while this router was
      // disconnected. A record that was just created may not be listed yet.
      if (wasRegistered && !this.#isListed) this.#isRegistered = false;
      do await timers.sleep(wait, "router discovery"); while (
        this.#running && this.#isCovered()
      );
      wait = LIST_PERIOD_MILLISECONDS;
    }
  }

  #isCovered(): boolean {
    const { timers, isCovered = () => false } = this.#options;
    const age = timers.clock.monotonicMilliseconds() - this.#listedAt;
    return isCovered() && age < COVERED_LIST_PERIOD_MILLISECONDS;
  }

  async #register(): Promise<ApplicationError | undefined> {
    if (this.#isRegistered) return undefined;
    const { store, self } = this.#options;
    const registered = await store.registerRouter(self);
    if (registered.isErr()) return registered.error;
    this.#isRegistered = true;
    return undefined;
  }

  async #list(): Promise<ApplicationError | undefined> {
    const { store, self, onFound, timers } = this.#options;
    const listed = await store.listRouters();
    if (listed.isErr()) return listed.error;
    this.#listedAt = timers.clock.monotonicMilliseconds();
    this.#isListed = listed.value.some(({ host }) => host === self.host);
    for (const record of listed.value) {
      if (record.address === self.address) continue;
      this.#listed.set(record.address, record);
      onFound(record);
    }
    return undefined;
  }
}
