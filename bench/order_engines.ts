/** Simulated engines of the order simulation, which check its invariants. */
import { err, ok, type Result } from "neverthrow";
import { type ApplicationError, createError } from "../src/core/errors.ts";
import {
  type ConfigurationSnapshot,
  type Fleet,
  fleetSchema,
} from "../src/core/fleet_schema.ts";
import {
  decideOrders,
  type EngineOrder,
  isServing,
  planEngines,
} from "../src/core/orders.ts";
import type { EngineState } from "../src/engine_protocol.ts";
import { EngineModels, WeightStore } from "../stand_ins/engine_models.ts";
import type { SimulatedTime } from "./simulated_time.ts";

const ENGINES = 8;
const LOADS_PER_MINUTE = 20;
/** Time in which an order sent under an earlier floor may still take effect. */
const FLOOR_GRACE_MILLISECONDS = 4_000;

class _Engine {
  readonly models: EngineModels;
  /** Highest number of an applied order; orders are numbered when sent. */
  newestApplied = 0;
  highestFencingNumber = 0;

  constructor(models: EngineModels) {
    this.models = models;
  }
}

/** Creates a fleet with two placements that share engines. */
export function createFleet(version: number, floor: number): Fleet {
  const names = Array.from({ length: ENGINES }, (_unused, n) => `engine-${n}`);
  const servers = names.map((name, n) => [name, {
    kind: "engine",
    address: `127.0.0.1:${n + 1}`,
    dataCentre: "a",
  }]);
  return fleetSchema.parse({
    fleet: { weightStoreLoadsPerMinute: `${LOADS_PER_MINUTE}` },
    dataCentres: { a: { region: "r" } },
    models: { a: { version: `${version}` }, b: { version: "1" } },
    adapters: { x: { model: "a", version: `${version}` } },
    backendServers: Object.fromEntries(servers) as unknown,
    services: {},
    placements: {
      pa: {
        model: "a",
        adapters: "x",
        backendServers: names.slice(0, 6).join(","),
        replicas: "5",
        servingFloor: `${floor}`,
      },
      pb: {
        model: "b",
        backendServers: names.slice(4).join(","),
        replicas: "3",
        servingFloor: "2",
      },
    },
    workspaces: {},
    operators: {},
  });
}

/** All engines of the simulation and the invariant violations they observed. */
export class OrderEngines {
  readonly violations: string[] = [];
  readonly weightStore: WeightStore;
  readonly #time: SimulatedTime;
  readonly #engines = new Map<string, _Engine>();
  readonly #serving = new Map<string, number>();
  readonly #replaced: { readonly at: number; readonly fleet: Fleet }[] = [];
  #orders = 0;

  constructor(time: SimulatedTime, snapshot: ConfigurationSnapshot) {
    this.#time = time;
    const engineTime = {
      now: () => time.now,
      after: (milliseconds: number, run: () => void) =>
        time.after(milliseconds, run),
    };
    this.weightStore = new WeightStore(600, engineTime);
    const plans = planEngines(snapshot.fleet, snapshot.drains);
    for (let n = 0; n < ENGINES; n++) {
      const name = `engine-${n}`;
      const models = new EngineModels({
        checksFencing: n % 2 === 0,
        loadMilliseconds: 5_000,
        modelSlots: n < 3 ? 1 : 2,
        weightStore: this.weightStore,
        isBusy: () => false,
        time: engineTime,
      });
      for (const wanted of plans.get(name)?.desired ?? []) {
        const { model, version } = wanted;
        models.items.push({ model, version, state: "serving" });
        for (const [adapter, adapterVersion] of wanted.adapters) {
          models.items.push({
            model,
            version: adapterVersion,
            adapter,
            state: "standby",
          });
        }
      }
      this.#engines.set(name, new _Engine(models));
    }
  }

  /** Returns the number of the next order sent. */
  nextOrderNumber(): number {
    return ++this.#orders;
  }

  get orders(): number {
    return this.#orders;
  }

