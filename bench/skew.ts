/**
 * Measures load skew: runs the server owners and four naive policies on the
 * same seeded trace and compares the load of every engine with the load bound.
 */
import {
  type BenchBound,
  type BenchOptions,
  type BenchReport,
  type BenchRow,
} from "./bench_report.ts";
import {
  createNaiveRouting,
  NAIVE_POLICIES,
  type NaivePolicy,
} from "./naive_routing.ts";
import { createEngines, type SkewMeasure } from "./skew_engines.ts";
import { createFleet, type RequestOutcomes } from "./skew_fleet.ts";
import { createViews } from "./skew_views.ts";
import {
  createTrace,
  type SimulatedRequest,
  type SkewSize,
  STEP_MILLISECONDS,
} from "./skew_workload.ts";

/** Target for the 95th percentile of the time to the first token. */
const FIRST_TOKEN_P95_MILLISECONDS = 1_400;

function _size(
  engines: number,
  routers: number,
  dataCentres: number,
  workspaces: number,
  options: { readonly seconds?: number; readonly mixedCapacity?: boolean } = {},
): SkewSize {
  const { seconds = 90, mixedCapacity = false } = options;
  return { engines, routers, dataCentres, workspaces, seconds, mixedCapacity };
}

const DEFAULT_SIZES: readonly SkewSize[] = [
  _size(6, 13, 4, 10),
  _size(13, 13, 3, 10),
  _size(13, 410, 7, 10),
  _size(100, 13, 4, 300),
  _size(100, 410, 7, 300),
  _size(100, 410, 7, 300, { mixedCapacity: true }),
  _size(880, 410, 7, 2_000, { seconds: 60 }),
];
const LARGE_SIZES: readonly SkewSize[] = [
  _size(880, 13, 4, 2_000, { seconds: 300 }),
  _size(880, 410, 7, 2_000, { seconds: 300 }),
];

function _labelOf(size: SkewSize): string {
  const capacity = size.mixedCapacity ? ", mixed capacity" : "";
  return `${size.engines} engines, ${size.routers} routers${capacity}`;
}

function _runSteps(
  size: SkewSize,
  trace: readonly SimulatedRequest[],
  step: (now: number, arrivals: readonly SimulatedRequest[]) => void,
): void {
  let next = 0;
  for (let now = 0; now < size.seconds * 1_000; now += STEP_MILLISECONDS) {
    const first = next;
    while ((trace[next]?.arrivesAt ?? Infinity) <= now) next++;
    step(now, trace.slice(first, next));
  }
}

function _measureRow(
  size: SkewSize,
  version: string,
  measure: SkewMeasure,
): BenchRow {
  return {
    size: _labelOf(size),
    version,
    "max/mean": Number(measure.maximumOverMean.toFixed(3)),
    "worst/allowed": Number(measure.worstOverAllowed.toFixed(3)),
    "above allowed": measure.samplesAboveAllowed,
    "carried/allowed": Number(measure.worstCarriedOverAllowed.toFixed(3)),
  };
}

/** Returns the p95 wait; a refused request counts as an infinite wait. */
function _waitP95(outcomes: RequestOutcomes): number {
  const waits = [
    ...outcomes.waits,
    ...Array<number>(outcomes.refused).fill(Infinity),
  ].sort((left, right) => left - right);
  return waits[Math.floor(waits.length * 0.95)] ?? Infinity;
}

function _percent(part: number, whole: number): string {
  return `${(100 * part / Math.max(1, whole)).toFixed(2)}%`;
}

/** Runs a trace on a fleet whose server owners enforce the load bound. */
export function runServerOwners(
  size: SkewSize,
  trace: readonly SimulatedRequest[],
  seed: number,
): { measure: SkewMeasure; outcomes: RequestOutcomes } {
  const engines = createEngines(size);
  const fleet = createFleet(size, seed, engines, createViews(size, seed));
  _runSteps(size, trace, (now, arrivals) => fleet.step(now, arrivals));
  return { measure: engines.measure(), outcomes: fleet.outcomes() };
}

/** Runs a trace with a naive routing policy. */
export function runNaivePolicy(
  policy: NaivePolicy,
  size: SkewSize,
  trace: readonly SimulatedRequest[],
  seed: number,
): SkewMeasure {
  const engines = createEngines(size);
  const routing = createNaiveRouting(policy, size, seed, engines);
  _runSteps(size, trace, (now, arrivals) => {
    engines.advance(now);
    routing.advance(now);
    for (const request of arrivals) {
      engines.begin(request, routing.choose(request), now);
    }
  });
  return engines.measure();
}

function _measureServerOwners(
  size: SkewSize,
  trace: readonly SimulatedRequest[],
  seed: number,
): { row: BenchRow; bounds: BenchBound[] } {
  const { measure, outcomes } = runServerOwners(size, trace, seed);
  const waitP95 = _waitP95(outcomes);
  const waited = outcomes.waits.filter((wait) => wait > 0).length;
  const label = _labelOf(size);
  return {
    row: {
      ..._measureRow(size, "stewards", measure),
      "worst at": `${measure.worstAt} ms, engine ${measure.worstEngine}`,
      requests: trace.length,
      refused: _percent(outcomes.refused, trace.length),
      waited: _percent(waited, trace.length),
      "wait p95 ms": waitP95,
      broken: _percent(outcomes.broken, trace.length),
      "asks per request": Number((outcomes.attempts / trace.length).toFixed(2)),
    },
    bounds: [{
      name: `worst load over allowed load, ${label}`,
      value: measure.worstOverAllowed,
      comparison: "at_most",
      limit: 1,
    }, {
      name: `wait for a slot of 95 in 100 requests in ms, ${label}`,
      value: waitP95,
      comparison: "at_most",
      limit: FIRST_TOKEN_P95_MILLISECONDS,
    }],
  };
}

function _runNaive(
  size: SkewSize,
  trace: readonly SimulatedRequest[],
  seed: number,
): BenchRow[] {
  return NAIVE_POLICIES.map((policy) =>
    _measureRow(size, policy, runNaivePolicy(policy, size, trace, seed))
  );
}

/** Runs the trace of each size with the owners and the naive policies. */
export async function runBench(options: BenchOptions): Promise<BenchReport> {
  const rows: BenchRow[] = [];
  const bounds: BenchBound[] = [];
  for (const size of options.large ? LARGE_SIZES : DEFAULT_SIZES) {
    const trace = createTrace(size, options.seed);
    const startedAt = performance.now();
    const result = _measureServerOwners(size, trace, options.seed);
    const seconds = (performance.now() - startedAt) / 1_000;
    rows.push({ ...result.row, "run s": Number(seconds.toFixed(1)) });
    bounds.push(...result.bounds);
    if (!size.mixedCapacity) rows.push(..._runNaive(size, trace, options.seed));
  }
  return { name: "skew", rows, bounds };
}
