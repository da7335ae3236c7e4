/**
 * A simulation of order-givers, a platform and engines in virtual time. Routers
 * can be killed, paused and separated; calls are slow, lost or late.
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

/** Something that goes wrong during a run. */
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

/** What a run showed. */
export interface SimulationReport {
  /** Descriptions of broken rules, in order. */
  readonly violations: readonly string[];
  readonly converged: boolean;
  readonly loads: number;
  readonly orders: number;
  readonly platformWrites: number;
  readonly seconds: number;
}

/** Creates the order-giver under test. */
export type CreateGiver = (options: OrderTaskOptions) => Task;

const ROUTERS = 4;
/** Faults begin before this time; afterwards the fleet must converge. */
const CALM_AFTER_SECONDS = 200;
const CONVERGENCE_SECONDS = 600;
const MAXIMUM_CLOCK_SKEW_MILLISECONDS = 400;
const CALL_TIMEOUT_MILLISECONDS = 2_000;
const MAXIMUM_LATE_WRITE_MILLISECONDS = 8_000;
const MAXIMUM_LATE_ORDER_MILLISECONDS = 30_000;
/** Late orders of up to this delay are often still valid. */
const NEARLY_LATE_MILLISECONDS = 4_000;
/** New versions keep orders flowing while faults happen; some runs have few. */
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
  separatedUntil = 0;
  /** Until then it reaches engines but not the platform. */
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
  readonly #createGiver: CreateGiver;
  readonly #routers: _Router[] = [];
  readonly #objects = new Map<string, StoredObject>();
  #outageUntil = 0;
  #lostRepliesUntil = 0;
  #lateOrdersUntil = 0;
  #version = 1;
  snapshot = createSnapshot(1, 1, 3);

  constructor(seed: number, createGiver: CreateGiver) {
    this.#random = createSeededRandom(seed);
    this.#createGiver = createGiver;
    this.engines = new OrderEngines(this.time, this.snapshot);
    this.time.onEvent = () =>
      this.engines.checkFloors(
        this.#routers.map((router) => router.snapshot.fleet),
      );
    for (let n = 0; n < ROUTERS; n++) {
      const router = new _Router(`router-${n}`, this.snapshot);
      this.#routers.push(router);
      this.#start(router);
    }
  }

  inject({ kind, router: index, seconds }: SimulatedFault): void {
    const until = this.time.now + seconds * 1_000;
    const router = this.#routers[index % ROUTERS];
    if (!router) return;
    if (kind === "kill") this.#restart(router);
    if (kind === "pause") router.pausedUntil = until;
    if (kind === "separate") router.separatedUntil = until;
    if (kind === "cut_off") {
      router.separatedUntil = until;
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

  /** Routers adopt a configuration at different times. */
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
        this.engines.replaced(router.snapshot.fleet);
        router.snapshot = snapshot;
      }, router);
    }
  }

  #restart(router: _Router): void {
    if (router.isDead) return;
    router.isDead = true;
    const next = new _Router(router.host, this.snapshot);
    next.incarnation = router.incarnation + 1;
    this.time.after(1_000 + this.#random.integer(10_000), () => {
      this.engines.replaced(router.snapshot.fleet);
      next.snapshot = this.snapshot;
      this.#routers[this.#routers.indexOf(router)] = next;
      this.#start(next);
    });
  }

  #start(router: _Router): void {
    const skew = this.#random.integer(2 * MAXIMUM_CLOCK_SKEW_MILLISECONDS) -
      MAXIMUM_CLOCK_SKEW_MILLISECONDS;
    const clock: Clock = {
      monotonicMilliseconds: () => this.time.now,
      wallMilliseconds: () => this.time.now + skew,
    };
    const task = this.#createGiver({
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

  /** A paused or separated router still counts itself as live. */
  #viewOf(router: _Router): Member[] {
    const { now } = this.time;
    return this.#routers.filter((other) =>
      other === router ||
      (!other.isDead && now >= other.pausedUntil &&
        now >= router.separatedUntil && now >= other.separatedUntil)
    ).map((other) => other.member());
  }

  /** Delivers a result to a router, which may be dead or paused by then. */
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

  /** Runs an effect after one delay and delivers its result after another. */
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

  /** Loses the reply: the effect comes late and the caller does not learn of it. */
  #lose<Value>(
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
          ? this.#lose(router, MAXIMUM_LATE_WRITE_MILLISECONDS, put, lost)
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
    const number = this.engines.number();
    const arrive = () => this.engines.obey(address, order, number);
    const isLate = this.time.now < this.#lateOrdersUntil &&
      this.#random.next() < 0.5;
    const maximumDelay = this.#random.next() < 0.5
      ? NEARLY_LATE_MILLISECONDS
      : MAXIMUM_LATE_ORDER_MILLISECONDS;
    const lost = createError("outcome_unknown", "reply lost");
    return isLate
      ? this.#lose(router, maximumDelay, arrive, lost)
      : this.#perform(router, arrive);
  }
}

/** Runs one simulation with the given kind of order-giver. */
export async function simulateOrders(
  seed: number,
  faults: readonly SimulatedFault[],
  createGiver: CreateGiver,
): Promise<SimulationReport> {
  const world = new _World(seed, createGiver);
  for (const fault of faults) {
    world.time.after(fault.atSeconds * 1_000, () => world.inject(fault));
  }
  const { time, engines } = world;
  const period =
    VERSION_PERIODS_SECONDS[seed % VERSION_PERIODS_SECONDS.length] ??
      CALM_AFTER_SECONDS;
  for (let at = 10; at < CALM_AFTER_SECONDS; at += period) {
    time.after(at * 1_000, () => world.adoptNewVersion());
  }
  await time.runUntil(CALM_AFTER_SECONDS * 1_000);
  const end = (CALM_AFTER_SECONDS + CONVERGENCE_SECONDS) * 1_000;
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
