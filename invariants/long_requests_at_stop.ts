/**
 * Checks planned stops beside requests that last as long as the grace. Each round
 * stops one router as deployed, or two in overlap, while callers go on with their
 * open connections. A request that a stopping router has read must be answered, or
 * rejected without having run.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { buildBundle } from "../platform/bundled_program.ts";
import {
  putConfiguration,
  putServer,
  StoreStandIn,
} from "../platform/soak_fleet.ts";
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";
import type {
  Invariant,
  InvariantOptions,
  InvariantOutcome,
} from "./invariant.ts";
import { STOP_KEY, type StopAttempt, StopCaller } from "./stop_callers.ts";
import {
  sendRequestFlood,
  startBusyProcesses,
  type StopLoad,
} from "./stop_load.ts";
import { reportRound, type StopReport, sumFigures } from "./stop_report.ts";
import { STOP_HOST_NAME, STOP_ROUTES } from "./stop_requests.ts";
import {
  createStopRouters,
  type RouterStop,
  type StopRouter,
  type Suspension,
} from "./stop_routers.ts";
import { type RecordedRun, StopServer } from "./stop_servers.ts";

const DEFAULT_ROUNDS = 8;
const DEFAULT_ROUTERS = 3;
const SERVERS = 3;
const SLOTS = 500;
const CALLERS_PER_ROUTER = 30;
/** All callers share one process, which must not become the slowest part. */
const MAXIMUM_CALLERS = 120;
/** One caller in so many reads its responses slowly. */
const SLOW_READER_PERIOD = 8;
/** One caller in so many opens a new connection for each request. */
const NEW_CONNECTION_PERIOD = 5;
const GRACE_SECONDS = 8;
const GRACE_MILLISECONDS = GRACE_SECONDS * 1_000;
const TIMEOUT_MILLISECONDS = 15_000;
/** Load between the start of a router and the next signal. */
const SHORTEST_LOAD_MILLISECONDS = 3_000;
const LOAD_RANGE_MILLISECONDS = 2_500;
/** Every so many rounds, two routers stop in overlap. */
const OVERLAP_PERIOD = 3;
const LONGEST_OVERLAP_DELAY_MILLISECONDS = 3_000;
/** A stopping router closes its port 3 s after the signal. */
const SUSPENSION: Suspension = {
  afterMilliseconds: 2_500,
  milliseconds: 1_000,
};
/** Time in which the servers see that the connections of a process have ended. */
const SETTLE_MILLISECONDS = 300;
const LOADS: readonly StopLoad[] = [
  "none",
  "busy_processes",
  "none",
  "request_flood",
];

interface _System {
  readonly routers: readonly StopRouter[];
  readonly callers: readonly StopCaller[];
  readonly attempts: StopAttempt[];
  readonly runs: Map<string, RecordedRun[]>;
  stop(): Promise<void>;
}

async function _startServers(
  store: StoreStandIn,
  runs: Map<string, RecordedRun[]>,
): Promise<StopServer[]> {
  const servers = Array.from(
    { length: SERVERS },
    (_unused, index) => new StopServer(`i-${index}`, runs),
  );
  for (const server of servers) {
    await server.start();
    putServer(store, {
      id: server.id,
      address: server.address,
      dataCentre: "north",
      slots: SLOTS,
      isDraining: false,
      started: 1,
    });
  }
  return servers;
}

function _createCallers(
  routers: readonly StopRouter[],
  attempts: StopAttempt[],
  random: RandomSource,
): StopCaller[] {
  const count = Math.min(
    MAXIMUM_CALLERS,
    routers.length * CALLERS_PER_ROUTER,
  );
  return Array.from(
    { length: count },
    (_unused, number) =>
      new StopCaller({ routers, attempts }, {
        number,
        home: routers[number % routers.length] as StopRouter,
        readsSlowly: number % SLOW_READER_PERIOD === 0,
        keepsConnection: number % NEW_CONNECTION_PERIOD !== 0,
        random: createSeededRandom(random.integer(2 ** 31)),
      }),
  );
}

async function _startSystem(
  routerCount: number,
  random: RandomSource,
): Promise<_System> {
  const store = new StoreStandIn();
  const runs = new Map<string, RecordedRun[]>();
  const servers = await _startServers(store, runs);
  putConfiguration(store, 1, {
    hostName: STOP_HOST_NAME,
    routes: STOP_ROUTES,
    keys: [STOP_KEY],
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
  });
  const routers = await createStopRouters(routerCount, {
    bundle: await buildBundle(),
    store: await store.start(),
    graceSeconds: GRACE_SECONDS,
  });
  const starts = routers.map((router) => router.start());
  try {
    await Promise.all(starts);
  } catch (error) {
    await Promise.allSettled(starts);
    for (const router of routers) router.kill();
    throw error;
  }
  const attempts: StopAttempt[] = [];
  const callers = _createCallers(routers, attempts, random);
  const running = callers.map((caller) => caller.run());
  return {
    routers,
    callers,
    attempts,
    runs,
    async stop() {
      for (const caller of callers) caller.stop();
      await Promise.all(running);
      for (const router of routers) router.kill();
      for (const server of servers) server.stop();
      await store.stop();
    },
  };
}

