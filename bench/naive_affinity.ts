/** Baselines of the affinity bench, from stateless routing to an oracle. */
import { createFlapDamping } from "../src/core/flap_damping.ts";
import { hash32 } from "../src/core/hash32.ts";
import { chatName, type SimulatedEngine } from "./affinity_engine.ts";
import { AffinityStrategy, type AffinityWorld } from "./affinity_simulation.ts";
import type { EngineChange, WorkloadRequest } from "./affinity_workload.ts";

const VIRTUAL_NODES_PER_ENGINE = 64;

/** Tries the engines in slot order, starting after the last engine tried. */
export class RoundRobin extends AffinityStrategy {
  override readonly name = "round robin";
  #next = 0;

  override *candidates(
    _request: WorkloadRequest,
    { engines }: AffinityWorld,
  ): Iterable<SimulatedEngine> {
    for (let step = 0; step < engines.length; step++) {
      yield engines[this.#next++ % engines.length] as SimulatedEngine;
    }
  }
}

/** Tries the engines by lagged load, lowest first. */
export class LeastLoaded extends AffinityStrategy {
  override readonly name = "least loaded";

  override candidates(
    _request: WorkloadRequest,
    world: AffinityWorld,
  ): Iterable<SimulatedEngine> {
    return world.engines
      .map((engine) => ({ engine, tokens: world.laggedTokens(engine) }))
      .sort((left, right) => left.tokens - right.tokens)
      .map((entry) => entry.engine);
  }
}

/** Tries the engines in hash ring order, starting at the chat's hash. */
export class ConsistentHashing extends AffinityStrategy {
  override readonly name = "consistent hashing";
  #ring: { readonly point: number; readonly engine: SimulatedEngine }[] = [];

  override onChange(_change: unknown, world: AffinityWorld): void {
    this.#buildRing(world);
  }

  override *candidates(
    request: WorkloadRequest,
    world: AffinityWorld,
  ): Iterable<SimulatedEngine> {
    if (this.#ring.length === 0) this.#buildRing(world);
    const ring = this.#ring;
    const start = this.#indexOf(hash32(chatName(request.chat)));
    const yielded = new Set<SimulatedEngine>();
    for (let step = 0; step < ring.length; step++) {
      const engine = ring[(start + step) % ring.length]?.engine;
      if (!engine || yielded.has(engine)) continue;
      yielded.add(engine);
      yield engine;
    }
  }

  #indexOf(point: number): number {
    let [low, high] = [0, this.#ring.length];
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#ring[middle]?.point ?? 0) < point) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  #buildRing({ engines }: AffinityWorld): void {
    this.#ring = engines.flatMap((engine) =>
      Array.from({ length: VIRTUAL_NODES_PER_ENGINE }, (_unused, index) => ({
        point: hash32(`${engine.id}/${index}`),
        engine,
      }))
    ).sort((left, right) => left.point - right.point);
  }
}

/**
 * Tries engines by most reusable tokens, then least load, with exact data on
 * every cache and load. Also excludes flapping engines, whose cached chats are
 * lost when they go down.
 */
export class Oracle extends AffinityStrategy {
  override readonly name: string = "oracle";
  readonly #damping = createFlapDamping();

  override onChange(change: EngineChange, world: AffinityWorld): void {
    const id = world.engines[change.slot]?.id;
    if (id === undefined) return;
    if (change.kind === "flap_down") this.#damping.recordDown(id, world.now);
    if (change.kind === "flap_up") this.#damping.recordUp(id, world.now);
  }

  override isExcluded(engine: SimulatedEngine, world: AffinityWorld): boolean {
    return this.#damping.isSuppressed(engine.id, world.now);
  }

  override candidates(
    request: WorkloadRequest,
    world: AffinityWorld,
  ): Iterable<SimulatedEngine> {
    return world.engines
      .filter((engine) => !this.isExcluded(engine, world))
      .map((engine) => ({ engine, reusable: engine.reusableTokens(request) }))
      .sort((left, right) =>
        right.reusable - left.reusable ||
        left.engine.loadTokens - right.engine.loadTokens
      )
      .map((entry) => entry.engine);
  }
}
