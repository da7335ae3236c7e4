/**
 * Model versions, adapters and roles of the stand-in engine, and the orders
 * that change them. Loads take time and are rate limited by a shared weight
 * store.
 */

/** The body of `POST /v1/orders`. */
export interface EngineOrder {
  readonly kind: string;
  readonly target: {
    readonly model: string;
    readonly version: string;
    readonly adapter?: string | undefined;
    readonly role?: string | undefined;
  };
  readonly fencing_number: number;
  /** Unix time after which the engine must reject the order. */
  readonly not_after_milliseconds: number;
}

/** A model version or adapter that is loaded or loading. */
export interface EngineItem {
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  state: "loading" | "standby" | "serving";
}

/** Clock and timers of an engine; a simulation can replace them. */
export interface EngineTime {
  /** Unix time in milliseconds. */
  now(): number;
  after(milliseconds: number, listener: () => void): void;
}

/** Uses the system clock and Node.js timers. */
export const SYSTEM_TIME: EngineTime = {
  now: () => Date.now(),
  after: (milliseconds, listener) =>
    void setTimeout(listener, milliseconds).unref(),
};

/** Rate limits and records the loads of all engines that share it. */
export class WeightStore {
  readonly loadTimes: number[] = [];
  readonly #intervalMilliseconds: number;
  readonly #time: EngineTime;
  #nextAt = 0;

  constructor(loadsPerMinute: number, time = SYSTEM_TIME) {
    this.#time = time;
    this.#intervalMilliseconds = 60_000 / loadsPerMinute;
  }

  /** Records a load and returns its wait time in milliseconds. */
  take(): number {
    const now = this.#time.now();
    this.loadTimes.push(now);
    const startAt = Math.max(now, this.#nextAt);
    this.#nextAt = startAt + this.#intervalMilliseconds;
    return startAt - now;
  }
}

/** Configures the models of an engine. */
export interface EngineModelsOptions {
  readonly checksFencing: boolean;
  readonly loadMilliseconds: number;
  /** Number of model versions that fit into memory. */
  readonly modelSlots: number;
  readonly weightStore: WeightStore;
  /** Whether the model has active requests, which prevent unloading it. */
  readonly isBusy: (model: string) => boolean;
  readonly time?: EngineTime;
}

/** Tracks an engine's model versions and adapters and executes orders. */
export class EngineModels {
  readonly items: EngineItem[] = [];
  readonly #options: EngineModelsOptions;
  readonly #time: EngineTime;
  #fencingNumber = 0;
  #lastExecuted = 0;
  #highestExecuted = 0;
  /** Number of orders executed after an order with a higher fencing number. */
  staleExecuted = 0;

  constructor(options: EngineModelsOptions) {
    this.#options = options;
    this.#time = options.time ?? SYSTEM_TIME;
  }

  isServing(model: string, adapter?: string): boolean {
    return this.items.some((item) =>
      item.model === model && item.adapter === adapter &&
      (adapter === undefined
        ? item.state === "serving"
        : item.state !== "loading")
    );
  }

  describe() {
    return {
      items: this.items,
      model_slots: this.#options.modelSlots,
      fencing_number: this.#fencingNumber,
      last_obeyed_fencing_number: this.#lastExecuted,
    };
  }

  /** Executes an order or returns why it is rejected. Orders are idempotent. */
  obey(order: EngineOrder): string | undefined {
    if (this.#time.now() > order.not_after_milliseconds) return "order_expired";
    if (
      this.#options.checksFencing && order.fencing_number < this.#fencingNumber
    ) return "fencing_number_too_low";
    this.#fencingNumber = Math.max(this.#fencingNumber, order.fencing_number);
    const reason = this.#apply(order);
    if (reason !== undefined) return reason;
    if (order.fencing_number < this.#highestExecuted) this.staleExecuted++;
    this.#lastExecuted = order.fencing_number;
    this.#highestExecuted = Math.max(
      this.#highestExecuted,
      order.fencing_number,
    );
    return undefined;
  }

  #apply({ kind, target }: EngineOrder): string | undefined {
    switch (kind) {
      case "load":
        return this.#load(target);
      case "unload":
        return this.#unload(target);
      case "change_role":
        return this.#changeRole(target);
      default:
        return "unknown_order";
    }
  }

  #find(target: EngineOrder["target"]): EngineItem | undefined {
    return this.items.find((item) =>
      item.model === target.model && item.version === target.version &&
      item.adapter === target.adapter
    );
  }

  #load(target: EngineOrder["target"]): string | undefined {
    if (this.#find(target)) return undefined;
    const { model, version, adapter } = target;
    const models = this.items.filter((item) => item.adapter === undefined);
    if (adapter === undefined && models.length >= this.#options.modelSlots) {
      return "no_free_slot";
    }
    const item: EngineItem = adapter === undefined
      ? { model, version, state: "loading" }
      : { model, version, adapter, state: "loading" };
    this.items.push(item);
    const wait = this.#options.weightStore.take();
    this.#time.after(wait + this.#options.loadMilliseconds, () => {
      item.state = "standby";
    });
    return undefined;
  }

  #unload(target: EngineOrder["target"]): string | undefined {
    const item = this.#find(target);
    if (!item) return undefined;
    if (item.state === "serving") return "still_serving";
    if (item.adapter === undefined && this.#isLastInUse(item)) return "busy";
    this.items.splice(this.items.indexOf(item), 1);
    return undefined;
  }

  #isLastInUse(item: EngineItem): boolean {
    return !this.isServing(item.model) && this.#options.isBusy(item.model);
  }

  #changeRole(target: EngineOrder["target"]): string | undefined {
    const item = this.#find(target);
    if (!item || item.state === "loading") return "not_loaded";
    if (target.role !== "serving" && target.role !== "standby") {
      return "unknown_role";
    }
    for (const other of this.items) {
      const replaced = target.role === "serving" &&
        other.model === item.model && other.adapter === undefined;
      if (replaced) {
        other.state = other.state === "loading" ? "loading" : "standby";
      }
    }
    item.state = target.role;
    return undefined;
  }
}
