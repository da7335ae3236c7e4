/**
 * One order group's I/O: its lease, its permits to take engines out of service,
 * and the orders to its engines.
 */
import type { Result } from "neverthrow";
import type { BackendClient } from "./backend_client.ts";
import type { ConfigurationView } from "./configuration_view.ts";
import type { ApplicationError } from "./core/errors.ts";
import type { ConfigurationSnapshot, Fleet } from "./core/fleet_schema.ts";
import { brandId, type SocketAddress } from "./core/ids.ts";
import { Lease, type LeaseTerms } from "./core/lease.ts";
import { LoadPacer } from "./core/load_pacer.ts";
import {
  decideOrders,
  type EnginePlan,
  isServing,
  isUsable,
  type OrderCandidate,
} from "./core/orders.ts";
import type { RandomSource } from "./core/random.ts";
import {
  grantPermit,
  isOutOfService,
  parsePermits,
  permitsKey,
  releasePermit,
} from "./core/serving_permits.ts";
import type { EngineState } from "./engine_protocol.ts";
import type { PlatformClient } from "./platform_client.ts";
import type { TimerService } from "./timer_service.ts";

/** Largest difference between the wall clocks of a router and an engine. */
const CLOCK_DIFFERENCE_MILLISECONDS = 1_000;

/** The part of the backend client that orders need. */
export type OrderBackend = Pick<BackendClient, "readState" | "sendOrder">;

/** What every order group of a router shares. */
export interface OrderGroupOptions {
  readonly platform: PlatformClient;
  readonly backend: OrderBackend;
  readonly configuration: ConfigurationView;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly holder: string;
  readonly terms: LeaseTerms;
}

/** The plans that one configuration gives to the engines of a group. */
export interface GroupPlan {
  readonly snapshot: ConfigurationSnapshot;
  readonly engines: readonly EnginePlan[];
  readonly pacingCycle: readonly number[];
}

/** Orders given and refused since the process started. */
export interface OrderCounters {
  ordersSent: number;
  ordersRejected: number;
  ordersUnknown: number;
  permitsDenied: number;
}

/** The right to act, as it was when a round began. */
interface _Mandate {
  readonly epoch: number;
  readonly plan: GroupPlan;
}

/** Gives the orders of one group while it holds the group's lease. */
export class OrderGroup {
  readonly #options: OrderGroupOptions;
  readonly #key: string;
  readonly #lease: Lease;
  readonly #pacer: LoadPacer;
  readonly #counters: OrderCounters;
  /** Wall time until which an order with an unknown outcome may take effect. */
  readonly #quietUntil = new Map<string, number>();
  /** Engines whose permits are to be looked up once they match their plan. */
  readonly #mayBeOut = new Set<string>();
  #actingEpoch = 0;
  #leaseCall: Promise<void> | undefined;
  #roundBusy = false;

  constructor(
    group: number,
    options: OrderGroupOptions,
    counters: OrderCounters,
  ) {
    this.#options = options;
    this.#key = `lease/orders/${group}`;
    this.#lease = new Lease(options.holder, options.terms);
    this.#pacer = new LoadPacer(group);
    this.#counters = counters;
  }