  stateAt(address: string): EngineState {
    return this.#state(this.#nameAt(address));
  }

  applyOrder(
    address: string,
    order: EngineOrder,
    number: number,
  ): Result<void, ApplicationError> {
    const name = this.#nameAt(address);
    const engine = this.#engines.get(name);
    const refusal = engine?.models.obey({
      kind: order.kind,
      target: order.target,
      fencing_number: order.fencingNumber,
      not_after_milliseconds: order.notAfterMilliseconds,
    });
    if (!engine || refusal !== undefined) {
      return err(createError("order_rejected", refusal ?? "no such engine"));
    }
    if (number < engine.newestApplied) {
      this.#violate(`${name} obeyed an older order`);
    }
    if (order.fencingNumber < engine.highestFencingNumber) {
      this.#violate(`${name} obeyed an earlier holder`);
    }
    engine.newestApplied = Math.max(engine.newestApplied, number);
    engine.highestFencingNumber = Math.max(
      engine.highestFencingNumber,
      order.fencingNumber,
    );
    this.#checkAdapters(name, order);
    return ok(undefined);
  }

  /** Records that a router replaced this configuration. */
  recordReplaced(fleet: Fleet): void {
    this.#replaced.push({ at: this.#time.now, fleet });
  }

  /**
   * Checks that the number of serving replicas never falls below the lowest
   * floor that a router follows or followed within the grace period.
   */
  checkServingFloors(followed: readonly Fleet[]): void {
    const since = this.#time.now - FLOOR_GRACE_MILLISECONDS;
    while ((this.#replaced[0]?.at ?? Infinity) < since) this.#replaced.shift();
    const fleets = [...followed, ...this.#replaced.map(({ fleet }) => fleet)];
    for (const name of ["pa", "pb"]) {
      const placements = fleets.flatMap((fleet) =>
        fleet.placements[name] ?? []
      );
      const model = placements[0]?.model ?? "";
      const floor = Math.min(...placements.map((entry) => entry.servingFloor));
      const serving = (placements[0]?.backendServers ?? [])
        .filter((engine) => isServing(this.#state(engine), model)).length;
      const fell = serving < (this.#serving.get(name) ?? Infinity);
      this.#serving.set(name, serving);
      if (fell && serving < floor) {
        this.#violate(`${name} served by ${serving}, floor ${floor}`);
      }
    }
  }

  /** Checks that no minute contains more weight loads than allowed. */
  checkLoadRate(): void {
    const times = this.weightStore.loadTimes;
    times.forEach((start, index) => {
      const end = times[index + LOADS_PER_MINUTE];
      if (end !== undefined && end - start < 60_000) {
        this.#violate(`more than ${LOADS_PER_MINUTE} loads in a minute`);
      }
    });
  }

  isConverged({ fleet, drains }: ConfigurationSnapshot): boolean {
    return [...planEngines(fleet, drains).values()].every((plan) =>
      decideOrders(plan, this.#state(plan.engine)).isDone
    );
  }

  /** Checks that model `a` serves only once its adapter is loaded. */
  #checkAdapters(name: string, { target }: EngineOrder): void {
    if (target.role !== "serving" || target.model !== "a") return;
    const isReady = this.#state(name).items.some((item) =>
      item.adapter === "x" && item.version === target.version &&
      item.state !== "loading"
    );
    if (!isReady) this.#violate(`${name} serves without its adapter`);
  }

  #violate(what: string): void {
    this.violations.push(`${what} at ${this.#time.now} ms`);
  }

  #nameAt(address: string): string {
    return `engine-${Number(address.split(":")[1]) - 1}`;
  }

  #state(engine: string): EngineState {
    const described = this.#engines.get(engine)?.models.describe();
    return {
      items: (described?.items ?? []).map((item) => ({ ...item })),
      modelSlots: described?.model_slots ?? 0,
      fencingNumber: described?.fencing_number ?? 0,
    };
  }
}
