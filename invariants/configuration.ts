/**
 * Configuration on real processes: operators race, the platform loses replies,
 * fails, reads stale or goes back, and its watches die. What was accepted is in
 * force on every router in time, and the generation never decreases.
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
/** Stated target: an accepted configuration is in force everywhere within this. */
const IN_FORCE_MILLISECONDS = 5_000;
const RACING_OPERATORS = 4;
const OUTAGE_MILLISECONDS = 2_000;
const GENERATION_POLL_MILLISECONDS = 100;
const ACCEPTED_EXIT_CODES = [0, 4];
const CONFLICT_EXIT_CODE = 3;
/** The fleet's generation after the first file. */
const FIRST_GENERATION = 1;

interface Bench {
  readonly fleet: FleetProcesses;
  readonly faults: string[];
  readonly figures: Record<string, number>;
  /** Applies the fleet file with one more workspace. */
  apply(name: string, ...parameters: string[]): Promise<CommandResult>;
  setFaults(faults: Partial<PlatformFaults>): Promise<void>;
  /** Waits until all routers have a generation and one digest. */
  expectInForce(event: string, generation: number): Promise<void>;
}

async function control(fleet: FleetProcesses, path: string, body: object) {
  await fetch(`http://${fleet.platform.address}/control/${path}`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
}

async function createBench(): Promise<Bench> {
  const fleet = await startFleetProcesses({
    dataCentres: ["north", "south"],
    routers: ROUTERS,
    engines: 1,
    services: 1,
    workspaces: ["temple"],
    keepMilliseconds: 500,
  });
  const text = await readFile(fleet.fleetFile, "utf8");
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
      await writeFile(file, text + section);
      return fleet.command("apply", file, "--wait", "0", ...parameters);
    },
    setFaults: (change) => control(fleet, "faults", change),
    async expectInForce(event, generation) {
      const taken = await waitUntil(
        () => isInForce(generation),
        IN_FORCE_MILLISECONDS,
      );
      figures[`${event}Milliseconds`] = taken ?? -1;
      if (taken !== undefined) return;
      const all = await Promise.all(
        fleet.routerAddresses.map(readRouterStatus),
      );
      const seen = all.map((status) => status?.generation).join(", ");
      faults.push(
        `${event}: generation ${generation} is not in force; seen ${seen}`,
      );
    },
  };
}

function expectExit(
  bench: Bench,
  event: string,
  result: CommandResult,
  allowed: readonly number[],
): boolean {
  if (allowed.includes(result.exitCode)) return true;
  bench.faults.push(
    `${event}: exit code ${result.exitCode}: ${result.output}${result.errors}`,
  );
  return false;
}

/** Exactly one of the racing operators wins a generation. */
async function race(bench: Bench, generation: number): Promise<number> {
  const names = Array.from(
    { length: RACING_OPERATORS },
    (_unused, index) => `race-${index}`,
  );
  const results = await Promise.all(names.map((name) => bench.apply(name)));
  const winners = names.filter((_name, index) =>
    ACCEPTED_EXIT_CODES.includes(results[index]?.exitCode ?? 1)
  );
  for (const result of results) {
    expectExit(bench, "race", result, [
      ...ACCEPTED_EXIT_CODES,
      CONFLICT_EXIT_CODE,
    ]);
  }
  bench.figures.raceWinners = winners.length;
  // Operators that start after a winner are not in a race; each gets a generation.
  const last = generation + winners.length;
  await bench.expectInForce("race", last);
  const shown = await bench.fleet.command("diff", bench.fleet.fleetFile);
  const inForce = names.filter((name) =>
    shown.output.includes(`workspace ${name}`)
  );
  if (inForce.length !== 1 || !winners.includes(inForce[0] as string)) {
    bench.faults.push(
      `race: in force ${inForce.join(", ")}, accepted ${winners.join(", ")}`,
    );
  }
  return last;
}

/** A reply lost after the write is not reported as a failure or written twice. */
async function loseReply(bench: Bench, generation: number): Promise<number> {
  await bench.setFaults({ lostReplies: 3 });
  const result = await bench.apply("lost-reply");
  await bench.setFaults({ lostReplies: 0 });
  expectExit(bench, "lostReply", result, ACCEPTED_EXIT_CODES);
  await bench.expectInForce("lostReply", generation + 1);
  return generation + 1;
}

/** The platform fails during an apply; the file is in force as a whole or not at all. */
async function failBetween(bench: Bench, generation: number): Promise<number> {
  const before = await countKeys(bench);
  const applied = bench.apply("outage");
  await bench.setFaults({ slowMilliseconds: 100 });
  const wrote = await waitUntil(
    async () => await countKeys(bench) > before,
    IN_FORCE_MILLISECONDS,
  );
  await bench.setFaults({ outage: true, slowMilliseconds: 0 });
  bench.figures.outageAfterChunk = wrote === undefined ? 0 : 1;
  await sleep(OUTAGE_MILLISECONDS);
  await bench.setFaults({ outage: false });
  const result = await applied;
  const next = ACCEPTED_EXIT_CODES.includes(result.exitCode)
    ? generation + 1
    : generation;
  await bench.expectInForce("outage", next);
  const again = await bench.apply("after-outage");
  expectExit(bench, "outage", again, ACCEPTED_EXIT_CODES);
  await bench.expectInForce("afterOutage", next + 1);
  return next + 1;
}

