/**
 * Runs one routing strategy over a workload. Engines admit a request only under
 * the load bound, whatever the strategy asks for.
 */
import type { CacheEvent } from "../src/core/prefix_cache_index.ts";
import type { RandomSource } from "../src/core/random.ts";
import { isUnderLoadBound } from "../src/core/routing.ts";
import { SimulatedEngine } from "./affinity_engine.ts";
import type {
  EngineChange,
  Workload,
  WorkloadRequest,
} from "./affinity_workload.ts";

/** The default of the fleet file. */
export const LOAD_BOUND_RATIO = 1.25;
/** Requests of the first minutes fill the caches and are not counted. */
const WARM_UP_MILLISECONDS = 4 * 60_000;
/** Load summaries come this often; a strategy sees the one before the last. */
const TICK_MILLISECONDS = 500;
const EVENT_BATCH_MILLISECONDS = 2_000;
const EVENT_DELAY_MILLISECONDS = 3_000;
const EVENT_BATCH_LOSS = 0.02;
/** A request that all candidates refused is offered again after this time. */
const RETRY_MILLISECONDS = 50;

/** The engines as a strategy sees them. */
export interface AffinityWorld {
  /** By slot; a replaced engine is a new object. */
  readonly engines: readonly SimulatedEngine[];
  /** The load of an engine as of the load summary, about a second old. */
  laggedTokens(engine: SimulatedEngine): number;
  /** Tokens in flight per workspace as of the load summary. */
  readonly laggedWorkspaceTokens: readonly number[];
  readonly now: number;
}

/** A way to choose engines. */
export abstract class AffinityStrategy {
  abstract readonly name: string;
  /** Yields engines in the order in which they are asked for admission. */
  abstract candidates(
    request: WorkloadRequest,
    world: AffinityWorld,
  ): Iterable<SimulatedEngine>;
  /** Whether an engine is left out of the pool although it is up. */
  isExcluded(_engine: SimulatedEngine, _world: AffinityWorld): boolean {
    return false;
  }
  onServed(
    _request: WorkloadRequest,
    _engine: SimulatedEngine,
    _world: AffinityWorld,
  ): void {}
  /** Called after an engine went down, came up, or was replaced. */
  onChange(_change: EngineChange, _world: AffinityWorld): void {}
  /** Called while the leaving engine's cache can still be read. */
  onLeave(_engine: SimulatedEngine, _world: AffinityWorld): void {}
  onCacheEvents(
    _engine: SimulatedEngine,
    _run: number,
    _events: readonly CacheEvent[],
    _world: AffinityWorld,
  ): void {}
}

/** What one run measured. */
export interface AffinityResult {
  readonly requests: number;
  /** Share of prompt tokens that were reused. */
  readonly reuse: number;
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  /** Highest load after a grant, as a multiple of the permitted load. */
  readonly worstBoundUse: number;
  /** Mean over time of the highest load relative to the mean. */
  readonly skew: number;
  readonly attemptsPerRequest: number;
}

interface _Release {
  readonly at: number;
  readonly engine: SimulatedEngine;
  readonly run: number;
  readonly tokens: number;
  readonly workspace: number;
}

type _Event =
  | { readonly at: number; readonly request: WorkloadRequest }
  | { readonly at: number; readonly release: _Release }
  | { readonly at: number; readonly action: () => void };

/** A binary heap by time. */
class _EventQueue {
  readonly #heap: _Event[] = [];

  push(event: _Event): void {
    const heap = this.#heap;
    let at = heap.length;
    heap.push(event);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if ((heap[parent] as _Event).at <= event.at) break;
      heap[at] = heap[parent] as _Event;
      at = parent;
    }
    heap[at] = event;
  }

  nextAt(): number {
    return this.#heap[0]?.at ?? Infinity;
  }

  pop(): _Event | undefined {
    const heap = this.#heap;
    const top = heap[0];
    const last = heap.pop();
    if (top === undefined || last === undefined || heap.length === 0) {
      return top;
    }
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right && right.at < (heap[child] as _Event).at) child++;
      if ((heap[child] as _Event).at >= last.at) break;
      heap[at] = heap[child] as _Event;
      at = child;
    }
    heap[at] = last;
    return top;
  }
}

