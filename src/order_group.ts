/**
 * Performs the I/O of one order group: its lease, its permits to take engines
 * out of service, and the orders to its engines.
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

/** Maximum clock skew between a router and an engine. */
const MAXIMUM_CLOCK_SKEW_MILLISECONDS = 1_000;

/** The part of the backend client that orders need. */
export type OrderBackend = Pick<BackendClient, "readState" | "sendOrder">;

/** Options that all order groups of a router share. */
export interface OrderGroupOptions {
  readonly platform: PlatformClient;
  readonly backend: OrderBackend;
  readonly configuration: ConfigurationView;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly holder: string;
  readonly terms: LeaseTerms;
}

/** The plans of a group's engines under one configuration. */
export interface GroupPlan {
  readonly snapshot: ConfigurationSnapshot;
  readonly engines: readonly EnginePlan[];
  readonly pacingCycle: readonly number[];
}

/** Counts of orders and denied permits since the process started. */
export interface OrderCounters {
  ordersSent: number;
  ordersRejected: number;
  ordersUnknown: number;
  permitsDenied: number;
}

/** The lease epoch and the plan with which a round of orders started. */
interface _Round {
  readonly epoch: number;
  readonly plan: GroupPlan;
}

/** Sends the orders of one group while this router holds its lease. */
export class OrderGroup {
  readonly #options: OrderGroupOptions;
  readonly #key: string;
  readonly #lease: Lease;
  readonly #pacer: LoadPacer;
  readonly #counters: OrderCounters;
  /** Per engine, until when an order of unknown outcome may take effect. */
  readonly #suspendedUntil = new Map<string, number>();
  /** Engines that may still hold permits, to release once they match. */
  readonly #mayHoldPermits = new Set<string>();
  #currentEpoch = 0;
  #leaseUpdate: Promise<void> | undefined;
  #isRoundRunning = false;

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

