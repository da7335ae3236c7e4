/**
 * Simulates order tasks, a platform and engines in virtual time. Routers can be
 * killed, paused or partitioned; calls can be slow, lose their reply or take
 * effect late.
 */
import { err, ok, type Result } from "neverthrow";
import { type ApplicationError, createError } from "../src/core/errors.ts";
import type { ConfigurationSnapshot } from "../src/core/fleet_schema.ts";
import { brandId } from "../src/core/ids.ts";
import type { EngineOrder } from "../src/core/orders.ts";
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";
import type { Member } from "../src/membership_view.ts";
import type { OrderTaskOptions } from "../src/order_task.ts";
import type { PlatformClient, StoredObject } from "../src/platform_client.ts";
import type { Task } from "../src/task.ts";
import type { Clock } from "../src/timer_service.ts";
import { createFleet, OrderEngines } from "./order_engines.ts";
import { SimulatedTime, SimulatedTimers } from "./simulated_time.ts";

/** Fault injected during a run. */
export interface SimulatedFault {
  readonly atSeconds: number;
  readonly kind:
    | "kill"
    | "pause"
    | "separate"
    | "cut_off"
    | "platform_outage"
    | "lost_replies"
    | "late_orders"
    | "new_floor";
  readonly router: number;
  readonly seconds: number;
}

/** Result of a run. */
export interface SimulationReport {
  /** Descriptions of invariant violations, in order of time. */
  readonly violations: readonly string[];
  readonly converged: boolean;
  readonly loads: number;
  readonly orders: number;
  readonly platformWrites: number;
  readonly seconds: number;
}

/** Creates the order task under test. */
export type CreateOrderTask = (options: OrderTaskOptions) => Task;

const ROUTERS = 4;
/**
 * Faults begin and new versions appear before this time; afterwards the fleet
 * must converge.
 */
const FAULT_PHASE_SECONDS = 200;
const CONVERGENCE_SECONDS = 600;
const MAXIMUM_CLOCK_SKEW_MILLISECONDS = 400;
const CALL_TIMEOUT_MILLISECONDS = 2_000;
const MAXIMUM_WRITE_DELAY_MILLISECONDS = 8_000;
const MAXIMUM_ORDER_DELAY_MILLISECONDS = 30_000;
/** Maximum of the shorter delays; orders this late are often still valid. */
const SHORT_ORDER_DELAY_MILLISECONDS = 4_000;
/**
 * Periods of new model versions, which cause orders while faults occur. Runs
 * with a long period have few orders.
 */
const VERSION_PERIODS_SECONDS = [15, 25, 60, 100];

function createSnapshot(
  generation: number,
  version: number,
  floor: number,
): ConfigurationSnapshot {
  const fleet = createFleet(version, floor);
  const drains = { hosts: [], backendServers: [] };
  return { generation, digest: `${generation}`, fleet, drains };
}

class _Router {
  readonly host: string;
  incarnation = 1;
  isDead = false;
  pausedUntil = 0;
  partitionedUntil = 0;
  /** Time until which the router reaches engines but not the platform. */
  cutOffUntil = 0;
  snapshot: ConfigurationSnapshot;

  constructor(host: string, snapshot: ConfigurationSnapshot) {
    this.host = host;
    this.snapshot = snapshot;
  }

  member(): Member {
    return {
      host: brandId(this.host),
      dataCentre: brandId("a"),
      address: brandId("127.0.0.1:1"),
      callerAddress: brandId("127.0.0.1:2"),
      incarnation: brandId(`${this.host}-${this.incarnation}`),
      leaving: false,
    };
  }
}

class _World {
  readonly time = new SimulatedTime();
  readonly engines: OrderEngines;
  writes = 0;
  readonly #random: RandomSource;
  readonly #createTask: CreateOrderTask;
  readonly #routers: _Router[] = [];
  readonly #objects = new Map<string, StoredObject>();
  #outageUntil = 0;
  #lostRepliesUntil = 0;
  #lateOrdersUntil = 0;
  #version = 1;
  snapshot = createSnapshot(1, 1, 3);

  constructor(seed: number, createTask: CreateOrderTask) {
    this.#random = createSeededRandom(seed);
    this.#createTask = createTask;
    this.engines = new OrderEngines(this.time, this.snapshot);
    this.time.onEvent = () =>
      this.engines.checkServingFloors(
        this.#routers.map((router) => router.snapshot.fleet),
      );
    for (let n = 0; n < ROUTERS; n++) {
      const router = new _Router(`router-${n}`, this.snapshot);
      this.#routers.push(router);
      this.#start(router);
    }
  }

