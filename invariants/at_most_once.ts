/**
 * At most once, and "not run" is true: routers are killed and paused, replies
 * lost and connections cut while callers send non-idempotent calls, with the
 * platform down in half of the rounds. Each call changes an item of its own, so
 * the service shows how often it ran.
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
/** Longer than the membership needs to declare a paused router dead. */
const PAUSE_MILLISECONDS = 10_000;
const SETTLE_MILLISECONDS = 300;
/** Time after a failure in which all views of the members have settled. */
const HEALED_AFTER_MILLISECONDS = 5_000;
const CONTROL_ATTEMPTS = 20;
const CONTROL_RETRY_MILLISECONDS = 100;
const FRESH_CALLS = 20;
/** Share of fresh calls on healthy hosts that must run. */
const FRESH_TARGET = 0.99;

const FAILURES = [
  "kill_router",
  "pause_router",
  "lose_reply",
  "cut_after_body",
  "slow_service",
  "refuse_connections",
] as const;
type Failure = typeof FAILURES[number];

interface Tally {
  readonly outcomes: Map<string, CallOutcome>;
  fresh: number;
  freshCompleted: number;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Retries, as a service that refuses connections refuses its controls too. */
async function setFaults(
  process: ManagedProcess,
  faults: object,
): Promise<void> {
  for (let attempt = 0; attempt < CONTROL_ATTEMPTS; attempt++) {
    try {
      await fetch(`http://${process.address}/faults`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(faults),
      });
      return;
    } catch {
      await sleep(CONTROL_RETRY_MILLISECONDS);
    }
  }
  throw new Error(`${process.name} does not take faults`);
}

/** Brings one failure about and undoes it again. */
async function inject(
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

/** Every failure comes first in turn; in half of the rounds a second one joins. */
function chooseFailures(round: number, random: RandomSource): Failure[] {
  const first = FAILURES[round % FAILURES.length] as Failure;
  if (random.next() < 0.5) return [first];
  return [first, FAILURES[random.integer(FAILURES.length)] as Failure];
}

async function sendCall(
  system: SystemUnderTest,
  item: string,
  tally: Tally,
): Promise<CallOutcome> {
  const outcome = await system.call(item);
  tally.outcomes.set(`slots/${item}`, outcome);
  return outcome;
}

async function runRound(
  system: SystemUnderTest,
  round: number,
  random: RandomSource,
  tally: Tally,
): Promise<string> {
  const platformDown = random.next() < 0.5;
  await system.setPlatformOutage(platformDown);
  const failures = chooseFailures(round, random);
  const calls = Array.from(
    { length: CALLS_PER_ROUND },
    async (_unused, index) => {
      await sleep(random.integer(2 * CALL_SPREAD_MILLISECONDS));
      await sendCall(system, `r${round}-${index}`, tally);
    },
  );
  await Promise.all(failures.map((failure) => inject(failure, system, random)));
  await Promise.all(calls);
  await Promise.all(
    system.services.map((service) =>
      setFaults(service, { drop_replies: 0, close_after_body: 0 })
    ),
  );
  await sleep(HEALED_AFTER_MILLISECONDS);
  const fresh = await Promise.all(
    Array.from(
      { length: FRESH_CALLS },
      (_unused, index) => sendCall(system, `r${round}-fresh-${index}`, tally),
    ),
  );
  tally.fresh += fresh.length;
  tally.freshCompleted +=
    fresh.filter((outcome) => outcome === "completed").length;
  return failures.join("+") + (platformDown ? "+platform_down" : "");
}

/** Compares what callers were told with what the services did. */
async function findFaults(
  system: SystemUnderTest,
  tally: Tally,
): Promise<string[]> {
  const changes = await countChanges(system.services);
  const faults: string[] = [];
  for (const [item, count] of changes) {
    if (count > 1) faults.push(`${item} ran ${count} times`);
  }
  for (const [item, outcome] of tally.outcomes) {
    const ran = changes.has(item);
    if (outcome === "not_run" && ran) {
      faults.push(`${item} ran but its caller was told not run`);
    }
    if (outcome === "completed" && !ran) {
      faults.push(`${item} was answered but did not run`);
    }
  }
  return faults;
}

function countOutcomes(tally: Tally): Record<CallOutcome, number> {
  const counts = { completed: 0, not_run: 0, unknown: 0 };
  for (const outcome of tally.outcomes.values()) counts[outcome]++;
  return counts;
}

async function runRounds(
  system: SystemUnderTest,
  rounds: number,
  seed: number,
): Promise<InvariantOutcome> {
  const tally: Tally = { outcomes: new Map(), fresh: 0, freshCompleted: 0 };
  const histories: string[] = [];
  try {
    for (let round = 0; round < rounds; round++) {
      const random = createSeededRandom(seed * 1_000 + round);
      histories.push(await runRound(system, round, random, tally));
    }
    const faults = await findFaults(system, tally);
    if (tally.freshCompleted < FRESH_TARGET * tally.fresh) {
      faults.push(
        `only ${tally.freshCompleted} of ${tally.fresh} fresh calls ran`,
      );
    }
    return {
      faults,
      figures: {
        rounds,
        distinctFailures: new Set(histories).size,
        ...countOutcomes(tally),
        fresh: tally.fresh,
        freshCompleted: tally.freshCompleted,
      },
    };
  } finally {
    await system.stop();
  }
}

/** The run against the routers, and the same run against a naive version. */
export const AT_MOST_ONCE_INVARIANTS: readonly Invariant[] = [
  {
    name: "at_most_once",
    promise:
      'a non-idempotent request runs at most once, and "not run" is true',
    isNaive: false,
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
    promise:
      "the same check against a proxy that retries and callers that try the next proxy",
    isNaive: true,
    async run({ seed, rounds }: InvariantOptions) {
      return runRounds(
        await startNaiveSystem(),
        rounds ?? DEFAULT_NAIVE_ROUNDS,
        seed,
      );
    },
  },
];
