/**
 * A model of servers with slots and queues behind one or more routers, on a
 * manual clock. It compares ways to admit the same calls.
 */
import type { ServiceId } from "../src/core/gateway_configuration.ts";
import {
  createFleetLoad,
  type FleetLoad,
} from "../src/core/load_control/fleet_load.ts";
import { brandId, type WorkspaceId } from "../src/core/ids.ts";
import { createSeededRandom } from "../src/core/random.ts";
import { retryAfterExpectedWait } from "../src/core/load_control/retry_after.ts";
import type { RegisteredServer } from "../src/core/server_registry.ts";
import { createManualTimerService } from "../src/timer_service.ts";
import {
  createWaitingRequests,
  type Waiter,
  type WaitingRequests,
  type WaitRefusal,
} from "../src/waiting_requests.ts";
import { testDemand, testServers } from "./registered_servers.ts";

/** One caller's request; times in milliseconds. */
export interface ModelCall {
  readonly at: number;
  readonly kind: string;
  readonly workspace: string;
  readonly priority: number;
  readonly duration: number;
  readonly objective: number;
  readonly timeout: number;
  /** How often the caller comes back after a rejection. */
  readonly returns: number;
  /** Whether it ignores Retry-After and comes back at once. */
  readonly ignoresRetryAfter?: boolean;
}

export type ModelPolicy = "send_all" | "decide" | "oracle";

export interface ModelOptions {
  readonly servers: number;
  readonly slots: number;
  readonly queue: number;
  readonly calls: readonly ModelCall[];
  readonly policy: ModelPolicy;
  readonly routers?: number;
  readonly seed?: number;
  /** Time from which half of the servers run nothing more. */
  readonly halfLostAt?: number;
  /** Delays of a report's copies, in milliseconds; none if it is lost. */
  readonly reportDelays?: (from: number, to: number, now: number) => number[];
  /** Number of routers that a router believes to share the servers. */
  readonly sharing?: (now: number) => number;
  /** Time from which the first router neither serves nor reports. */
  readonly routerDiesAt?: number;
}

export type ModelFate = "in_time" | "late" | "early" | "rejected_late" | "lost";

export interface ModelOutcome {
  readonly call: ModelCall;
  fate: ModelFate;
  /** From the caller's last arrival to its response. */
  milliseconds: number;
}

interface _Server {
  readonly registered: RegisteredServer;
  running: number;
  readonly waiting: (() => boolean)[];
  peak: number;
}

interface _Attempt {
  readonly outcome: ModelOutcome;
  readonly arrivedAt: number;
  readonly returnsLeft: number;
  readonly router: number;
}

const SERVICE = brandId<ServiceId>("pool");
const ANY_DEMAND = testDemand();
const REPORT_PERIOD_MILLISECONDS = 50;
const IMMEDIATE_RETURN_MILLISECONDS = 5;

/**
 * Runs the calls. `peak` is the most requests that one server held, `turnedAway`
 * how many requests found three servers full, and `unused` the longest time for
 * which a server had a free slot while requests waited.
 */
