/**
 * Checks configuration changes on real processes while operators race and the
 * platform loses responses, fails, serves stale reads, rolls back or stops
 * sending watch events. Every accepted configuration must be in force on every
 * router in time, and the generation must never decrease.
 */
import { readFile, writeFile } from "node:fs/promises";
import {
  type CommandResult,
  type FleetProcesses,
  startFleetProcesses,
} from "../stand_ins/fleet_processes.ts";
import type { PlatformFaults } from "../stand_ins/platform_store.ts";
import type {
  Invariant,
  InvariantOptions,
  InvariantOutcome,
} from "./invariant.ts";
import { readRouterStatus, sleep, waitUntil } from "./router_status.ts";

const ROUTERS = 4;
/** Target for an accepted configuration to be in force on every router. */
const IN_FORCE_MILLISECONDS = 5_000;
const RACING_OPERATORS = 4;
const OUTAGE_MILLISECONDS = 2_000;
const GENERATION_POLL_MILLISECONDS = 100;
const ACCEPTED_EXIT_CODES = [0, 4];
const CONFLICT_EXIT_CODE = 3;
/** Generation of the first fleet file. */
const FIRST_GENERATION = 1;

interface TestContext {
  readonly fleet: FleetProcesses;
  readonly faults: string[];
  readonly figures: Record<string, number>;
  /** Applies the fleet file with an additional workspace. */
  apply(name: string, ...parameters: string[]): Promise<CommandResult>;
  setFaults(faults: Partial<PlatformFaults>): Promise<void>;
  /** Waits until all routers have the generation with the same digest. */
  expectInForce(event: string, generation: number): Promise<void>;
}

