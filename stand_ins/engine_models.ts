/**
 * What the stand-in engine holds (model versions, adapters, roles) and how it
 * obeys orders. Loads take time and are paced by a shared weight store.
 */

/** An order, as `POST /v1/orders` receives it. */
export interface EngineOrder {
  readonly kind: string;
  readonly target: {
    readonly model: string;
    readonly version: string;
    readonly adapter?: string | undefined;
    readonly role?: string | undefined;
  };
  readonly fencing_number: number;
  /** Unix time after which the order must not take effect. */
  readonly not_after_milliseconds: number;
}

/** A model version or an adapter that the engine holds. */
export interface HeldItem {
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  state: "loading" | "standby" | "serving";
}

/** The time by which engines live; a simulation supplies its own. */
export interface EngineTime {
  /** Unix time in milliseconds. */
  now(): number;
  after(milliseconds: number, listener: () => void): void;
}

/** The system's time. */
export const SYSTEM_TIME: EngineTime = {
  now: () => Date.now(),
  after: (milliseconds, listener) =>
    void setTimeout(listener, milliseconds).unref(),
};

/** Counts the loads of all engines that share it and delays those above its rate. */
export class WeightStore {
  readonly loadTimes: number[] = [];
  readonly #gapMilliseconds: number;
  readonly #time: EngineTime;
  #nextAt = 0;

  constructor(loadsPerMinute: number, time = SYSTEM_TIME) {
    this.#time = time;
    this.#gapMilliseconds = 60_000 / loadsPerMinute;
  }

  /** Registers a load and returns how long it waits for its turn. */
  take(): number {
    const now = this.#time.now();
    this.loadTimes.push(now);
    const startAt = Math.max(now, this.#nextAt);
    this.#nextAt = startAt + this.#gapMilliseconds;
    return startAt - now;
  }
}

/** Options of the models of an engine. */
export interface EngineModelsOptions {
  readonly checksFencing: boolean;
  readonly loadMilliseconds: number;
  /** How many model versions fit into memory at once. */
  readonly modelSlots: number;
  readonly weightStore: WeightStore;
  /** True while requests of the model run, which blocks its unloading. */
  readonly isBusy: (model: string) => boolean;
  readonly time?: EngineTime;
}

/** The state of an engine's models. */
export class EngineModels {
  readonly items: HeldItem[] = [];
  readonly #options: EngineModelsOptions;
  readonly #time: EngineTime;
  #fencingNumber = 0;
  #lastObeyed = 0;
  #highestObeyed = 0;
  /** Orders obeyed although a newer one had been obeyed before. */
  olderObeyed = 0;

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
      last_obeyed_fencing_number: this.#lastObeyed,
    };
  }

  /** Obeys an order or returns why not. Repeating an order has no effect. */
  obey(order: EngineOrder): string | undefined {
    if (this.#time.now() > order.not_after_milliseconds) return "order_expired";
    if (
      this.#options.checksFencing && order.fencing_number < this.#fencingNumber
    ) return "fencing_number_too_low";
    this.#fencingNumber = Math.max(this.#fencingNumber, order.fencing_number);
    const refusal = this.#apply(order);
    if (refusal !== undefined) return refusal;
    if (order.fencing_number < this.#highestObeyed) this.olderObeyed++;
    this.#lastObeyed = order.fencing_number;
    this.#highestObeyed = Math.max(this.#highestObeyed, order.fencing_number);
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

  #find(target: EngineOrder["target"]): HeldItem | undefined {
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
    const item: HeldItem = adapter === undefined
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

  #isLastInUse(item: HeldItem): boolean {
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
