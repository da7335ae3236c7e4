/**
 * Naive order task as a baseline: it takes over a lease as soon as rendezvous
 * hashing assigns the group to it, without waiting for the previous owner. It
 * ignores serving floors and the load rate, and its orders never expire.
 */
import { decideOrders, ORDER_GROUPS } from "../src/core/orders.ts";
import { pickByRendezvous } from "../src/core/rendezvous.ts";
import { brandId, type SocketAddress } from "../src/core/ids.ts";
import { type OrderTaskOptions, planGroups } from "../src/order_task.ts";
import { Task } from "../src/task.ts";

const ROUND_MILLISECONDS = 1_000;

class _NaiveOrderTask extends Task {
  override readonly name = "naive_order";
  readonly #options: OrderTaskOptions;
  readonly #leaseVersions = new Map<number, number>();

  constructor(options: OrderTaskOptions) {
    super();
    this.#options = options;
  }

  override async start(): Promise<void> {
    this.#options.timers.every(ROUND_MILLISECONDS, "order round", () => {
      for (let group = 0; group < ORDER_GROUPS; group++) {
        void this.#sendGroupOrders(group);
      }
    });
  }

  override async stop(): Promise<void> {}

  override describe(): unknown {
    return {};
  }

  async #sendGroupOrders(group: number): Promise<void> {
    const { membership, configuration, backend } = this.#options;
    const snapshot = configuration.current();
    const plan = snapshot && planGroups(snapshot).get(group);
    const owner = pickByRendezvous(
      `orders/${group}`,
      membership.liveMembers(),
      (member) => member.host,
    );
    if (!plan || owner?.incarnation !== membership.self().incarnation) {
      this.#leaseVersions.delete(group);
      return;
    }
    const leaseVersion = this.#leaseVersions.get(group) ??
      await this.#acquireLease(group);
    if (leaseVersion === undefined) return;
    for (const engine of plan.engines) {
      const server = snapshot.fleet.backendServers[engine.engine];
      const address = brandId<SocketAddress>(server?.address ?? "");
      const state = await backend.readState(address);
      if (state.isErr()) continue;
      for (
        const { kind, target } of decideOrders(engine, state.value).candidates
      ) {
        await backend.sendOrder(address, {
          kind,
          target,
          fencingNumber: leaseVersion,
          notAfterMilliseconds: Number.MAX_SAFE_INTEGER,
        });
      }
    }
  }

  async #acquireLease(group: number): Promise<number | undefined> {
    const { platform } = this.#options;
    const key = `lease/orders/${group}`;
    const read = await platform.read(key);
    if (read.isErr()) return undefined;
    const version = read.value?.version ?? 0;
    const written = await platform.write(key, "held", version);
    if (written.isErr()) return undefined;
    this.#leaseVersions.set(group, written.value);
    return written.value;
  }
}

/** Creates the naive order task. */
export function createNaiveOrderTask(options: OrderTaskOptions): Task {
  return new _NaiveOrderTask(options);
}
