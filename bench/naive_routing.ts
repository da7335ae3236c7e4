/**
 * Naive routing policies, which choose an engine without asking its owner:
 * baselines for the load bound.
 */
import { createSeededRandom } from "../src/core/random.ts";
import { hash32 } from "../src/core/hash32.ts";
import type { SimulatedEngines } from "./skew_engines.ts";
import {
  type SimulatedRequest,
  type SkewSize,
  STEP_MILLISECONDS,
} from "./skew_workload.ts";

/** Names of the naive routing policies. */
export const NAIVE_POLICIES = [
  "round robin",
  "least loaded, lagged",
  "two choices, lagged",
  "consistent hashing",
] as const;
/** The name of a naive routing policy. */
export type NaivePolicy = typeof NAIVE_POLICIES[number];

const REPORT_PERIOD_MILLISECONDS = 1_000;
const VIRTUAL_NODES_PER_ENGINE = 100;

/** Chooses the engine of a request. */
export interface NaiveRouting {
  choose(request: SimulatedRequest): number;
  /** Delivers the load reports that are due. */
  advance(now: number): void;
}

function _roundRobin(size: SkewSize, seed: number): NaiveRouting {
  const random = createSeededRandom(seed);
  const next = Array.from(
    { length: size.routers },
    () => random.integer(size.engines),
  );
  return {
    choose: ({ router }) => {
      const engine = next[router] ?? 0;
      next[router] = (engine + 1) % size.engines;
      return engine;
    },
    advance: () => {},
  };
}

/** Picks by loads that each router receives once a second, staggered. */
function _withLaggedLoads(
  size: SkewSize,
  seed: number,
  engines: SimulatedEngines,
  pick: (loads: Float64Array, integer: (limit: number) => number) => number,
): NaiveRouting {
  const random = createSeededRandom(seed);
  const reported = Array.from(
    { length: size.routers },
    () => new Float64Array(size.engines),
  );
  function advance(now: number): void {
    for (const [router, loads] of reported.entries()) {
      const phase = router * STEP_MILLISECONDS % REPORT_PERIOD_MILLISECONDS;
      if (now % REPORT_PERIOD_MILLISECONDS !== phase) continue;
      for (const engine of loads.keys()) loads[engine] = engines.loadOf(engine);
    }
  }
  function integer(limit: number): number {
    return random.integer(limit);
  }
  return {
    choose: ({ router }) => pick(reported[router] as Float64Array, integer),
    advance,
  };
}

function _leastLoaded(loads: Float64Array): number {
  let least = 0;
  for (const [engine, load] of loads.entries()) {
    if (load < (loads[least] ?? 0)) least = engine;
  }
  return least;
}

function _twoChoices(
  loads: Float64Array,
  integer: (limit: number) => number,
): number {
  const first = integer(loads.length);
  const second = integer(loads.length);
  return (loads[first] ?? 0) <= (loads[second] ?? 0) ? first : second;
}

function _consistentHashing(size: SkewSize): NaiveRouting {
  const ring: { readonly point: number; readonly engine: number }[] = [];
  for (let engine = 0; engine < size.engines; engine++) {
    for (let index = 0; index < VIRTUAL_NODES_PER_ENGINE; index++) {
      ring.push({ point: hash32(`engine-${engine}/${index}`), engine });
    }
  }
  ring.sort((left, right) => left.point - right.point);
  function choose({ chat }: SimulatedRequest): number {
    const point = hash32(chat);
    let low = 0;
    let high = ring.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((ring[middle]?.point ?? 0) < point) low = middle + 1;
      else high = middle;
    }
    return ring[low % ring.length]?.engine ?? 0;
  }
  return { choose, advance: () => {} };
}

/** Creates the routing that follows a naive policy. */
export function createNaiveRouting(
  policy: NaivePolicy,
  size: SkewSize,
  seed: number,
  engines: SimulatedEngines,
): NaiveRouting {
  switch (policy) {
    case "round robin":
      return _roundRobin(size, seed);
    case "least loaded, lagged":
      return _withLaggedLoads(size, seed, engines, _leastLoaded);
    case "two choices, lagged":
      return _withLaggedLoads(size, seed, engines, _twoChoices);
    case "consistent hashing":
      return _consistentHashing(size);
  }
}