  /** Makes the lease's next call, if one is due. */
  async keepLease(wanted: boolean): Promise<void> {
    if (this.#leaseCall) return;
    this.#leaseCall = this.#callForLease(wanted).finally(() => {
      this.#leaseCall = undefined;
    });
    await this.#leaseCall;
  }

  /** Gives the lease up once a pending call has ended. */
  async release(): Promise<void> {
    await this.#leaseCall;
    await this.keepLease(false);
  }

  /** Reads the engines of the group and gives the next order to each. */
  async giveOrders(plan: GroupPlan): Promise<void> {
    if (this.#roundBusy) return;
    const mandate = this.#mandate(plan);
    if (!mandate) return;
    this.#roundBusy = true;
    try {
      if (mandate.epoch !== this.#actingEpoch) this.#beginEpoch(mandate);
      await Promise.all(
        plan.engines.map((engine) => this.#serve(mandate, engine)),
      );
    } finally {
      this.#roundBusy = false;
    }
  }

  describe(): unknown {
    return {
      lease: this.#lease.describe(this.#now()),
      mayBeOut: [...this.#mayBeOut],
    };
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  #wall(): number {
    return this.#options.timers.clock.wallMilliseconds();
  }

  #mandate(plan: GroupPlan): _Mandate | undefined {
    const epoch = this.#lease.actingEpoch(
      this.#now(),
      plan.snapshot.generation,
    );
    return epoch === undefined ? undefined : { epoch, plan };
  }

  /** Checked again before every write and order: time passes in between. */
  #isValid({ epoch, plan }: _Mandate): boolean {
    const { generation } = plan.snapshot;
    return this.#options.configuration.current()?.generation === generation &&
      this.#lease.actingEpoch(this.#now(), generation) === epoch;
  }

  #beginEpoch({ epoch, plan }: _Mandate): void {
    this.#actingEpoch = epoch;
    this.#pacer.reset(
      this.#wall(),
      plan.snapshot.fleet.fleet.weightStoreLoadsPerMinute,
    );
    for (const { engine } of plan.engines) this.#mayBeOut.add(engine);
  }

  async #callForLease(wanted: boolean): Promise<void> {
    const { platform, configuration, random } = this.#options;
    const attempt = random.token();
    const action = this.#lease.nextAction({
      now: this.#now(),
      wanted,
      generation: configuration.current()?.generation ?? 0,
      attempt,
    });
    if (!action) return;
    if (action.kind === "read") {
      const result = await platform.read(this.#key);
      if (result.isOk()) this.#lease.onRead(this.#now(), result.value);
      else this.#lease.onFailed(this.#now(), result.error.kind);
      return;
    }
    const { record, expectedVersion } = action;
    const value = JSON.stringify(record);
    const result = await platform.write(this.#key, value, expectedVersion);
    if (result.isOk()) this.#lease.onWritten(attempt, result.value);
    else this.#lease.onFailed(this.#now(), result.error.kind);
  }

  async #serve(mandate: _Mandate, plan: EnginePlan): Promise<void> {
    const { engine } = plan;
    const { fleet } = mandate.plan.snapshot;
    if (this.#wall() < (this.#quietUntil.get(engine) ?? 0)) return;
    const read = await this.#readState(fleet, engine);
    if (read.isErr()) return;
    const state = read.value;
    this.#lease.recordFencingNumber(state.fencingNumber);
    const decision = decideOrders(plan, state);
    if (decision.isDone) {
      await this.#releasePermits(mandate, plan);
      return;
    }
    for (const candidate of decision.candidates) {
      if (await this.#isAllowed(mandate, engine, candidate)) {
        await this.#send(mandate, engine, candidate);
        return;
      }
    }
  }

  #readState(
    fleet: Fleet,
    engine: string,
  ): Promise<Result<EngineState, ApplicationError>> {
    return this.#options.backend.readState(_addressOf(fleet, engine));
  }

  async #isAllowed(
    mandate: _Mandate,
    engine: string,
    candidate: OrderCandidate,
  ): Promise<boolean> {
    if (candidate.kind === "load") {
      const { snapshot, pacingCycle } = mandate.plan;
      const rate = snapshot.fleet.fleet.weightStoreLoadsPerMinute;
      return this.#isValid(mandate) &&
        this.#pacer.take(this.#wall(), rate, pacingCycle);
    }
    for (const placement of candidate.permits) {
      if (!await this.#obtainPermit(mandate, engine, placement)) {
        this.#counters.permitsDenied++;
        return false;
      }
    }
    return true;
  }

  async #send(
    mandate: _Mandate,
    engine: string,
    { kind, target }: OrderCandidate,
  ): Promise<void> {
    // The wall clock is read before the lease is checked: a pause in between
    // makes the order expire early, never late.
    const notAfterMilliseconds = this.#wall() +
      this.#options.terms.notAfterSpanMilliseconds;
    if (!this.#isValid(mandate)) return;
    this.#counters.ordersSent++;
    const { fleet } = mandate.plan.snapshot;
    const result = await this.#options.backend.sendOrder(
      _addressOf(fleet, engine),
      { kind, target, fencingNumber: mandate.epoch, notAfterMilliseconds },
    );
    if (result.isOk()) return;
    if (result.error.kind === "order_rejected") this.#counters.ordersRejected++;
    if (result.error.kind === "outcome_unknown") {
      // A later order has the same fencing number, so the engine could not
      // tell that this one is older.
      this.#counters.ordersUnknown++;
      this.#quietUntil.set(
        engine,
        notAfterMilliseconds + CLOCK_DIFFERENCE_MILLISECONDS,
      );
    }
  }

  /**
   * Enters the engine, which serves, as out of service if the placement's floor
   * allows it. A refusal removes an existing entry: two engines that serve and
   * are both entered could block each other for ever.
   */
  async #obtainPermit(
    mandate: _Mandate,
    engine: string,
    placement: string,
  ): Promise<boolean> {
    const { platform } = this.#options;
    const key = permitsKey(placement);
    const read = await platform.read(key);
    if (read.isErr()) return false;
    const permits = parsePermits(read.value?.value);
    if (!permits) return false;
    const { epoch, plan: { snapshot } } = mandate;
    // The engines are read after the object: one that was taken out since then
    // has changed the object's version, and the write fails.
    const serving = await this.#readServing(snapshot, placement);
    const floor = snapshot.fleet.placements[placement]?.servingFloor ?? 0;
    const granted = grantPermit(permits, { engine, epoch, floor, serving });
    const isEntered = isOutOfService(permits, engine);
    if ((!granted && !isEntered) || !this.#isValid(mandate)) return false;
    this.#mayBeOut.add(engine);
    const written = await platform.write(
      key,
      JSON.stringify(granted ?? releasePermit(permits, engine)),
      read.value?.version ?? 0,
    );
    return granted !== undefined && written.isOk();
  }

  async #readServing(
    { fleet, drains }: ConfigurationSnapshot,
    placementName: string,
  ): Promise<string[]> {
    const placement = fleet.placements[placementName];
    const usable = (placement?.backendServers ?? [])
      .filter((name) => isUsable(fleet, drains, name));
    const states = await Promise.all(
      usable.map((name) => this.#readState(fleet, name)),
    );
    const model = placement?.model ?? "";
    return usable.filter((_name, index) => {
      const state = states[index];
      return state?.isOk() === true && isServing(state.value, model);
    });
  }

  async #releasePermits(mandate: _Mandate, plan: EnginePlan): Promise<void> {
    const { engine } = plan;
    if (!this.#mayBeOut.has(engine)) return;
    const { platform } = this.#options;
    for (const placement of [...plan.placements.values()].flat()) {
      const key = permitsKey(placement);
      const read = await platform.read(key);
      if (read.isErr()) return;
      const permits = parsePermits(read.value?.value);
      if (!permits || !isOutOfService(permits, engine)) continue;
      if (!this.#isValid(mandate)) return;
      const written = await platform.write(
        key,
        JSON.stringify(releasePermit(permits, engine)),
        read.value?.version ?? 0,
      );
      if (written.isErr()) return;
    }
    this.#mayBeOut.delete(engine);
  }
}

function _addressOf(fleet: Fleet, engine: string): SocketAddress {
  return brandId<SocketAddress>(fleet.backendServers[engine]?.address ?? "");
}