class _Simulation implements AffinityWorld {
  readonly engines: SimulatedEngine[];
  laggedWorkspaceTokens: number[];
  now = 0;
  readonly #workload: Workload;
  readonly #strategy: AffinityStrategy;
  readonly #random: RandomSource;
  readonly #queue = new _EventQueue();
  readonly #workspaceTokens: number[];
  #summary = new Map<SimulatedEngine, number>();
  #nextSummary = new Map<SimulatedEngine, number>();
  #created: number;
  readonly #firstTokens: number[] = [];
  #promptTokens = 0;
  #reusedTokens = 0;
  #attempts = 0;
  #worstBoundUse = 0;
  #skewSum = 0;
  #skewSamples = 0;

  constructor(
    workload: Workload,
    strategy: AffinityStrategy,
    random: RandomSource,
  ) {
    this.#workload = workload;
    this.#strategy = strategy;
    this.#random = random;
    this.#created = workload.engines;
    this.engines = Array.from(
      { length: workload.engines },
      (_unused, slot) => this.#createEngine(slot, slot),
    );
    this.#workspaceTokens = workload.sharedTokens.map(() => 0);
    this.laggedWorkspaceTokens = [...this.#workspaceTokens];
  }

  laggedTokens(engine: SimulatedEngine): number {
    return this.#summary.get(engine) ?? 0;
  }

  run(): AffinityResult {
    for (const change of this.#workload.changes) {
      this.#at(change.atMilliseconds, () => this.#change(change));
    }
    this.#at(0, () => this.#tick());
    this.#at(EVENT_BATCH_MILLISECONDS, () => this.#publishEvents());
    for (const request of this.#workload.requests) {
      this.#runUntil(request.atMilliseconds);
      this.now = request.atMilliseconds;
      this.#offer(request);
    }
    const sorted = this.#firstTokens.sort((left, right) => left - right);
    return {
      requests: sorted.length,
      reuse: this.#reusedTokens / this.#promptTokens,
      firstTokenP50: sorted[Math.floor(0.5 * sorted.length)] ?? NaN,
      firstTokenP95: sorted[Math.floor(0.95 * sorted.length)] ?? NaN,
      worstBoundUse: this.#worstBoundUse,
      skew: this.#skewSum / this.#skewSamples,
      attemptsPerRequest: this.#attempts / sorted.length,
    };
  }

  #createEngine(number: number, slot: number): SimulatedEngine {
    const shared = this.#workload.sharedTokens;
    return new SimulatedEngine(`engine-${number}`, slot, shared);
  }

