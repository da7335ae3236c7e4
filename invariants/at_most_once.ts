/**
 * Checks at-most-once execution and that a call reported as "not run" did not
 * run. Routers are killed and paused, responses lost and connections closed
 * while callers send non-idempotent calls; in about half of the rounds the
 * platform is down. Each call changes its own item, so that the counters of the
 * services show how often it ran.
 */
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";
import { countChanges } from "../demo/observer.ts";
import type { ManagedProcess } from "../stand_ins/processes.ts";
import type {
  Invariant,
  InvariantOptions,
  InvariantOutcome,
} from "./invariant.ts";
import {
  type CallOutcome,
  startNaiveSystem,
  startRouterSystem,
  type SystemUnderTest,
} from "./tested_system.ts";

const DEFAULT_ROUNDS = 10;
const DEFAULT_NAIVE_ROUNDS = 4;
const CALLS_PER_ROUND = 24;
const CALL_SPREAD_MILLISECONDS = 400;
/** Longer than the membership protocol takes to declare a paused router dead. */
const PAUSE_MILLISECONDS = 10_000;
const SETTLE_MILLISECONDS = 300;
/** Time after a failure in which all membership views converge. */
const RECOVERY_MILLISECONDS = 5_000;
const SET_FAULTS_ATTEMPTS = 20;
const SET_FAULTS_RETRY_MILLISECONDS = 100;
const FRESH_CALLS = 20;
/** Ratio of the calls sent after recovery that must complete. */
const FRESH_TARGET_RATIO = 0.99;

const FAILURES = [
  "kill_router",
  "pause_router",
  "lose_reply",
  "cut_after_body",
  "slow_service",
  "refuse_connections",
] as const;
type Failure = typeof FAILURES[number];

interface CallResults {
  readonly outcomes: Map<string, CallOutcome>;
  fresh: number;
  freshCompleted: number;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Sets faults with retries, as a service may refuse this connection as well. */
async function setFaults(
  process: ManagedProcess,
  faults: object,
): Promise<void> {
  for (let attempt = 0; attempt < SET_FAULTS_ATTEMPTS; attempt++) {
    try {
      await fetch(`http://${process.address}/faults`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(faults),
      });
      return;
    } catch {
      await sleep(SET_FAULTS_RETRY_MILLISECONDS);
    }
  }
  throw new Error(`${process.name} did not accept a change of its faults`);
}

/** Causes one failure and reverts it, unless it expires or the round resets it. */
async function injectFailure(
  failure: Failure,
  system: SystemUnderTest,
  random: RandomSource,
): Promise<void> {
  const router = random.integer(system.routers.length);
  const service = system
    .services[random.integer(system.services.length)] as ManagedProcess;
  await sleep(random.integer(CALL_SPREAD_MILLISECONDS));
  switch (failure) {
    case "kill_router":
      await system.routers[router]?.kill();
      await sleep(SETTLE_MILLISECONDS);
      await system.restartRouter(router);
      return;
    case "pause_router":
      system.routers[router]?.pause();
      await sleep(PAUSE_MILLISECONDS);
      system.routers[router]?.resume();
      return;
    case "lose_reply":
      return setFaults(service, { drop_replies: 1 + random.integer(4) });
    case "cut_after_body":
      return setFaults(service, { close_after_body: 1 + random.integer(4) });
    case "slow_service":
      await setFaults(service, { delay_milliseconds: 300 });
      await sleep(SETTLE_MILLISECONDS);
      return setFaults(service, { delay_milliseconds: 0 });
    case "refuse_connections":
      return setFaults(service, { refuse_connections_milliseconds: 200 });
  }
}

/** Cycles through the failures; about half of the rounds get a random second one. */
function chooseFailures(round: number, random: RandomSource): Failure[] {
  const first = FAILURES[round % FAILURES.length] as Failure;
  if (random.next() < 0.5) return [first];
  return [first, FAILURES[random.integer(FAILURES.length)] as Failure];
}

async function sendRecordedCall(
  system: SystemUnderTest,
  item: string,
  results: CallResults,
): Promise<CallOutcome> {
  const outcome = await system.call(item);
  results.outcomes.set(`slots/${item}`, outcome);
  return outcome;
}

