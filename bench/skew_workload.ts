/**
 * The request trace of the skew bench: a few large workspaces and many small
 * ones, a workspace that surges to 20 times its rate, and request sizes with a
 * log-normal distribution.
 */
import type { Priority } from "../src/core/fleet_schema.ts";
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";

/** Duration of a simulation step. */
export const STEP_MILLISECONDS = 10;
/** Capacity of the smallest engines. */
export const BASE_CAPACITY_TOKENS = 200_000;

const SURGE_FACTOR = 20;
const SURGE_TRAFFIC_RATIO = 0.05;
const REQUESTS_PER_SECOND_PER_ENGINE = 1.4;
const PREFILL_TOKENS_PER_SECOND = 8_000;
const MILLISECONDS_PER_TOKEN = 60;
const CHATS_PER_WORKSPACE = 400;
const ENTRY_ROUTERS_PER_WORKSPACE = 3;
const LOW_PRIORITY_RATIO = 0.1;
const HIGH_PRIORITY_RATIO = 0.1;

/** Size of a simulated fleet and duration of its run. */
export interface SkewSize {
  readonly engines: number;
  readonly routers: number;
  readonly dataCentres: number;
  readonly workspaces: number;
  readonly seconds: number;
  /** Whether engines have three different capacities. */
  readonly mixedCapacity: boolean;
}

/** One request of the trace. */
export interface SimulatedRequest {
  readonly id: number;
  readonly arrivesAt: number;
  readonly router: number;
  readonly workspace: string;
  readonly chat: string;
  readonly priority: Priority;
  /** Uncached prompt tokens plus the output token limit. */
  readonly weightTokens: number;
  readonly durationMilliseconds: number;
}

/** Returns the capacity of an engine in tokens. */
export function engineCapacity(size: SkewSize, engine: number): number {
  return BASE_CAPACITY_TOKENS * (size.mixedCapacity ? 2 ** (engine % 3) : 1);
}

function _logNormal(
  random: RandomSource,
  median: number,
  deviation: number,
  range: { readonly minimum: number; readonly maximum: number },
): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  const value = Math.round(median * Math.exp(deviation * normal));
  return Math.min(range.maximum, Math.max(range.minimum, value));
}

function _priority(random: RandomSource): Priority {
  const drawn = random.next();
  if (drawn < HIGH_PRIORITY_RATIO) return "high";
  return drawn < HIGH_PRIORITY_RATIO + LOW_PRIORITY_RATIO ? "low" : "normal";
}

/** Cumulative Zipf shares of the workspaces that do not surge. */
function _cumulativeShares(workspaces: number): number[] {
  const weights = Array.from(
    { length: workspaces },
    (_unused, index) => 1 / (index + 1),
  );
  const sum = weights.reduce((total, weight) => total + weight, 0);
  let total = 0;
  return weights.map((weight) => total += weight / sum);
}

function _pick(cumulative: readonly number[], drawn: number): number {
  let low = 0;
  let high = cumulative.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((cumulative[middle] ?? 1) < drawn) low = middle + 1;
    else high = middle;
  }
  return low;
}

function _createRequest(
  id: number,
  arrivesAt: number,
  workspace: number,
  size: SkewSize,
  random: RandomSource,
): SimulatedRequest {
  const prompt = _logNormal(random, 500, 1.2, { minimum: 20, maximum: 16_000 });
  const limit = _logNormal(random, 220, 0.7, { minimum: 16, maximum: 2_000 });
  const generated = limit * (0.4 + 0.6 * random.next());
  const entry = workspace * 7 + random.integer(ENTRY_ROUTERS_PER_WORKSPACE);
  return {
    id,
    arrivesAt,
    router: entry % size.routers,
    workspace: `workspace-${workspace}`,
    chat: `chat-${workspace}-${random.integer(CHATS_PER_WORKSPACE)}`,
    priority: _priority(random),
    weightTokens: prompt + limit,
    durationMilliseconds: 1_000 * prompt / PREFILL_TOKENS_PER_SECOND +
      MILLISECONDS_PER_TOKEN * generated,
  };
}

/**
 * Creates the trace. The surge covers the middle third of the run and roughly
 * doubles the traffic; it starts and ends abruptly, within one step.
 */
export function createTrace(size: SkewSize, seed: number): SimulatedRequest[] {
  const random = createSeededRandom(seed);
  const cumulative = _cumulativeShares(size.workspaces);
  const trace: SimulatedRequest[] = [];
  const capacity = Array.from(
    { length: size.engines },
    (_unused, engine) => engineCapacity(size, engine) / BASE_CAPACITY_TOKENS,
  ).reduce((sum, units) => sum + units, 0);
  const rate = capacity * REQUESTS_PER_SECOND_PER_ENGINE / 1_000;
  const baseRate = rate * (1 - SURGE_TRAFFIC_RATIO);
  const quietRate = rate * SURGE_TRAFFIC_RATIO;
  const end = size.seconds * 1_000;
  function gap(perMillisecond: number): number {
    return -Math.log(1 - random.next()) / perMillisecond;
  }
  let nextBase = gap(baseRate);
  let nextSurging = gap(quietRate);
  for (let now = 0; now < end; now += STEP_MILLISECONDS) {
    const isSurging = now >= end / 3 && now < 2 * end / 3;
    for (; nextBase < now; nextBase += gap(baseRate)) {
      const workspace = _pick(cumulative, random.next());
      trace.push(_createRequest(trace.length, now, workspace, size, random));
    }
    const surgingRate = quietRate * (isSurging ? SURGE_FACTOR : 1);
    for (; nextSurging < now; nextSurging += gap(surgingRate)) {
      trace.push(
        _createRequest(trace.length, now, size.workspaces, size, random),
      );
    }
  }
  return trace;
}
