/**
 * Control benchmark: measures the cost of membership per router by fleet size,
 * when idle and under the churn of an ordinary day. The in-memory network
 * encodes every frame; processor time includes the simulated network and the
 * codec but no socket calls.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  createMembershipFleet,
  type MembershipFleet,
  type SimulatedRouter,
} from "../stand_ins/membership_fleet.ts";
import type { IncarnationId } from "../src/core/ids.ts";
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";
import type {
  BenchBound,
  BenchOptions,
  BenchReport,
  BenchRow,
} from "./bench_report.ts";

const SIZES = [13, 50, 100, 200, 410];
const LARGE_SIZES = [820, 1_640];
const TARGET_SIZE = 410;
const FAILURES_PER_DAY = 13;
const RESTARTS_PER_DAY = 110;
/** Fraction of a day's events in the default run, scaled up to a day. */
const DEFAULT_DAY_RATIO = 1 / 3;
const DAY_SECONDS = 86_400;
const MAXIMUM_BYTES_PER_SECOND = 24 * 1_024;
const MAXIMUM_CORE_PERCENT = 2.1;
const MAXIMUM_REMOVAL_MILLISECONDS = 5_000;
const TCP_OVERHEAD_BYTES = 60;
/** Each byte counts at its sender and at its receiver. */
const ENDPOINTS_PER_MESSAGE = 2;
const MAXIMUM_DATA_CENTRES = 7;
const ROUTERS_PER_DATA_CENTRE = 4;

const JOIN_LIMIT_MILLISECONDS = 60_000;
const SETTLE_MILLISECONDS = 5_000;
const IDLE_MILLISECONDS = 5_000;
const BURST_MILLISECONDS = 5_000;
const EVENT_PERIOD_MILLISECONDS = 500;
const POLL_MILLISECONDS = 50;
const REPLACEMENT_DELAY_MILLISECONDS = 6_000;
const RESTART_DELAY_MILLISECONDS = 400;

/** Traffic and processor time over a span of simulated time. */
interface Usage {
  readonly bytes: number;
  readonly messages: number;
  readonly cpuMilliseconds: number;
  readonly seconds: number;
}

interface Sample {
  readonly size: number;
  readonly idle: Usage;
  readonly churn: Usage;
  readonly events: number;
  readonly burstBytes: number;
  readonly peakBytesPerSecond: number;
  readonly removals: readonly number[];
  readonly pendingRemovals: number;
  readonly converged: boolean;
  readonly stateBytes: number;
}

const _collectGarbage = (() => {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as () => void;
})();

function heapBytes(): number {
  _collectGarbage();
  return process.memoryUsage().heapUsed;
}

function totalBytes(fleet: MembershipFleet): number {
  const { bytes, messages } = fleet.traffic;
  return bytes + messages * TCP_OVERHEAD_BYTES;
}

function measure(fleet: MembershipFleet, work: () => void): Usage {
  const [bytes, messages, start] = [
    totalBytes(fleet),
    fleet.traffic.messages,
    fleet.now,
  ];
  const cpu = process.cpuUsage();
  work();
  const { user, system } = process.cpuUsage(cpu);
  return {
    bytes: totalBytes(fleet) - bytes,
    messages: fleet.traffic.messages - messages,
    cpuMilliseconds: (user + system) / 1_000,
    seconds: (fleet.now - start) / 1_000,
  };
}

interface PendingRemoval {
  readonly incarnation: IncarnationId;
  readonly killedAt: number;
}

/** Applies failures and restarts in random order at a fixed rate. */
class Churn {
  readonly removals: number[] = [];
  readonly pending = new Set<PendingRemoval>();
  readonly #fleet: MembershipFleet;
  readonly #random: RandomSource;
  readonly #starts: { at: number; router: SimulatedRouter }[] = [];

  constructor(fleet: MembershipFleet, random: RandomSource) {
    this.#fleet = fleet;
    this.#random = random;
  }