async function runRound(
  system: SystemUnderTest,
  round: number,
  random: RandomSource,
  results: CallResults,
): Promise<string> {
  const isPlatformDown = random.next() < 0.5;
  await system.setPlatformOutage(isPlatformDown);
  const failures = chooseFailures(round, random);
  const calls = Array.from(
    { length: CALLS_PER_ROUND },
    async (_unused, index) => {
      await sleep(random.integer(2 * CALL_SPREAD_MILLISECONDS));
      await sendRecordedCall(system, `r${round}-${index}`, results);
    },
  );
  await Promise.all(
    failures.map((failure) => injectFailure(failure, system, random)),
  );
  await Promise.all(calls);
  await Promise.all(
    system.services.map((service) =>
      setFaults(service, { drop_replies: 0, close_after_body: 0 })
    ),
  );
  await sleep(RECOVERY_MILLISECONDS);
  const fresh = await Promise.all(
    Array.from(
      { length: FRESH_CALLS },
      (_unused, index) =>
        sendRecordedCall(system, `r${round}-fresh-${index}`, results),
    ),
  );
  results.fresh += fresh.length;
  results.freshCompleted +=
    fresh.filter((outcome) => outcome === "completed").length;
  return failures.join("+") + (isPlatformDown ? "+platform_down" : "");
}

/** Compares the outcomes that callers got with the changes at the services. */
async function findViolations(
  system: SystemUnderTest,
  results: CallResults,
): Promise<string[]> {
  const changes = await countChanges(system.services);
  const faults: string[] = [];
  for (const [item, count] of changes) {
    if (count > 1) faults.push(`${item} ran ${count} times`);
  }
  for (const [item, outcome] of results.outcomes) {
    const ran = changes.has(item);
    if (outcome === "not_run" && ran) {
      faults.push(`${item} ran, but its caller got the outcome not_run`);
    }
    if (outcome === "completed" && !ran) {
      faults.push(`${item} completed for its caller, but did not run`);
    }
  }
  return faults;
}

function countOutcomes(results: CallResults): Record<CallOutcome, number> {
  const counts = { completed: 0, not_run: 0, unknown: 0 };
  for (const outcome of results.outcomes.values()) counts[outcome]++;
  return counts;
}

async function runRounds(
  system: SystemUnderTest,
  rounds: number,
  seed: number,
): Promise<InvariantOutcome> {
  const results: CallResults = {
    outcomes: new Map(),
    fresh: 0,
    freshCompleted: 0,
  };
  const combinations: string[] = [];
  try {
    for (let round = 0; round < rounds; round++) {
      const random = createSeededRandom(seed * 1_000 + round);
      combinations.push(await runRound(system, round, random, results));
    }
    const faults = await findViolations(system, results);
    if (results.freshCompleted < FRESH_TARGET_RATIO * results.fresh) {
      faults.push(
        `only ${results.freshCompleted} of ${results.fresh} calls completed after recovery`,
      );
    }
    return {
      faults,
      figures: {
        rounds,
        distinctFailures: new Set(combinations).size,
        ...countOutcomes(results),
        fresh: results.fresh,
        freshCompleted: results.freshCompleted,
      },
    };
  } finally {
    await system.stop();
  }
}

/** The run against the routers, and the same run against a naive proxy. */
export const AT_MOST_ONCE_INVARIANTS: readonly Invariant[] = [
  {
    name: "at_most_once",
    guarantee:
      'a non-idempotent request runs at most once, and not at all if reported as "not run"',
    isNegativeControl: false,
    async run({ seed, rounds }: InvariantOptions) {
      return runRounds(
        await startRouterSystem(seed),
        rounds ?? DEFAULT_ROUNDS,
        seed,
      );
    },
  },
  {
    name: "at_most_once_naive",
    guarantee:
      "the same check against a proxy that retries and callers that fail over to the next proxy",
    isNegativeControl: true,
    async run({ seed, rounds }: InvariantOptions) {
      return runRounds(
        await startNaiveSystem(),
        rounds ?? DEFAULT_NAIVE_ROUNDS,
        seed,
      );
    },
  },
];
