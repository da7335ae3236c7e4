/** Baselines of the affinity bench, from no knowledge to full knowledge. */
import { createFlapDamping } from "../src/core/flap_damping.ts";
import { hash32 } from "../src/core/rendezvous.ts";
import { chatName, type SimulatedEngine } from "./affinity_engine.ts";
import { AffinityStrategy, type AffinityWorld } from "./affinity_simulation.ts";
import type { EngineChange, WorkloadRequest } from "./affinity_workload.ts";

const POINTS_PER_ENGINE = 64;

/** Asks the engines in turn. */
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

/** Asks the engines by their lagged load, lowest first. */
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

/** Asks the engines in the order of a hash ring, from the chat's point on. */
export class ConsistentHashing extends AffinityStrategy {
  override readonly name = "consistent hashing";
  #ring: { readonly point: number; readonly engine: SimulatedEngine }[] = [];

  override onChange(_change: unknown, world: AffinityWorld): void {
    this.#build(world);
  }

  override *candidates(
    request: WorkloadRequest,
    world: AffinityWorld,
  ): Iterable<SimulatedEngine> {
    if (this.#ring.length === 0) this.#build(world);
    const ring = this.#ring;
    const start = this.#positionOf(hash32(chatName(request.chat)));
    const asked = new Set<SimulatedEngine>();
    for (let step = 0; step < ring.length; step++) {
      const engine = ring[(start + step) % ring.length]?.engine;
      if (!engine || asked.has(engine)) continue;
      asked.add(engine);
      yield engine;
    }
  }

  #positionOf(point: number): number {
    let [low, high] = [0, this.#ring.length];
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#ring[middle]?.point ?? 0) < point) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  #build({ engines }: AffinityWorld): void {
    this.#ring = engines.flatMap((engine) =>
      Array.from({ length: POINTS_PER_ENGINE }, (_unused, index) => ({
        point: hash32(`${engine.id}/${index}`),
        engine,
      }))
    ).sort((left, right) => left.point - right.point);
  }
}

/**
 * Knows every cache and every load: most reusable tokens, then least load. It
 * holds flapping engines out as well, since they would lose its chats' caches.
 */
export class Oracle extends AffinityStrategy {
  override readonly name: string = "oracle";
  readonly #damping = createFlapDamping();

  override onChange(change: EngineChange, world: AffinityWorld): void {
    const id = world.engines[change.slot]?.id;
    if (id === undefined) return;
    if (change.kind === "flap_down") this.#damping.serverDown(id, world.now);
    if (change.kind === "flap_up") this.#damping.serverUp(id, world.now);
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