  run(failures: number, restarts: number): number {
    const kinds = this.#random.shuffle([
      ...new Array<string>(failures).fill("failure"),
      ...new Array<string>(restarts).fill("restart"),
    ]);
    let peak = 0;
    for (const kind of kinds) {
      const before = totalBytes(this.#fleet);
      this.#apply(kind);
      this.#advance(EVENT_PERIOD_MILLISECONDS);
      peak = Math.max(peak, totalBytes(this.#fleet) - before);
    }
    this.#advance(REPLACEMENT_DELAY_MILLISECONDS + SETTLE_MILLISECONDS);
    return peak;
  }

  /** Kills a router and schedules its replacement. */
  fail(): void {
    const router = this.#pickRunning();
    const { incarnation } = router;
    this.#fleet.kill(router);
    this.pending.add({ incarnation, killedAt: this.#fleet.now });
    const at = this.#fleet.now + REPLACEMENT_DELAY_MILLISECONDS;
    this.#starts.push({ at, router });
  }

  #apply(kind: string): void {
    if (kind === "failure") {
      this.fail();
      return;
    }
    const router = this.#pickRunning();
    this.#fleet.depart(router);
    const at = this.#fleet.now + RESTART_DELAY_MILLISECONDS;
    this.#starts.push({ at, router });
  }

  #pickRunning(): SimulatedRouter {
    const running = this.#fleet.running();
    return running[this.#random.integer(running.length)] as SimulatedRouter;
  }

  #advance(milliseconds: number): void {
    const end = this.#fleet.now + milliseconds;
    while (this.#fleet.now < end) {
      this.#fleet.advance(POLL_MILLISECONDS);
      this.#startDue();
      this.checkRemovals();
    }
  }

  #startDue(): void {
    for (const start of this.#starts.splice(0)) {
      if (start.at > this.#fleet.now) this.#starts.push(start);
      else this.#fleet.restart(start.router);
    }
  }

  checkRemovals(): void {
    for (const removal of this.pending) {
      if (this.#fleet.viewsWith(removal.incarnation) > 0) continue;
      this.pending.delete(removal);
      this.removals.push(this.#fleet.now - removal.killedAt);
    }
  }
}

/** Bytes that one failure and its replacement add to the idle traffic. */
function measureBurst(fleet: MembershipFleet, idle: Usage): number {
  const router = fleet.running()[Math.floor(fleet.running().length / 2)];
  const burst = measure(fleet, () => {
    if (router) fleet.kill(router);
    fleet.advance(BURST_MILLISECONDS);
    if (router) fleet.restart(router);
    fleet.advance(BURST_MILLISECONDS);
  });
  return burst.bytes - (idle.bytes / idle.seconds) * burst.seconds;
}

function measureSize(size: number, seed: number, dayRatio: number): Sample {
  const dataCentres = Math.min(
    MAXIMUM_DATA_CENTRES,
    Math.ceil(size / ROUTERS_PER_DATA_CENTRE),
  );
  const heapBefore = heapBytes();
  const fleet = createMembershipFleet({
    size,
    dataCentres,
    seed,
    loss: 0,
    encode: true,
  });
  fleet.advanceUntil(() => fleet.isConverged(), JOIN_LIMIT_MILLISECONDS);
  fleet.advance(SETTLE_MILLISECONDS);
  const stateBytes = heapBytes() - heapBefore;
  const idle = measure(fleet, () => fleet.advance(IDLE_MILLISECONDS));
  const burstBytes = measureBurst(fleet, idle);
  const share = dayRatio * size / TARGET_SIZE;
  const failures = Math.max(1, Math.round(FAILURES_PER_DAY * share));
  const restarts = Math.max(1, Math.round(RESTARTS_PER_DAY * share));
  const churn = new Churn(fleet, createSeededRandom(seed));
  let peak = 0;
  const spent = measure(fleet, () => {
    peak = churn.run(failures, restarts);
  });
  return {
    size,
    idle,
    churn: spent,
    events: failures + restarts,
    burstBytes,
    peakBytesPerSecond: peak / (EVENT_PERIOD_MILLISECONDS / 1_000),
    removals: churn.removals,
    pendingRemovals: churn.pending.size,
    converged: fleet.isConverged(),
    stateBytes,
  };
}

/** Bytes per second of one router: idle traffic plus a full day's events. */
function dayRate(sample: Sample): number {
  const { size, idle, churn, events } = sample;
  const idleRate = idle.bytes / idle.seconds;
  const eventBytes = (churn.bytes - idleRate * churn.seconds) / events;
  const eventsPerDay = (FAILURES_PER_DAY + RESTARTS_PER_DAY) * size /
    TARGET_SIZE;
  const total = idleRate + eventBytes * eventsPerDay / DAY_SECONDS;
  return ENDPOINTS_PER_MESSAGE * total / size;
}

function corePercent(spent: Usage, size: number): number {
  return spent.cpuMilliseconds / (10 * size * spent.seconds);
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

function maximumRemoval(sample: Sample): number {
  return sample.pendingRemovals > 0
    ? Number.POSITIVE_INFINITY
    : Math.max(...sample.removals);
}

function toRow(sample: Sample): BenchRow {
  const { size, idle, churn } = sample;
  return {
    members: size,
    idleBytesPerSecond: round(
      ENDPOINTS_PER_MESSAGE * idle.bytes / idle.seconds / size,
      0,
    ),
    idleMessagesPerSecond: round(idle.messages / idle.seconds / size, 1),
    dayBytesPerSecond: round(dayRate(sample), 0),
    eventBytesPerRouter: round(
      ENDPOINTS_PER_MESSAGE * sample.burstBytes / size,
      0,
    ),
    compressedPeakBytesPerSecond: round(
      ENDPOINTS_PER_MESSAGE * sample.peakBytesPerSecond / size,
      0,
    ),
    idleCorePercent: round(corePercent(idle, size), 4),
    compressedChurnCorePercent: round(corePercent(churn, size), 4),
    stateBytesPerMember: round(sample.stateBytes / size ** 2, 0),
    removalMaximumMilliseconds: maximumRemoval(sample),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Least-squares slope of a column over the number of members. */
function slope(rows: readonly BenchRow[], column: string): number {
  const points = rows.map((row) => [Number(row.members), Number(row[column])]);
  const meanX = mean(points.map(([x = 0]) => x));
  const meanY = mean(points.map(([, y = 0]) => y));
  let [covariance, variance] = [0, 0];
  for (const [x = 0, y = 0] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  return covariance / variance;
}

function slopeRow(rows: readonly BenchRow[]): BenchRow {
  const columns = Object.keys(rows[0] ?? {}).filter((name) =>
    name !== "members"
  );
  const row: Record<string, string | number> = { members: "slope per member" };
  for (const name of columns) row[name] = round(slope(rows, name), 5);
  return row;
}

function boundsOf(samples: readonly Sample[]): BenchBound[] {
  const target = samples.find((sample) => sample.size === TARGET_SIZE);
  if (!target) return [];
  const core = Math.max(
    corePercent(target.idle, TARGET_SIZE),
    corePercent(target.churn, TARGET_SIZE),
  );
  return [
    {
      name: "bytes a second of a router at 410 members, sent and received",
      value: round(dayRate(target), 0),
      comparison: "at_most",
      limit: MAXIMUM_BYTES_PER_SECOND,
    },
    {
      name: "percent of a core of a router at 410 members",
      value: round(core, 4),
      comparison: "at_most",
      limit: MAXIMUM_CORE_PERCENT,
      isTimed: true,
    },
    {
      name: "milliseconds until a killed member is out of all views, all sizes",
      value: Math.max(...samples.map(maximumRemoval)),
      comparison: "at_most",
      limit: MAXIMUM_REMOVAL_MILLISECONDS,
    },
    {
      name: "sizes whose views agree after the churn",
      value: samples.filter((sample) => sample.converged).length,
      comparison: "at_least",
      limit: samples.length,
    },
  ];
}

/** Runs the benchmark. */
export async function runBench(options: BenchOptions): Promise<BenchReport> {
  const sizes = options.large ? [...SIZES, ...LARGE_SIZES] : SIZES;
  const dayRatio = options.large ? 1 : DEFAULT_DAY_RATIO;
  const samples = sizes.map((size) =>
    measureSize(size, options.seed, dayRatio)
  );
  const rows = samples.map(toRow);
  return {
    name: "control",
    rows: [...rows, slopeRow(rows)],
    bounds: boundsOf(samples),
  };
}
