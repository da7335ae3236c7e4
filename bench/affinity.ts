/**
 * Measures prefix cache reuse while engines fail and are replaced: the share of
 * prompt tokens served from cache under this project's routing, naive routing
 * and an oracle, with the same load bound and the same failures.
 */
import { createSeededRandom } from "../src/core/random.ts";
import { ExportingOracle, SapphirecartStrategy } from "./affinity_design.ts";
import {
  type AffinityResult,
  type AffinityStrategy,
  simulateAffinity,
} from "./affinity_simulation.ts";
import {
  createWorkload,
  type Workload,
  type WorkloadOptions,
} from "./affinity_workload.ts";
import type {
  BenchBound,
  BenchOptions,
  BenchReport,
  BenchRow,
} from "./bench_report.ts";
import {
  ConsistentHashing,
  LeastLoaded,
  Oracle,
  RoundRobin,
} from "./naive_affinity.ts";

const MINUTE_MILLISECONDS = 60_000;
/** Target: cache reuse relative to that of the oracle. */
const MINIMUM_REUSE_RATIO = 0.9;

const SIZES: readonly WorkloadOptions[] = [
  _size(6, 10, 40 * MINUTE_MILLISECONDS),
  _size(13, 10, 40 * MINUTE_MILLISECONDS),
  _size(100, 40, 14 * MINUTE_MILLISECONDS),
];
const LARGE_SIZES: readonly WorkloadOptions[] = [
  _size(880, 350, 8 * MINUTE_MILLISECONDS),
];

function _size(
  engines: number,
  workspaces: number,
  durationMilliseconds: number,
): WorkloadOptions {
  const historyMilliseconds = 4 * 60 * MINUTE_MILLISECONDS;
  return { engines, workspaces, durationMilliseconds, historyMilliseconds };
}

function _createStrategies(workload: Workload, seed: number) {
  return [
    new RoundRobin(),
    new LeastLoaded(),
    new ConsistentHashing(),
    new Oracle(),
    new ExportingOracle(workload),
    new SapphirecartStrategy(workload, createSeededRandom(seed), false),
    new SapphirecartStrategy(workload, createSeededRandom(seed), true),
  ] satisfies AffinityStrategy[];
}

function _round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

function _toRow(
  engines: number,
  strategy: AffinityStrategy & { exportedBytes?: number; drains?: number },
  result: AffinityResult,
): BenchRow {
  return {
    engines,
    strategy: strategy.name,
    requests: result.requests,
    reuse: _round(result.reuse, 4),
    first_token_p50_ms: _round(result.firstTokenP50, 0),
    first_token_p95_ms: _round(result.firstTokenP95, 0),
    skew: _round(result.skew, 3),
    bound_use: _round(result.worstBoundUse, 4),
    attempts: _round(result.attemptsPerRequest, 2),
    exported_megabytes: _round((strategy.exportedBytes ?? 0) / 1e6, 0),
    drains: strategy.drains ?? 0,
  };
}

/** Runs every strategy on the same workload, for each fleet size. */
export async function runBench(options: BenchOptions): Promise<BenchReport> {
  const rows: BenchRow[] = [];
  const bounds: BenchBound[] = [];
  const sizes = options.large ? [...SIZES, ...LARGE_SIZES] : SIZES;
  for (const size of sizes) {
    const workload = createWorkload(createSeededRandom(options.seed), size);
    const reuse = new Map<string, number>();
    let worstBoundUse = 0;
    for (const strategy of _createStrategies(workload, options.seed)) {
      const random = createSeededRandom(options.seed);
      const result = simulateAffinity(workload, strategy, random);
      rows.push(_toRow(size.engines, strategy, result));
      reuse.set(strategy.name, result.reuse);
      worstBoundUse = Math.max(worstBoundUse, result.worstBoundUse);
    }
    for (const suffix of ["", ", KV export"]) {
      const own = reuse.get(`sapphirecart${suffix}`) ?? NaN;
      const best = reuse.get(`oracle${suffix}`) ?? NaN;
      bounds.push({
        name: `share of the oracle's reuse, ${size.engines} engines${suffix}`,
        value: _round(own / best, 4),
        comparison: "at_least",
        limit: MINIMUM_REUSE_RATIO,
      });
    }
    bounds.push({
      name: `load after a grant / permitted load, ${size.engines} engines`,
      value: worstBoundUse,
      comparison: "at_most",
      limit: 1,
    });
  }
  return { name: "affinity", rows, bounds };
}
