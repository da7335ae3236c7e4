/**
 * Simulates a workload under one routing strategy. Engines enforce the load
 * bound, so a strategy sets only the order in which they are asked.
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

/** Default of `loadBoundRatio` in the fleet file. */
export const LOAD_BOUND_RATIO = 1.25;
/** Requests that arrive during warm-up fill the caches and are not counted. */
const WARM_UP_MILLISECONDS = 4 * 60_000;
/** Interval of load summaries; a strategy sees the second most recent one. */
const SUMMARY_PERIOD_MILLISECONDS = 500;
const EVENT_BATCH_PERIOD_MILLISECONDS = 2_000;
const MAXIMUM_EVENT_DELAY_MILLISECONDS = 3_000;
const EVENT_BATCH_LOSS_RATIO = 0.02;
/** Delay before a request that all candidates refused is retried. */
const RETRY_MILLISECONDS = 50;

/** The state of the fleet that a strategy may read. */
export interface AffinityWorld {
  /** Engines by slot; a replacement engine is a new object. */
  readonly engines: readonly SimulatedEngine[];
  /** Load of an engine in the visible summary, about a second old. */
  laggedTokens(engine: SimulatedEngine): number;
  /** Tokens in flight per workspace, updated with the load summaries. */
  readonly laggedWorkspaceTokens: readonly number[];
  readonly now: number;
}

/** Chooses the engines that a request is offered to. */
export abstract class AffinityStrategy {
  abstract readonly name: string;
  /** Yields engines in the order in which admission is attempted. */
  abstract candidates(
    request: WorkloadRequest,
    world: AffinityWorld,
  ): Iterable<SimulatedEngine>;
  /** Whether a serving engine is excluded from the pool. */
  isExcluded(_engine: SimulatedEngine, _world: AffinityWorld): boolean {
    return false;
  }
  onServed(
    _request: WorkloadRequest,
    _engine: SimulatedEngine,
    _world: AffinityWorld,
  ): void {}
  /** Called after an engine goes down, comes up or is replaced. */
  onChange(_change: EngineChange, _world: AffinityWorld): void {}
  /** Called on a planned leave, while the engine's cache is still readable. */
  onLeave(_engine: SimulatedEngine, _world: AffinityWorld): void {}
  onCacheEvents(
    _engine: SimulatedEngine,
    _run: number,
    _events: readonly CacheEvent[],
    _world: AffinityWorld,
  ): void {}
}

/** The metrics of one simulation. */
export interface AffinityResult {
  readonly requests: number;
  /** Share of prompt tokens that were served from cache. */
  readonly reuse: number;
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  /** Highest load after an admission, as a ratio of the permitted load. */
  readonly worstBoundUse: number;
  /** Ratio of the highest load to the mean load, averaged over time. */
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

/** A binary min-heap of events, ordered by time. */
class _EventQueue {
  readonly #heap: _Event[] = [];

