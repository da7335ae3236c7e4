/**
 * Sends orders to engines: holds the leases of the order groups assigned to
 * this router and repeats orders until the engines match their plans.
 */
import type { ConfigurationView } from "./configuration_view.ts";
import type { ConfigurationSnapshot } from "./core/fleet_schema.ts";
import type { LeaseTerms } from "./core/lease.ts";
import { createPacingCycle } from "./core/load_pacer.ts";
import { ORDER_GROUPS, orderGroupOf, planEngines } from "./core/orders.ts";
import type { RandomSource } from "./core/random.ts";
import { pickByRendezvous } from "./core/rendezvous.ts";
import type { Member, MembershipView } from "./membership_view.ts";
import {
  type GroupPlan,
  type OrderBackend,
  type OrderCounters,
  OrderGroup,
} from "./order_group.ts";
import type { PlatformClient } from "./platform_client.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

/** Lease duration and order validity of the order groups. */
export const ORDER_LEASE_TERMS: LeaseTerms = {
  durationMilliseconds: 15_000,
  notAfterSpanMilliseconds: 3_000,
};
const LEASE_PERIOD_MILLISECONDS = 500;
const ROUND_PERIOD_MILLISECONDS = 1_000;

/** Options of the order task. */
export interface OrderTaskOptions {
  readonly platform: PlatformClient;
  readonly backend: OrderBackend;
  readonly membership: MembershipView;
  readonly configuration: ConfigurationView;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly terms?: LeaseTerms;
}

/** Groups the engine plans of a configuration by order group. */
export function planGroups(
  snapshot: ConfigurationSnapshot,
): Map<number, GroupPlan> {
  const plans = [...planEngines(snapshot.fleet, snapshot.drains).values()];
  const pacingCycle = createPacingCycle(
    plans.map((plan) => plan.engine),
    orderGroupOf,
  );
  const groups = new Map<number, GroupPlan>();
  for (const plan of plans) {
    const group = orderGroupOf(plan.engine);
    const engines = [...groups.get(group)?.engines ?? [], plan];
    groups.set(group, { snapshot, engines, pacingCycle });
  }
  return groups;
}

/** Sends the orders of the groups that are assigned to this router. */
export class OrderTask extends Task {
  override readonly name = "order";
  readonly #options: OrderTaskOptions;
  readonly #groups = new Map<number, OrderGroup>();
  readonly #counters: OrderCounters = {
    ordersSent: 0,
    ordersRejected: 0,
    ordersUnknown: 0,
    permitsDenied: 0,
  };
  #subscriptions: Subscription[] = [];
  #plans = new Map<number, GroupPlan>();
  #plannedFor: ConfigurationSnapshot | undefined;
  #stopped = false;

  constructor(options: OrderTaskOptions) {
    super();
    this.#options = options;
  }

  override async start(): Promise<void> {
    const { timers } = this.#options;
    this.#subscriptions = [
      timers.every(LEASE_PERIOD_MILLISECONDS, "order leases", () => {
        this.#maintainLeases();
      }),
      timers.every(ROUND_PERIOD_MILLISECONDS, "order round", () => {
        this.#sendOrders();
      }),
    ];
  }

  /** Releases the leases, so that new holders need not await their expiry. */
  override async stop(): Promise<void> {
    for (const subscription of this.#subscriptions) subscription.cancel();
    this.#stopped = true;
    await Promise.all(
      [...this.#groups.values()].map((group) => group.release()),
    );
  }

  override describe(): unknown {
    const groups = [...this.#groups].map(([group, entry]) => [
      group,
      entry.describe(),
    ]);
    return { ...this.#counters, groups: Object.fromEntries(groups) as unknown };
  }

  /** Returns the counters. */
  counters(): Readonly<OrderCounters> {
    return this.#counters;
  }

  #maintainLeases(): void {
    if (this.#stopped) return;
    this.#updatePlans();
    const candidates = this.#options.membership.liveMembers()
      .filter((member) => !member.leaving);
    for (let group = 0; group < ORDER_GROUPS; group++) {
      const wanted = this.#plans.has(group) &&
        this.#isLeaseHolder(group, candidates);
      const entry = wanted ? this.#group(group) : this.#groups.get(group);
      if (entry) void entry.maintainLease(wanted);
    }
  }

  #sendOrders(): void {
    if (this.#stopped) return;
    this.#updatePlans();
    for (const [group, plan] of this.#plans) {
      void this.#groups.get(group)?.sendOrders(plan);
    }
  }

  #isLeaseHolder(group: number, candidates: readonly Member[]): boolean {
    const { incarnation, leaving } = this.#options.membership.self();
    const holder = pickByRendezvous(
      `orders/${group}`,
      candidates,
      (member) => member.host,
    );
    return !leaving && holder?.incarnation === incarnation;
  }

  #group(group: number): OrderGroup {
    let entry = this.#groups.get(group);
    if (!entry) {
      const { incarnation } = this.#options.membership.self();
      entry = new OrderGroup(
        group,
        {
          ...this.#options,
          holder: incarnation,
          terms: this.#options.terms ?? ORDER_LEASE_TERMS,
        },
        this.#counters,
      );
      this.#groups.set(group, entry);
    }
    return entry;
  }

  #updatePlans(): void {
    const snapshot = this.#options.configuration.current();
    if (!snapshot || snapshot === this.#plannedFor) return;
    this.#plannedFor = snapshot;
    this.#plans = planGroups(snapshot);
  }
}

/** Creates the order task of one router. */
export function createOrderTask(options: OrderTaskOptions): OrderTask {
  return new OrderTask(options);
}