  injectFault({ kind, router: index, seconds }: SimulatedFault): void {
    const until = this.time.now + seconds * 1_000;
    const router = this.#routers[index % ROUTERS];
    if (!router) return;
    if (kind === "kill") this.#restart(router);
    if (kind === "pause") router.pausedUntil = until;
    if (kind === "separate") router.partitionedUntil = until;
    if (kind === "cut_off") {
      router.partitionedUntil = until;
      router.cutOffUntil = until;
    }
    if (kind === "platform_outage") this.#outageUntil = until;
    if (kind === "lost_replies") this.#lostRepliesUntil = until;
    if (kind === "late_orders") this.#lateOrdersUntil = until;
    if (kind === "new_floor") this.#adopt(this.#version, 2 + seconds % 2);
  }

  adoptNewVersion(): void {
    const floor = this.snapshot.fleet.placements["pa"]?.servingFloor ?? 0;
    this.#adopt(++this.#version, floor);
  }

  /** Publishes a configuration; each router adopts it after a random delay. */
  #adopt(version: number, floor: number): void {
    const snapshot = createSnapshot(
      this.snapshot.generation + 1,
      version,
      floor,
    );
    this.snapshot = snapshot;
    for (const router of this.#routers) {
      this.time.after(this.#random.integer(10_000), () => {
        if (snapshot.generation <= router.snapshot.generation) return;
        this.engines.recordReplaced(router.snapshot.fleet);
        router.snapshot = snapshot;
      }, router);
    }
  }

  #restart(router: _Router): void {
    if (router.isDead) return;
    router.isDead = true;
    const replacement = new _Router(router.host, this.snapshot);
    replacement.incarnation = router.incarnation + 1;
    this.time.after(1_000 + this.#random.integer(10_000), () => {
      this.engines.recordReplaced(router.snapshot.fleet);
      replacement.snapshot = this.snapshot;
      this.#routers[this.#routers.indexOf(router)] = replacement;
      this.#start(replacement);
    });
  }

  #start(router: _Router): void {
    const clockSkew =
      this.#random.integer(2 * MAXIMUM_CLOCK_SKEW_MILLISECONDS) -
      MAXIMUM_CLOCK_SKEW_MILLISECONDS;
    const clock: Clock = {
      monotonicMilliseconds: () => this.time.now,
      wallMilliseconds: () => this.time.now + clockSkew,
    };
    const task = this.#createTask({
      platform: this.#platformFor(router),
      backend: {
        readState: (address) =>
          this.#perform(router, () => ok(this.engines.stateAt(address))),
        sendOrder: (address, order) => this.#sendOrder(router, address, order),
      },
      membership: {
        self: () => router.member(),
        liveMembers: () => this.#viewOf(router),
        onChange: () => {},
      },
      configuration: { current: () => router.snapshot, onChange: () => {} },
      timers: new SimulatedTimers(
        clock,
        (delay, run) =>
          this.time.after(delay, () => {
            if (!router.isDead) run();
          }, router),
      ),
      random: createSeededRandom(this.#random.integer(2 ** 31)),
    });
    void task.start();
  }

  /**
   * Returns the live members as a router sees them. A paused or partitioned
   * router still counts itself as live.
   */
  #viewOf(router: _Router): Member[] {
    const { now } = this.time;
    return this.#routers.filter((other) =>
      other === router ||
      (!other.isDead && now >= other.pausedUntil &&
        now >= router.partitionedUntil && now >= other.partitionedUntil)
    ).map((other) => other.member());
  }

  /**
   * Delivers a result after a delay. A dead router never receives it, a paused
   * one only after its pause.
   */
  #deliver<Value>(
    router: _Router,
    delay: number,
    result: () => Result<Value, ApplicationError>,
  ): Promise<Result<Value, ApplicationError>> {
    return new Promise((resolve) =>
      this.time.after(delay, () => {
        if (!router.isDead) resolve(result());
      }, router)
    );
  }

  #latency(): number {
    const isSlow = this.#random.next() < 0.02;
    return 1 + this.#random.integer(isSlow ? 1_500 : 40);
  }

  /** Runs an effect and delivers its result, each after a random delay. */
  #perform<Value>(
    router: _Router,
    effect: () => Result<Value, ApplicationError>,
  ): Promise<Result<Value, ApplicationError>> {
    const delay = this.#latency();
    let result: Result<Value, ApplicationError>;
    this.time.after(delay, () => {
      result = effect();
    });
    return this.#deliver(router, delay + this.#latency(), () => result);
  }

  /**
   * Runs an effect after a random delay and loses its reply: the caller
   * receives the error once the call times out.
   */
  #performWithoutReply<Value>(
    router: _Router,
    maximumDelay: number,
    effect: () => unknown,
    error: ApplicationError,
  ): Promise<Result<Value, ApplicationError>> {
    this.time.after(this.#random.integer(maximumDelay), () => void effect());
    return this.#deliver(router, CALL_TIMEOUT_MILLISECONDS, () => err(error));
  }

  #platformFor(router: _Router): PlatformClient {
    const unavailable = createError("platform_unavailable", "outage");
    const lost = createError("platform_outcome_unknown", "reply lost");
    const client: Pick<PlatformClient, "read" | "write"> = {
      read: (key) =>
        this.#isDown(router)
          ? this.#deliver(router, 10, () => err(unavailable))
          : this.#perform(router, () => ok(this.#objects.get(key))),
      write: (key, value, expected) => {
        if (this.#isDown(router)) {
          return this.#deliver(router, 10, () => err(unavailable));
        }
        const put = () => this.#put(key, value, expected);
        const isLost = this.time.now < this.#lostRepliesUntil &&
          this.#random.next() < 0.5;
        return isLost
          ? this.#performWithoutReply(
            router,
            MAXIMUM_WRITE_DELAY_MILLISECONDS,
            put,
            lost,
          )
          : this.#perform(router, put);
      },
    };
    return client as PlatformClient;
  }

  #isDown(router: _Router): boolean {
    return this.time.now < Math.max(this.#outageUntil, router.cutOffUntil);
  }

  #put(key: string, value: string, expected: number) {
    this.writes++;
    const version = this.#objects.get(key)?.version ?? 0;
    if (version !== expected) return err(createError("platform_conflict", key));
    this.#objects.set(key, { key, version: version + 1, value });
    return ok(version + 1);
  }

  #sendOrder(
    router: _Router,
    address: string,
    order: EngineOrder,
  ): Promise<Result<void, ApplicationError>> {
    const number = this.engines.nextOrderNumber();
    const arrive = () => this.engines.applyOrder(address, order, number);
    const isLate = this.time.now < this.#lateOrdersUntil &&
      this.#random.next() < 0.5;
    const maximumDelay = this.#random.next() < 0.5
      ? SHORT_ORDER_DELAY_MILLISECONDS
      : MAXIMUM_ORDER_DELAY_MILLISECONDS;
    const lost = createError("outcome_unknown", "reply lost");
    return isLate
      ? this.#performWithoutReply(router, maximumDelay, arrive, lost)
      : this.#perform(router, arrive);
  }
}