  push(event: _Event): void {
    const heap = this.#heap;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if ((heap[parent] as _Event).at <= event.at) break;
      heap[index] = heap[parent] as _Event;
      index = parent;
    }
    heap[index] = event;
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
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right && right.at < (heap[child] as _Event).at) child++;
      if ((heap[child] as _Event).at >= last.at) break;
      heap[index] = heap[child] as _Event;
      index = child;
    }
    heap[index] = last;
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
  #createdEngines: number;
  readonly #firstTokenTimes: number[] = [];
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
    this.#createdEngines = workload.engines;
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
      this.#schedule(change.atMilliseconds, () => this.#applyChange(change));
    }
    this.#schedule(0, () => this.#summarizeLoads());
    this.#schedule(
      EVENT_BATCH_PERIOD_MILLISECONDS,
      () => this.#publishEvents(),
    );
    for (const request of this.#workload.requests) {
      this.#runUntil(request.atMilliseconds);
      this.now = request.atMilliseconds;
      this.#route(request);
    }
    const sorted = this.#firstTokenTimes.sort((left, right) => left - right);
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

  #schedule(at: number, action: () => void): void {
    this.#queue.push({ at, action });
  }

  #runUntil(end: number): void {
    while (this.#queue.nextAt() <= end) {
      const event = this.#queue.pop() as _Event;
      this.now = event.at;
      if ("action" in event) event.action();
      else if ("release" in event) this.#release(event.release);
      else this.#route(event.request);
    }
  }

  /** Returns the total load of the pool and its engine count, at least 1. */
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

  #route(request: WorkloadRequest): void {
    const { total, count } = this.#poolLoad();
    for (const engine of this.#strategy.candidates(request, this)) {
      this.#attempts += this.now >= WARM_UP_MILLISECONDS ? 1 : 0;
      if (!engine.isServing) continue;
      const uncached = request.promptTokens - engine.reusableTokens(request);
      const weight = uncached + request.outputTokens;
      const mean = (total + weight) / count;
      const load = engine.loadTokens;
      if (!isUnderLoadBound(load, weight, mean, LOAD_BOUND_RATIO)) continue;
      const permitted = Math.max(LOAD_BOUND_RATIO * mean, mean + weight);
      this.#worstBoundUse = Math.max(
        this.#worstBoundUse,
        (load + weight) / permitted,
      );
      this.#serve(request, engine, weight);
      return;
    }
    this.#queue.push({ at: this.now + RETRY_MILLISECONDS, request });
  }

  #serve(
    request: WorkloadRequest,
    engine: SimulatedEngine,
    weight: number,
  ): void {
    const reused = engine.reusableTokens(request);
    const waited = this.now - request.atMilliseconds;
    const firstToken = engine.prefill(request, this.now);
    if (request.atMilliseconds >= WARM_UP_MILLISECONDS) {
      this.#firstTokenTimes.push(waited + firstToken);
      this.#promptTokens += request.promptTokens;
      this.#reusedTokens += reused;
    }
    engine.loadTokens += weight;
    this.#workspaceTokens[request.workspace] =
      (this.#workspaceTokens[request.workspace] ?? 0) + weight;
    const at = this.now + firstToken + request.streamMilliseconds;
    const { workspace } = request;
    const release = { at, engine, run: engine.run, tokens: weight, workspace };
    this.#queue.push({ at, release });
    this.#strategy.onServed(request, engine, this);
  }

  #release({ engine, run, tokens, workspace }: _Release): void {
    if (engine.run === run) engine.loadTokens -= tokens;
    this.#workspaceTokens[workspace] = (this.#workspaceTokens[workspace] ?? 0) -
      tokens;
  }

  #applyChange(change: EngineChange): void {
    const engine = this.engines[change.slot] as SimulatedEngine;
    if (change.kind === "flap_down") {
      engine.isUp = false;
      engine.restart();
    } else if (change.kind === "flap_up") engine.isUp = true;
    else {
      engine.isLeaving = true;
      if (change.kind === "crash") engine.restart();
      this.engines[change.slot] = this.#createEngine(
        this.#createdEngines++,
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

  /** Publishes the summary of the previous period and samples the skew. */
  #summarizeLoads(): void {
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
    this.#schedule(
      this.now + SUMMARY_PERIOD_MILLISECONDS,
      () => this.#summarizeLoads(),
    );
  }

  #publishEvents(): void {
    for (const engine of this.engines) {
      const events = engine.takeEvents();
      if (events.length === 0 || this.#random.next() < EVENT_BATCH_LOSS_RATIO) {
        continue;
      }
      const delay = this.#random.next() * MAXIMUM_EVENT_DELAY_MILLISECONDS;
      const run = engine.run;
      this.#schedule(this.now + delay, () => {
        this.#strategy.onCacheEvents(engine, run, events, this);
      });
    }
    const next = this.now + EVENT_BATCH_PERIOD_MILLISECONDS;
    this.#schedule(next, () => this.#publishEvents());
  }
}

/** Simulates a workload under a strategy and returns its metrics. */
export function simulateAffinity(
  workload: Workload,
  strategy: AffinityStrategy,
  random: RandomSource,
): AffinityResult {
  return new _Simulation(workload, strategy, random).run();
}