async function postControl(fleet: FleetProcesses, path: string, body: object) {
  await fetch(`http://${fleet.platform.address}/control/${path}`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
}

async function createTestContext(): Promise<TestContext> {
  const fleet = await startFleetProcesses({
    dataCentres: ["north", "south"],
    routers: ROUTERS,
    engines: 1,
    services: 1,
    workspaces: ["temple"],
    keepMilliseconds: 500,
  });
  const fleetText = await readFile(fleet.fleetFile, "utf8");
  const faults: string[] = [];
  const figures: Record<string, number> = {};
  async function isInForce(generation: number): Promise<boolean> {
    const all = await Promise.all(fleet.routerAddresses.map(readRouterStatus));
    const digests = new Set(all.map((status) => status?.digest));
    return digests.size === 1 &&
      all.every((status) => status?.generation === generation);
  }
  return {
    fleet,
    faults,
    figures,
    async apply(name, ...parameters) {
      const file = `${fleet.fleetFile}.${name}`;
      const hash = Buffer.from(name).toString("hex").padEnd(64, "0");
      const section = `\n[workspace ${name}]\nkey_hash = ${hash}\n`;
      await writeFile(file, fleetText + section);
      return fleet.command("apply", file, "--wait", "0", ...parameters);
    },
    setFaults: (change) => postControl(fleet, "faults", change),
    async expectInForce(event, generation) {
      const elapsed = await waitUntil(
        () => isInForce(generation),
        IN_FORCE_MILLISECONDS,
      );
      figures[`${event}Milliseconds`] = elapsed ?? -1;
      if (elapsed !== undefined) return;
      const all = await Promise.all(
        fleet.routerAddresses.map(readRouterStatus),
      );
      const seen = all.map((status) => status?.generation).join(", ");
      faults.push(
        `${event}: generation ${generation} is not in force; routers have ${seen}`,
      );
    },
  };
}

function expectExit(
  context: TestContext,
  event: string,
  result: CommandResult,
  allowed: readonly number[],
): boolean {
  if (allowed.includes(result.exitCode)) return true;
  context.faults.push(
    `${event}: exit code ${result.exitCode}: ${result.output}${result.errors}`,
  );
  return false;
}

/** Operators apply concurrently; for each generation exactly one of them succeeds. */
async function raceOperators(
  context: TestContext,
  generation: number,
): Promise<number> {
  const names = Array.from(
    { length: RACING_OPERATORS },
    (_unused, index) => `race-${index}`,
  );
  const results = await Promise.all(names.map((name) => context.apply(name)));
  const winners = names.filter((_name, index) =>
    ACCEPTED_EXIT_CODES.includes(results[index]?.exitCode ?? 1)
  );
  for (const result of results) {
    expectExit(context, "race", result, [
      ...ACCEPTED_EXIT_CODES,
      CONFLICT_EXIT_CODE,
    ]);
  }
  context.figures.raceWinners = winners.length;
  // An operator that starts after another succeeded gets the next generation.
  const last = generation + winners.length;
  await context.expectInForce("race", last);
  const diff = await context.fleet.command("diff", context.fleet.fleetFile);
  const inForce = names.filter((name) =>
    diff.output.includes(`workspace ${name}`)
  );
  if (inForce.length !== 1 || !winners.includes(inForce[0] as string)) {
    context.faults.push(
      `race: in force: ${inForce.join(", ")}; accepted: ${winners.join(", ")}`,
    );
  }
  return last;
}

/** A response lost after the write causes no reported failure and no second write. */
async function loseReplies(
  context: TestContext,
  generation: number,
): Promise<number> {
  await context.setFaults({ lostReplies: 3 });
  const result = await context.apply("lost-reply");
  await context.setFaults({ lostReplies: 0 });
  expectExit(context, "lostReply", result, ACCEPTED_EXIT_CODES);
  await context.expectInForce("lostReply", generation + 1);
  return generation + 1;
}

/** The platform fails during an apply; the file takes effect as a whole or not at all. */
async function failDuringApply(
  context: TestContext,
  generation: number,
): Promise<number> {
  const before = await countKeys(context);
  const applied = context.apply("outage");
  await context.setFaults({ slowMilliseconds: 100 });
  const written = await waitUntil(
    async () => await countKeys(context) > before,
    IN_FORCE_MILLISECONDS,
  );
  await context.setFaults({ outage: true, slowMilliseconds: 0 });
  context.figures.outageAfterChunk = written === undefined ? 0 : 1;
  await sleep(OUTAGE_MILLISECONDS);
  await context.setFaults({ outage: false });
  const result = await applied;
  const next = ACCEPTED_EXIT_CODES.includes(result.exitCode)
    ? generation + 1
    : generation;
  await context.expectInForce("outage", next);
  const retried = await context.apply("after-outage");
  expectExit(context, "outage", retried, ACCEPTED_EXIT_CODES);
  await context.expectInForce("afterOutage", next + 1);
  return next + 1;
}

async function countKeys({ fleet }: TestContext): Promise<number> {
  const response = await fetch(
    `http://${fleet.platform.address}/control/state`,
  );
  const { keys } = await response.json() as { keys: string[] };
  return keys.filter((key) => key.startsWith("configuration/chunk/")).length;
}

/** Reads after an outage return an old head; no router reverts to it. */
async function readStaleHead(
  context: TestContext,
  generation: number,
): Promise<void> {
  await context.setFaults({ outage: true });
  await sleep(OUTAGE_MILLISECONDS);
  await context.setFaults({ outage: false, staleWrites: 6 });
  await sleep(IN_FORCE_MILLISECONDS);
  await context.expectInForce("staleRead", generation);
  await context.setFaults({ staleWrites: 0 });
}

/** A router that starts in an outage gets the configuration from its peers. */
async function restartInOutage(
  context: TestContext,
  generation: number,
): Promise<void> {
  await context.fleet.routers[0]?.kill();
  await context.setFaults({ outage: true });
  await context.fleet.restartRouter(0);
  await context.expectInForce("startInOutage", generation);
  await context.setFaults({ outage: false });
}

/** A change must reach the routers even if their watches get no more events. */
async function silenceWatches(
  context: TestContext,
  generation: number,
): Promise<number> {
  await context.setFaults({ silentWatches: true });
  const result = await context.apply("silent-watch");
  expectExit(context, "silentWatch", result, ACCEPTED_EXIT_CODES);
  await context.expectInForce("silentWatch", generation + 1);
  await context.setFaults({ silentWatches: false });
  return generation + 1;
}

/** The store loses its last writes; the fleet keeps its generation and raises an alarm. */
async function rollBack(
  context: TestContext,
  generation: number,
): Promise<void> {
  await postControl(context.fleet, "roll_back", { writes: 4 });
  const alarmed = await waitUntil(async () => {
    const all = await Promise.all(
      context.fleet.routerAddresses.map(readRouterStatus),
    );
    return all.some((status) =>
      status?.alarms.includes("configuration_store_went_back")
    );
  }, 2 * IN_FORCE_MILLISECONDS);
  if (alarmed === undefined) context.faults.push("rollBack: no alarm");
  await context.expectInForce("rollBack", generation);
  const refused = await context.apply("rolled-back");
  expectExit(context, "rollBack", refused, [1]);
  const chosen = generation + 1;
  const repaired = await context.apply(
    "repaired",
    "--generation",
    String(chosen),
  );
  expectExit(context, "repair", repaired, ACCEPTED_EXIT_CODES);
  await context.expectInForce("repair", chosen);
}

/** Records every decrease of a router's generation until it is stopped. */
function watchGenerations(context: TestContext): () => Promise<void> {
  let isRunning = true;
  const highest = new Map<string, number>();
  async function poll(): Promise<void> {
    while (isRunning) {
      for (const address of context.fleet.routerAddresses) {
        const generation = (await readRouterStatus(address))?.generation;
        if (generation === undefined) continue;
        const before = highest.get(address) ?? 0;
        if (generation < before) {
          context.faults.push(
            `${address} went from generation ${before} to ${generation}`,
          );
        }
        highest.set(address, generation);
      }
      await sleep(GENERATION_POLL_MILLISECONDS);
    }
  }
  const polling = poll();
  return async () => {
    isRunning = false;
    await polling;
  };
}

type Scenario = (context: TestContext, seed: number) => Promise<void>;

async function runScenario(
  seed: number,
  scenario: Scenario,
): Promise<InvariantOutcome> {
  const context = await createTestContext();
  const stopWatching = watchGenerations(context);
  try {
    await context.expectInForce("start", FIRST_GENERATION);
    await scenario(context, seed);
    return context;
  } finally {
    await stopWatching();
    await context.fleet.stop();
  }
}

async function runAllFaults(context: TestContext): Promise<void> {
  let generation = await raceOperators(context, FIRST_GENERATION);
  generation = await loseReplies(context, generation);
  generation = await failDuringApply(context, generation);
  await readStaleHead(context, generation);
  await restartInOutage(context, generation);
  generation = await silenceWatches(context, generation);
  await rollBack(context, generation);
}

/** Shows that the check can fail: a paused router does not apply a change. */
async function applyWithPausedRouter(
  context: TestContext,
  seed: number,
): Promise<void> {
  const router = context.fleet.routers[seed % ROUTERS];
  router?.pause();
  await context.apply("paused");
  await context.expectInForce("paused", FIRST_GENERATION + 1);
}

/** Configuration changes under faults of the platform and of operators. */
export const CONFIGURATION_INVARIANTS: readonly Invariant[] = [
  {
    name: "configuration_faults",
    guarantee:
      "an accepted configuration is in force on every router within 5 s and never reverts",
    isNegativeControl: false,
    run: ({ seed }: InvariantOptions) => runScenario(seed, runAllFaults),
  },
  {
    name: "configuration_frozen_router",
    guarantee: "the same check with a paused router",
    isNegativeControl: true,
    run: ({ seed }: InvariantOptions) =>
      runScenario(seed, applyWithPausedRouter),
  },
];