export function runModel(options: ModelOptions) {
  const { slots, policy, calls, routers: routerCount = 1 } = options;
  const timers = createManualTimerService();
  const random = createSeededRandom(options.seed ?? 1);
  const servers: _Server[] = testServers(options.servers, { slots })
    .map((registered) => ({ registered, running: 0, waiting: [], peak: 0 }));
  let live = servers;
  let turnedAway = 0;
  let unused = 0;
  const freeSince = new Map<_Server, number>();
  const outcomes: ModelOutcome[] = [];
  let oracleQueue: _Attempt[] = [];
  const loads = Array.from({ length: routerCount }, () => createFleetLoad());
  const routers = loads.map((load) => createRouter(load));

  function now(): number {
    return timers.clock.monotonicMilliseconds();
  }

  function createRouter(load: FleetLoad): WaitingRequests {
    return createWaitingRequests({
      timers,
      statements: { hasStatedPace: () => policy === "decide" },
      servers: () => live.map(({ registered }) => registered),
      isTooLarge: () => false,
      loadAgeMilliseconds: (time) => load.ageMilliseconds(time),
      room: {
        standingOf: () => "open",
        inFlight: (id) => load.inFlight(id),
        ownInFlight: (id) => load.ownInFlight(id),
        sharingRouters: () => options.sharing?.(now()) ?? routerCount,
      },
    });
  }

  function timeLeft({ outcome, arrivedAt }: _Attempt): number {
    return arrivedAt + outcome.call.timeout - now();
  }

  function finish(attempt: _Attempt, fate: ModelFate): void {
    attempt.outcome.fate = fate;
    attempt.outcome.milliseconds = now() - attempt.arrivedAt;
  }

  function serve(attempt: _Attempt): void {
    const isInTime =
      now() - attempt.arrivedAt <= attempt.outcome.call.objective;
    if (timeLeft(attempt) < 0) return finish(attempt, "lost");
    finish(attempt, isInTime ? "in_time" : "late");
  }

  function reject(attempt: _Attempt, waitMilliseconds: number): void {
    const { outcome, returnsLeft, arrivedAt, router } = attempt;
    const isEarly = now() - arrivedAt <= outcome.call.objective / 8;
    finish(attempt, isEarly ? "early" : "rejected_late");
    if (returnsLeft === 0) return;
    const delay = outcome.call.ignoresRetryAfter
      ? IMMEDIATE_RETURN_MILLISECONDS
      : waitMilliseconds;
    timers.after(delay, "return", () => {
      const next = { outcome, router, returnsLeft: returnsLeft - 1 };
      arrive({ ...next, arrivedAt: now() });
    });
  }

  /** Starts what the server has room for; queued callers may have left. */
  function run(server: _Server, start: () => boolean): void {
    if (server.running >= slots) return void server.waiting.push(start);
    if (!start()) return;
    server.running++;
  }

  function end(server: _Server): void {
    server.running--;
    while (server.waiting.length > 0 && server.running < slots) {
      run(server, server.waiting.shift() as () => boolean);
    }
  }

  function send(attempt: _Attempt): void {
    const load = loads[attempt.router] as FleetLoad;
    const room = slots + options.queue;
    const order = random.shuffle(live).sort((left, right) =>
      load.inFlight(left.registered.id) - load.inFlight(right.registered.id)
    ).slice(0, 3);
    const server = order.find(({ running, waiting }) =>
      running + waiting.length < room
    );
    if (!server) turnedAway++;
    if (!server) return reject(attempt, 150 + random.next() * 450);
    const { id } = server.registered;
    const sentAt = now();
    load.requestStarted(id);
    run(server, () => {
      const isGone = timeLeft(attempt) < 0;
      if (isGone) release(attempt, server, sentAt, false);
      else {
        timers.after(attempt.outcome.call.duration, "served", () => {
          end(server);
          release(attempt, server, sentAt, live.includes(server));
        });
      }
      return !isGone;
    });
    server.peak = Math.max(
      server.peak,
      server.running + server.waiting.length,
    );
  }

  function release(
    attempt: _Attempt,
    { registered }: _Server,
    sentAt: number,
    isServed: boolean,
  ): void {
    const { router } = attempt;
    if (router === 0 && now() >= (options.routerDiesAt ?? Infinity)) return;
    loads[router]?.requestEnded(registered.id);
    const milliseconds = now() - sentAt;
    if (!isServed) finish(attempt, "lost");
    else {
      serve(attempt);
      routers[router]?.recordServed(SERVICE, ANY_DEMAND, {
        cost: 1,
        milliseconds,
        firstEventMilliseconds: milliseconds,
      });
    }
    routers[router]?.recordEnded(SERVICE, ANY_DEMAND);
  }

  function wait(attempt: _Attempt, waiting: WaitingRequests): void {
    const { call } = attempt.outcome;
    const timesOutMilliseconds = attempt.arrivedAt + call.timeout;
    const waiter: Waiter = {
      service: SERVICE,
      demand: testDemand({ urgency: call.priority }),
      workspace: brandId<WorkspaceId>(call.workspace),
      priority: call.priority,
      weightTokens: 1,
      arrivedMilliseconds: attempt.arrivedAt,
      objectiveMilliseconds: call.objective,
      timesOutMilliseconds,
      deadlineMilliseconds: timesOutMilliseconds - 20,
      onTurn() {
        waiting.settle(waiter);
        send(attempt);
      },
      onRefused({ assessment }: WaitRefusal) {
        const expected = assessment.returnMilliseconds ?? 100;
        reject(attempt, retryAfterExpectedWait(expected, random) * 1_000);
      },
      onConfigurationChange: () => undefined,
    };
    waiting.enter(waiter);
  }

  /**
   * A caller that comes back when it is told to can be served on time later, if
   * no Retry-After exceeds its timeout.
   */
  function oracleDeadline({ outcome: { call }, arrivedAt }: _Attempt): number {
    const returns = call.ignoresRetryAfter ? 0 : call.returns;
    return arrivedAt + returns * call.timeout + call.objective;
  }

  /** Serves, by priority and deadline, what can still be on time. */
  function serveBest(): void {
    oracleQueue = oracleQueue.filter((attempt) =>
      now() + attempt.outcome.call.duration <= oracleDeadline(attempt)
    ).sort((left, right) =>
      left.outcome.call.priority - right.outcome.call.priority ||
      oracleDeadline(left) - oracleDeadline(right)
    );
    const free = live.find(({ running }) => running < slots);
    const attempt = free && oracleQueue.shift();
    if (!attempt) return;
    free.running++;
    timers.after(attempt.outcome.call.duration, "served", () => {
      free.running--;
      finish(attempt, live.includes(free) ? "in_time" : "lost");
      serveBest();
    });
  }

  function arrive(attempt: _Attempt): void {
    if (policy === "oracle") {
      oracleQueue.push(attempt);
      return serveBest();
    }
    const { priority } = attempt.outcome.call;
    const waiting = routers[attempt.router] as WaitingRequests;
    if (waiting.mustWait(SERVICE, testDemand({ urgency: priority }))) {
      wait(attempt, waiting);
    } else send(attempt);
  }

  function report(from: number): void {
    const isDead = from === 0 && now() >= (options.routerDiesAt ?? Infinity);
    const counts = loads[from]?.ownLoads() ?? [];
    for (let to = 0; to < routerCount && !isDead; to++) {
      if (to === from) continue;
      for (const delay of options.reportDelays?.(from, to, now()) ?? [20]) {
        timers.after(delay, "report", () => {
          loads[to]?.recordReport(`${from}`, counts, now());
          routers[to]?.recordReports();
        });
      }
    }
    loads[from]?.expire(now());
  }

  function observeUnused(): void {
    const isWaiting = routers.some(({ length }) => length > 0);
    for (const server of live) {
      const isFree = isWaiting && server.running < slots;
      const since = freeSince.get(server) ?? now();
      if (isFree) freeSince.set(server, since);
      else freeSince.delete(server);
      unused = Math.max(unused, isFree ? now() - since : 0);
    }
  }

  function schedule(index: number): void {
    const call = calls[index];
    if (!call) return;
    timers.after(Math.max(0, call.at - now()), "arrival", () => {
      const outcome: ModelOutcome = { call, fate: "lost", milliseconds: 0 };
      outcomes.push(outcome);
      const isDead = now() >= (options.routerDiesAt ?? Infinity);
      const router = isDead && routerCount > 1
        ? 1 + index % (routerCount - 1)
        : index % routerCount;
      const { returns: returnsLeft } = call;
      arrive({ outcome, router, returnsLeft, arrivedAt: now() });
      schedule(index + 1);
    });
  }

  schedule(0);
  timers.every(10, "observation", observeUnused);
  for (let from = 0; routerCount > 1 && from < routerCount; from++) {
    timers.every(REPORT_PERIOD_MILLISECONDS, "report", () => report(from));
  }
  if (options.halfLostAt !== undefined) {
    timers.after(options.halfLostAt, "loss", () => {
      live = servers.slice(0, servers.length / 2);
    });
  }
  const last = calls.at(-1);
  timers.advance((last?.at ?? 0) + 10_000);
  return {
    outcomes,
    peak: Math.max(...servers.map(({ peak }) => peak)),
    turnedAway,
    unused,
    waiting: routers.reduce((sum, { length }) => sum + length, 0),
  };
}

/** Value of all outcomes: 1 on time, 0.3 late. */
export function valueOf(outcomes: readonly ModelOutcome[]): number {
  return outcomes.reduce(
    (sum, { fate }) =>
      sum + (fate === "in_time" ? 1 : fate === "late" ? 0.3 : 0),
    0,
  );
}

/** Number of outcomes by kind and workspace, and fate. */
export function countFates(
  outcomes: readonly ModelOutcome[],
): Record<string, Partial<Record<ModelFate, number>>> {
  const counts: Record<string, Partial<Record<ModelFate, number>>> = {};
  for (const { call, fate } of outcomes) {
    const group = counts[`${call.kind}/${call.workspace}`] ??= {};
    group[fate] = (group[fate] ?? 0) + 1;
  }
  return counts;
}