  /** Performs the next read or write of the lease, if one is due. */
  async maintainLease(wanted: boolean): Promise<void> {
    if (this.#leaseUpdate) return;
    this.#leaseUpdate = this.#updateLease(wanted).finally(() => {
      this.#leaseUpdate = undefined;
    });
    await this.#leaseUpdate;
  }

  /** Releases the lease after a pending read or write has completed. */
  async release(): Promise<void> {
    await this.#leaseUpdate;
    await this.maintainLease(false);
  }

  /** Reads the state of the group's engines and sends each its next order. */
  async sendOrders(plan: GroupPlan): Promise<void> {
    if (this.#isRoundRunning) return;
    const round = this.#createRound(plan);
    if (!round) return;
    this.#isRoundRunning = true;
    try {
      if (round.epoch !== this.#currentEpoch) this.#beginEpoch(round);
      await Promise.all(
        plan.engines.map((engine) => this.#processEngine(round, engine)),
      );
    } finally {
      this.#isRoundRunning = false;
    }
  }

  describe(): unknown {
    return {
      lease: this.#lease.describe(this.#now()),
      mayBeOut: [...this.#mayHoldPermits],
    };
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  #wallNow(): number {
    return this.#options.timers.clock.wallMilliseconds();
  }

  #createRound(plan: GroupPlan): _Round | undefined {
    const epoch = this.#lease.actingEpoch(
      this.#now(),
      plan.snapshot.generation,
    );
    return epoch === undefined ? undefined : { epoch, plan };
  }

  /** Checked before every write and order, as the lease may have expired. */
  #isValid({ epoch, plan }: _Round): boolean {
    const { generation } = plan.snapshot;
    return this.#options.configuration.current()?.generation === generation &&
      this.#lease.actingEpoch(this.#now(), generation) === epoch;
  }

  #beginEpoch({ epoch, plan }: _Round): void {
    this.#currentEpoch = epoch;
    this.#pacer.reset(
      this.#wallNow(),
      plan.snapshot.fleet.fleet.weightStoreLoadsPerMinute,
    );
    for (const { engine } of plan.engines) this.#mayHoldPermits.add(engine);
  }

  async #updateLease(wanted: boolean): Promise<void> {
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

  async #processEngine(round: _Round, plan: EnginePlan): Promise<void> {
    const { engine } = plan;
    const { fleet } = round.plan.snapshot;
    if (this.#wallNow() < (this.#suspendedUntil.get(engine) ?? 0)) return;
    const read = await this.#readState(fleet, engine);
    if (read.isErr()) return;
    const state = read.value;
    this.#lease.recordFencingNumber(state.fencingNumber);
    const decision = decideOrders(plan, state);
    if (decision.isDone) {
      await this.#releasePermits(round, plan);
      return;
    }
    for (const candidate of decision.candidates) {
      if (await this.#isAllowed(round, engine, candidate)) {
        await this.#sendOrder(round, engine, candidate);
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
    round: _Round,
    engine: string,
    candidate: OrderCandidate,
  ): Promise<boolean> {
    if (candidate.kind === "load") {
      const { snapshot, pacingCycle } = round.plan;
      const rate = snapshot.fleet.fleet.weightStoreLoadsPerMinute;
      return this.#isValid(round) &&
        this.#pacer.take(this.#wallNow(), rate, pacingCycle);
    }
    for (const placement of candidate.permits) {
      if (!await this.#obtainPermit(round, engine, placement)) {
        this.#counters.permitsDenied++;
        return false;
      }
    }
    return true;
  }

  async #sendOrder(
    round: _Round,
    engine: string,
    { kind, target }: OrderCandidate,
  ): Promise<void> {
    // The wall clock is read before the lease is checked, so that a pause in
    // between makes the order expire early, never late.
    const notAfterMilliseconds = this.#wallNow() +
      this.#options.terms.notAfterSpanMilliseconds;
    if (!this.#isValid(round)) return;
    this.#counters.ordersSent++;
    const { fleet } = round.plan.snapshot;
    const result = await this.#options.backend.sendOrder(
      _addressOf(fleet, engine),
      { kind, target, fencingNumber: round.epoch, notAfterMilliseconds },
    );
    if (result.isOk()) return;
    if (result.error.kind === "order_rejected") this.#counters.ordersRejected++;
    if (result.error.kind === "outcome_unknown") {
      // The next order would have the same fencing number, so the engine could
      // not detect that this one is older.
      this.#counters.ordersUnknown++;
      this.#suspendedUntil.set(
        engine,
        notAfterMilliseconds + MAXIMUM_CLOCK_SKEW_MILLISECONDS,
      );
    }
  }

  /**
   * Records a serving engine as out of service if the placement's serving floor
   * allows it. A denial removes an existing entry, because two serving engines
   * that both have entries could block each other forever.
   */
  async #obtainPermit(
    round: _Round,
    engine: string,
    placement: string,
  ): Promise<boolean> {
    const { platform } = this.#options;
    const key = permitsKey(placement);
    const read = await platform.read(key);
    if (read.isErr()) return false;
    const permits = parsePermits(read.value?.value);
    if (!permits) return false;
    const { epoch, plan: { snapshot } } = round;
    // The engines are read after the permits: taking another engine out of
    // service in between changes the version, so that the write fails.
    const serving = await this.#readServing(snapshot, placement);
    const floor = snapshot.fleet.placements[placement]?.servingFloor ?? 0;
    const granted = grantPermit(permits, { engine, epoch, floor, serving });
    const hasEntry = isOutOfService(permits, engine);
    if ((!granted && !hasEntry) || !this.#isValid(round)) return false;
    this.#mayHoldPermits.add(engine);
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

  async #releasePermits(round: _Round, plan: EnginePlan): Promise<void> {
    const { engine } = plan;
    if (!this.#mayHoldPermits.has(engine)) return;
    const { platform } = this.#options;
    for (const placement of [...plan.placements.values()].flat()) {
      const key = permitsKey(placement);
      const read = await platform.read(key);
      if (read.isErr()) return;
      const permits = parsePermits(read.value?.value);
      if (!permits || !isOutOfService(permits, engine)) continue;
      if (!this.#isValid(round)) return;
      const written = await platform.write(
        key,
        JSON.stringify(releasePermit(permits, engine)),
        read.value?.version ?? 0,
      );
      if (written.isErr()) return;
    }
    this.#mayHoldPermits.delete(engine);
  }
}

function _addressOf(fleet: Fleet, engine: string): SocketAddress {
  return brandId<SocketAddress>(fleet.backendServers[engine]?.address ?? "");
}