async function countKeys({ fleet }: Bench): Promise<number> {
  const response = await fetch(
    `http://${fleet.platform.address}/control/state`,
  );
  const { keys } = await response.json() as { keys: string[] };
  return keys.filter((key) => key.startsWith("configuration/chunk/")).length;
}

/** Reads after an outage bring an old head; no router goes back to it. */
async function readStale(bench: Bench, generation: number): Promise<void> {
  await bench.setFaults({ outage: true });
  await sleep(OUTAGE_MILLISECONDS);
  await bench.setFaults({ outage: false, staleWrites: 6 });
  await sleep(IN_FORCE_MILLISECONDS);
  await bench.expectInForce("staleRead", generation);
  await bench.setFaults({ staleWrites: 0 });
}

/** A router that starts while the platform is down takes over from its peers. */
async function startInOutage(bench: Bench, generation: number): Promise<void> {
  await bench.fleet.routers[0]?.kill();
  await bench.setFaults({ outage: true });
  await bench.fleet.restartRouter(0);
  await bench.expectInForce("startInOutage", generation);
  await bench.setFaults({ outage: false });
}

/** Watches that never answer again must not keep a change from the routers. */
async function silenceWatches(
  bench: Bench,
  generation: number,
): Promise<number> {
  await bench.setFaults({ silentWatches: true });
  const result = await bench.apply("silent-watch");
  expectExit(bench, "silentWatch", result, ACCEPTED_EXIT_CODES);
  await bench.expectInForce("silentWatch", generation + 1);
  await bench.setFaults({ silentWatches: false });
  return generation + 1;
}

/** The store loses its last writes; the fleet keeps its generation and says so. */
async function rollBack(bench: Bench, generation: number): Promise<void> {
  await control(bench.fleet, "roll_back", { writes: 4 });
  const alarmed = await waitUntil(async () => {
    const all = await Promise.all(
      bench.fleet.routerAddresses.map(readRouterStatus),
    );
    return all.some((status) =>
      status?.alarms.includes("configuration_store_went_back")
    );
  }, 2 * IN_FORCE_MILLISECONDS);
  if (alarmed === undefined) bench.faults.push("rollBack: no alarm");
  await bench.expectInForce("rollBack", generation);
  const refused = await bench.apply("rolled-back");
  expectExit(bench, "rollBack", refused, [1]);
  const chosen = generation + 1;
  const repaired = await bench.apply(
    "repaired",
    "--generation",
    String(chosen),
  );
  expectExit(bench, "repair", repaired, ACCEPTED_EXIT_CODES);
  await bench.expectInForce("repair", chosen);
}

/** Notes every decrease of a router's generation while a run goes on. */
function watchGenerations(bench: Bench): () => Promise<void> {
  let running = true;
  const highest = new Map<string, number>();
  async function poll(): Promise<void> {
    while (running) {
      for (const address of bench.fleet.routerAddresses) {
        const generation = (await readRouterStatus(address))?.generation;
        if (generation === undefined) continue;
        const before = highest.get(address) ?? 0;
        if (generation < before) {
          bench.faults.push(
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
    running = false;
    await polling;
  };
}

type Events = (bench: Bench, seed: number) => Promise<void>;

async function runEvents(
  seed: number,
  events: Events,
): Promise<InvariantOutcome> {
  const bench = await createBench();
  const endWatch = watchGenerations(bench);
  try {
    await bench.expectInForce("start", FIRST_GENERATION);
    await events(bench, seed);
    return bench;
  } finally {
    await endWatch();
    await bench.fleet.stop();
  }
}

async function runAllEvents(bench: Bench): Promise<void> {
  let generation = await race(bench, FIRST_GENERATION);
  generation = await loseReply(bench, generation);
  generation = await failBetween(bench, generation);
  await readStale(bench, generation);
  await startInOutage(bench, generation);
  generation = await silenceWatches(bench, generation);
  await rollBack(bench, generation);
}

/** Shows that the bound can fail: a paused router does not adopt a change. */
async function applyWithPausedRouter(
  bench: Bench,
  seed: number,
): Promise<void> {
  const router = bench.fleet.routers[seed % ROUTERS];
  router?.pause();
  await bench.apply("paused");
  await bench.expectInForce("paused", FIRST_GENERATION + 1);
}

/** Configuration under faults of the platform and of operators. */
export const CONFIGURATION_INVARIANTS: readonly Invariant[] = [
  {
    name: "configuration_faults",
    promise:
      "an accepted configuration is in force on every router within 5 s and never reverts",
    isNaive: false,
    run: ({ seed }: InvariantOptions) => runEvents(seed, runAllEvents),
  },
  {
    name: "configuration_frozen_router",
    promise: "the same check with a router that stands still",
    isNaive: true,
    run: ({ seed }: InvariantOptions) => runEvents(seed, applyWithPausedRouter),
  },
];
