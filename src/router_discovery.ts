/**
 * Router discovery through the fleet's store. A router registers once per process
 * and lists the others until both calls have succeeded. Afterwards it lists them
 * rarely, since peers tell each other about new routers.
 */
import type { ApplicationError } from "./core/errors.ts";
import type { SocketAddress } from "./core/ids.ts";
import type { RandomSource } from "./core/random.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetStore, RouterRecord } from "./fleet_store.ts";
import { StoreHealth } from "./store_health.ts";
import { Task } from "./task.ts";
import type { TimerService } from "./timer_service.ts";

/** Routers that start at the same time may miss each other in the first list. */
const SECOND_LIST_DELAY_MILLISECONDS = 5_000;
const LIST_PERIOD_MILLISECONDS = 30_000;

/** Options of {@link RouterDiscovery}. */
export interface RouterDiscoveryOptions {
  readonly store: FleetStore;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly self: RouterRecord;
  readonly log: DecisionLog;
  /** Called with every listed router except this one. */
  readonly onFound: (record: RouterRecord) => void;
}

/** Registers this router in the store and finds others there. */
export class RouterDiscovery extends Task {
  override readonly name = "router discovery";
  readonly #options: RouterDiscoveryOptions;
  readonly #storeHealth: StoreHealth;
  readonly #listed = new Map<SocketAddress, RouterRecord>();
  #isRegistered = false;
  #isListed = false;
  #running = false;

  constructor(options: RouterDiscoveryOptions) {
    super();
    this.#options = options;
    this.#storeHealth = new StoreHealth({ ...options, subject: "routers" });
  }

  override async start(): Promise<void> {
    this.#running = true;
    void this.#discover();
  }

  override async stop(): Promise<void> {
    this.#running = false;
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
      // Not retried: the next router that drops the address removes it again.
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
      await timers.sleep(wait, "router discovery");
      wait = LIST_PERIOD_MILLISECONDS;
    }
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
    const { store, self, onFound } = this.#options;
    const listed = await store.listRouters();
    if (listed.isErr()) return listed.error;
    this.#isListed = listed.value.some(({ host }) => host === self.host);
    for (const record of listed.value) {
      if (record.address === self.address) continue;
      this.#listed.set(record.address, record);
      onFound(record);
    }
    return undefined;
  }
}