  #at(at: number, action: () => void): void {
    this.#queue.push({ at, action });
  }

  #runUntil(end: number): void {
    while (this.#queue.nextAt() <= end) {
      const event = this.#queue.pop() as _Event;
      this.now = event.at;
      if ("action" in event) event.action();
      else if ("release" in event) this.#release(event.release);
      else this.#offer(event.request);
    }
  }

  /** The load of the pool and its number of engines. */
  #poolLoad(): { total: number; count: number } {
    let total = 0;
    let count = 0;
    for (const engine of this.engines) {
      if (!engine.isServing) continue;
      if (this.#strategy.isExcluded(engine, this)) continue;
      total += engine.loadTokens;
      count++;
    }
    return { total, count: Math.max(1, count) };
  }

  #offer(request: WorkloadRequest): void {
    const { total, count } = this.#poolLoad();
    for (const engine of this.#strategy.candidates(request, this)) {
      this.#attempts += this.now >= WARM_UP_MILLISECONDS ? 1 : 0;
      if (!engine.isServing) continue;
      const uncached = request.promptTokens - engine.reusableTokens(request);
      const size = uncached + request.outputTokens;
      const mean = (total + size) / count;
      const load = engine.loadTokens;
      if (!isUnderLoadBound(load, size, mean, LOAD_BOUND_RATIO)) continue;
      const permitted = Math.max(LOAD_BOUND_RATIO * mean, mean + size);
      this.#worstBoundUse = Math.max(
        this.#worstBoundUse,
        (load + size) / permitted,
      );
      this.#serve(request, engine, size);
      return;
    }
    this.#queue.push({ at: this.now + RETRY_MILLISECONDS, request });
  }

  #serve(
    request: WorkloadRequest,
    engine: SimulatedEngine,
    size: number,
  ): void {
    const reused = engine.reusableTokens(request);
    const waited = this.now - request.atMilliseconds;
    const firstToken = engine.prefill(request, this.now);
    if (request.atMilliseconds >= WARM_UP_MILLISECONDS) {
      this.#firstTokens.push(waited + firstToken);
      this.#promptTokens += request.promptTokens;
      this.#reusedTokens += reused;
    }
    engine.loadTokens += size;
    this.#workspaceTokens[request.workspace] =
      (this.#workspaceTokens[request.workspace] ?? 0) + size;
    const at = this.now + firstToken + request.streamMilliseconds;
    const { workspace } = request;
    const release = { at, engine, run: engine.run, tokens: size, workspace };
    this.#queue.push({ at, release });
    this.#strategy.onServed(request, engine, this);
  }

  #release({ engine, run, tokens, workspace }: _Release): void {
    if (engine.run === run) engine.loadTokens -= tokens;
    this.#workspaceTokens[workspace] = (this.#workspaceTokens[workspace] ?? 0) -
      tokens;
  }

  #change(change: EngineChange): void {
    const engine = this.engines[change.slot] as SimulatedEngine;
    if (change.kind === "flap_down") {
      engine.isUp = false;
      engine.restart();
    } else if (change.kind === "flap_up") engine.isUp = true;
    else {
      engine.isLeaving = true;
      if (change.kind === "crash") engine.restart();
      this.engines[change.slot] = this.#createEngine(
        this.#created++,
        change.slot,
      );
      if (change.kind === "leave" && engine.isUp) {
        this.#strategy.onChange(change, this);
        this.#strategy.onLeave(engine, this);
        return;
      }
    }
    this.#strategy.onChange(change, this);
  }

  /** Publishes the load summary of the tick before, and samples the skew. */
  #tick(): void {
    this.#summary = this.#nextSummary;
    this.#nextSummary = new Map(
      this.engines.map((engine) => [engine, engine.loadTokens]),
    );
    this.laggedWorkspaceTokens = [...this.#workspaceTokens];
    if (this.now >= WARM_UP_MILLISECONDS) {
      const highest = Math.max(
        ...this.engines.filter((engine) => engine.isServing)
          .map((engine) => engine.loadTokens),
      );
      const { total, count } = this.#poolLoad();
      this.#skewSum += highest * count / total;
      this.#skewSamples++;
    }
    this.#at(this.now + TICK_MILLISECONDS, () => this.#tick());
  }

  #publishEvents(): void {
    for (const engine of this.engines) {
      const events = engine.takeEvents();
      if (events.length === 0 || this.#random.next() < EVENT_BATCH_LOSS) {
        continue;
      }
      const delay = this.#random.next() * EVENT_DELAY_MILLISECONDS;
      const run = engine.run;
      this.#at(this.now + delay, () => {
        this.#strategy.onCacheEvents(engine, run, events, this);
      });
    }
    const next = this.now + EVENT_BATCH_MILLISECONDS;
    this.#at(next, () => this.#publishEvents());
  }
}

/** Runs a strategy over a workload. */
export function simulateAffinity(
  workload: Workload,
  strategy: AffinityStrategy,
  random: RandomSource,
): AffinityResult {
  return new _Simulation(workload, strategy, random).run();
}
