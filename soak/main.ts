/**
 * Soak test: runs routers as separate processes, injects faults from outside
 * while callers send requests, and checks the guarantees afterwards.
 */
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { cac } from "cac";
import { buildRunCommand } from "../platform/bundled_program.ts";
import { type FaultKind, isFaultKind } from "./fault_schedule.ts";
import { FAILED_SEEDS, kindsOfSeed } from "./failed_seeds.ts";
import type { SoakResult } from "./soak_result.ts";
import { runSoak } from "./soak_run.ts";

const MILLISECONDS_IN_SECOND = 1_000;
/** Maximum number of guarantee violations printed for a run. */
const PRINTED_LINES = 200;

interface _Arguments {
  readonly seed: string;
  readonly runs: string;
  readonly routers: string;
  readonly seconds: string;
  readonly only?: string;
  readonly regressions?: boolean;
}

function _print(result: SoakResult, logFolder: string): void {
  const { seed, requests, served, undisturbed, faults, broken, stalls } =
    result;
  const { peakMegabytes } = result;
  const memory = peakMegabytes === undefined
    ? ""
    : `, routers took up to ${peakMegabytes} MB`;
  const stall = Math.round(result.longestStallMilliseconds);
  console.log(
    `seed ${seed}: ${requests} requests, ${served} served, ${undisturbed} undisturbed, ${faults.length} faults, longest stall of the soak ${stall} ms (${stalls.length} count as disturbances)${memory}, ${broken.length} guarantee violations`,
  );
  if (broken.length === 0) return;
  for (const line of broken.slice(0, PRINTED_LINES)) console.log(`  ${line}`);
  for (const line of faults) console.log(`    fault ${line}`);
  for (const { from, until } of stalls) {
    console.log(
      `    stall of the soak from ${Math.round(from)} to ${
        Math.round(until)
      } ms`,
    );
  }
  console.log(`    logs in ${logFolder}`);
}

function _parseFaultKinds(
  only: string | undefined,
): readonly FaultKind[] | undefined {
  if (only === undefined) return undefined;
  const kinds = only.split(",");
  const unknown = kinds.filter((kind) => !isFaultKind(kind));
  if (unknown.length > 0) throw new Error(`unknown faults: ${unknown.join()}`);
  return kinds.filter(isFaultKind);
}

async function _run(options: _Arguments): Promise<boolean> {
  const firstSeed = Number(options.seed);
  const seeds = options.regressions
    ? FAILED_SEEDS.map(({ seed }) => seed)
    : Array.from({ length: Number(options.runs) }, (_, index) =>
      firstSeed + index);
  const selected = _parseFaultKinds(options.only);
  const command = await buildRunCommand();
  let failedRuns = 0;
  for (const seed of seeds) {
    const logFolder = await mkdtemp(join(tmpdir(), `soak-${seed}-`));
    const kinds = selected ?? kindsOfSeed(seed);
    const result = await runSoak({
      seed,
      routers: Number(options.routers),
      faultMilliseconds: Number(options.seconds) * MILLISECONDS_IN_SECOND,
      command,
      logFolder,
      ...(kinds ? { kinds } : {}),
    });
    _print(result, logFolder);
    if (result.broken.length > 0) failedRuns++;
  }
  console.log(`${seeds.length} runs, ${failedRuns} with guarantee violations`);
  return failedRuns === 0;
}

const command = cac("soak");
command.command("", "Runs the soak test")
  .option("--seed <number>", "Seed of the first run", { default: "1" })
  .option("--runs <number>", "Number of runs; each increases the seed by one", {
    default: "1",
  })
  .option("--routers <number>", "Number of router processes", { default: "4" })
  .option("--seconds <number>", "Seconds during which faults are injected", {
    default: "15",
  })
  .option("--only <kinds>", "Kinds of faults to inject, separated by commas")
  .option("--regressions", "Runs all seeds that have ever failed")
  .action(async (options: _Arguments) => {
    process.exitCode = await _run(options) ? 0 : 1;
  });
command.help();
command.parse();
