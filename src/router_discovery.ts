/**
 * Makes a router known to the others through the fleet's store: it registers
 * once a life and lists the others until both worked, and seldom afterwards,
 * since peers name new routers to each other.
 */
import type { SocketAddress } from "./core/ids.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetStore, RouterRecord } from "./fleet_store.ts";
import { Task } from "./task.ts";
import type { TimerService } from "./timer_service.ts";

const LIST_MILLISECONDS = 30_000;
const RETRY_MILLISECONDS = 500;

/** What the discovery needs. */
export interface RouterDiscoveryOptions {
  readonly store: FleetStore;
  readonly timers: TimerService;
  readonly self: RouterRecord;
  readonly log: DecisionLog;
  /** Called with every address that is listed. */
  readonly onFound: (address: SocketAddress) => void;
}

/** Finds routers in the store. */
export class RouterDiscovery extends Task {
  override readonly name = "router discovery";
  readonly #options: RouterDiscoveryOptions;
  readonly #listed = new Map<SocketAddress, RouterRecord>();
  #isRegistered = false;
  #running = false;

  constructor(options: RouterDiscoveryOptions) {
    super();
    this.#options = options;
  }

  override async start(): Promise<void> {
    this.#running = true;
    void this.#discover();
  }

  override async stop(): Promise<void> {
    this.#running = false;
  }

  /** Removes the record of a router that did not answer for long. */
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
      // The next router that forgets the address repairs a failure.
      error: removed.isErr() ? removed.error.kind : undefined,
    });
  }

  async #discover(): Promise<void> {
    const { store, timers, self, onFound } = this.#options;
    while (this.#running) {
      if (!this.#isRegistered) {
        const registered = await store.registerRouter(self);
        this.#isRegistered = registered.isOk();
      }
      const listed = await store.listRouters();
      if (!this.#running) return;
      const records = listed.unwrapOr([]);
      for (const record of records) {
        if (record.address === self.address) continue;
        this.#listed.set(record.address, record);
        onFound(record.address);
      }
      // A peer may have removed the record while this router was cut off.
      const isListed = records.some(({ host }) => host === self.host);
      if (listed.isOk() && !isListed) this.#isRegistered = false;
      const isDone = this.#isRegistered && listed.isOk();
      await timers.sleep(
        isDone ? LIST_MILLISECONDS : RETRY_MILLISECONDS,
        "router discovery",
      );
    }
  }
}