/** What acts on a router beside its stop. */
interface _Disturbance {
  readonly load: StopLoad;
  readonly suspension: Suspension | undefined;
}

/** Stops one router under a load and starts it again. */
async function _stopAndStart(
  router: StopRouter,
  { callers }: _System,
  { load, suspension }: _Disturbance,
): Promise<RouterStop> {
  const endFlood = load === "request_flood"
    ? await sendRequestFlood(router.settings.callers)
    : undefined;
  const stop = await router.stop(GRACE_MILLISECONDS, suspension);
  endFlood?.();
  await sleep(SETTLE_MILLISECONDS);
  await router.start();
  for (const caller of callers) caller.onStarted(router);
  return stop;
}

/** Chooses the routers of a round; every other round stops a young one again. */
function _chooseRouters(
  { routers }: _System,
  round: number,
  random: RandomSource,
): StopRouter[] {
  const first = Math.floor(round / 2) % routers.length;
  const others = routers.filter((_router, index) => index !== first);
  const isOverlap = round % OVERLAP_PERIOD === OVERLAP_PERIOD - 1;
  return [
    routers[first] as StopRouter,
    ...(isOverlap ? random.shuffle(others).slice(0, 1) : []),
  ];
}

interface _Round {
  readonly report: StopReport;
  readonly stops: readonly RouterStop[];
}

interface _RoundOptions {
  readonly random: RandomSource;
  readonly previousStops: readonly RouterStop[];
  readonly suspension: Suspension | undefined;
}

async function _executeRound(
  system: _System,
  round: number,
  { random, previousStops, suspension }: _RoundOptions,
): Promise<_Round> {
  const { attempts, runs, routers } = system;
  await sleep(
    SHORTEST_LOAD_MILLISECONDS + random.next() * LOAD_RANGE_MILLISECONDS,
  );
  const load = LOADS[round % LOADS.length] ?? "none";
  const endBusy = load === "busy_processes" ? startBusyProcesses() : undefined;
  const chosen = _chooseRouters(system, round, random);
  const stops = await Promise.all(chosen.map(async (router, index) => {
    await sleep(index * random.next() * LONGEST_OVERLAP_DELAY_MILLISECONDS);
    return _stopAndStart(router, system, { load, suspension });
  }));
  endBusy?.();
  const ended = attempts.filter(({ endedAt }) => endedAt < Infinity);
  // Requests in flight at routers that go on belong to the next round.
  const rest = attempts.filter(({ endedAt }) => endedAt === Infinity);
  attempts.splice(0, attempts.length, ...rest);
  const report = reportRound({
    attempts: ended,
    stops,
    previousStops,
    readLines: (name) =>
      routers.find((router) => router.name === name)?.readLines() ?? [],
    runs,
    graceMilliseconds: GRACE_MILLISECONDS,
  });
  for (const { requestId } of ended) runs.delete(requestId);
  console.error(
    `round ${round + 1}, load ${load}: ${JSON.stringify(report.figures)}`,
  );
  for (const line of report.lines) console.error(`  ${line}`);
  return { report, stops };
}

async function _run(
  { seed, rounds = DEFAULT_ROUNDS, routers }: InvariantOptions,
  suspension?: Suspension,
): Promise<InvariantOutcome> {
  const random = createSeededRandom(seed);
  const system = await _startSystem(routers ?? DEFAULT_ROUTERS, random);
  try {
    const reports: StopReport[] = [];
    let previousStops: readonly RouterStop[] = [];
    for (let round = 0; round < rounds; round++) {
      const options = { random, previousStops, suspension };
      const { report, stops } = await _executeRound(system, round, options);
      reports.push(report);
      previousStops = stops;
    }
    const figures = sumFigures(reports.map((report) => report.figures));
    return {
      faults: reports.flatMap(({ faults }) => faults),
      figures: { rounds, ...figures },
    };
  } finally {
    await system.stop();
  }
}

/** Planned stops beside requests as long as the grace. */
export const LONG_REQUESTS_INVARIANTS: readonly Invariant[] = [
  {
    name: "long_requests_at_stop",
    guarantee:
      "a planned stop loses no request that its router has read and could finish or reject",
    isNegativeControl: false,
    run: (options) => _run(options),
  },
  {
    name: "suspension_at_stop",
    guarantee:
      "a router that stands still while it is about to close its port loses no request of the callers that wait to be accepted",
    isNegativeControl: false,
    run: (options) => _run(options, SUSPENSION),
  },
];