/** Runs one simulation with the given order task. */
export async function simulateOrders(
  seed: number,
  faults: readonly SimulatedFault[],
  createTask: CreateOrderTask,
): Promise<SimulationReport> {
  const world = new _World(seed, createTask);
  for (const fault of faults) {
    world.time.after(fault.atSeconds * 1_000, () => world.injectFault(fault));
  }
  const { time, engines } = world;
  const period =
    VERSION_PERIODS_SECONDS[seed % VERSION_PERIODS_SECONDS.length] ??
      FAULT_PHASE_SECONDS;
  for (let at = 10; at < FAULT_PHASE_SECONDS; at += period) {
    time.after(at * 1_000, () => world.adoptNewVersion());
  }
  await time.runUntil(FAULT_PHASE_SECONDS * 1_000);
  const end = (FAULT_PHASE_SECONDS + CONVERGENCE_SECONDS) * 1_000;
  while (!engines.isConverged(world.snapshot) && time.now < end) {
    await time.runUntil(time.now + 5_000);
  }
  engines.checkLoadRate();
  return {
    violations: engines.violations,
    converged: engines.isConverged(world.snapshot),
    loads: engines.weightStore.loadTimes.length,
    orders: engines.orders,
    platformWrites: world.writes,
    seconds: time.now / 1_000,
  };
}
