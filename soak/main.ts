/**
 * The soak: runs the platform's program as separate processes, injects faults
 * from outside, and checks the promises while callers use it.
 */
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { cac } from "cac";
import { FAULT_WEIGHTS, type FaultKind } from "./fault_schedule.ts";
import { FAILED_SEEDS } from "./failed_seeds.ts";
import { runSoak, type SoakResult } from "./soak_run.ts";

const MILLISECONDS_IN_SECOND = 1_000;
const SHOWN_LINES = 10;

interface _Arguments {
  readonly seed: string;
  readonly runs: string;
  readonly routers: string;
  readonly seconds: string;
  readonly only?: string;
  readonly regressions?: boolean;
}

function _print(result: SoakResult, logFolder: string): void {
  const { seed, requests, served, faults, broken } = result;
  console.log(
    `seed ${seed}: ${requests} requests, ${served} served, ${faults.length} faults, ${broken.length} broken promises`,
  );
  if (broken.length === 0) return;
  for (const line of broken.slice(0, SHOWN_LINES)) console.log(`  ${line}`);
  for (const line of faults) console.log(`    fault ${line}`);
  console.log(`    logs in ${logFolder}`);
}

function _kindsOf(only: string | undefined): readonly FaultKind[] | undefined {
  if (only === undefined) return undefined;
  const kinds = only.split(",");
  const unknown = kinds.filter((kind) => !(kind in FAULT_WEIGHTS));
  if (unknown.length > 0) throw new Error(`unknown faults: ${unknown.join()}`);
  return kinds as FaultKind[];
}

async function _run(options: _Arguments): Promise<boolean> {
  const first = Number(options.seed);
  const seeds = options.regressions
    ? FAILED_SEEDS.map(({ seed }) => seed)
    : Array.from({ length: Number(options.runs) }, (_, index) => first + index);
  const kinds = _kindsOf(options.only);
  let broken = 0;
  for (const seed of seeds) {
    const logFolder = await mkdtemp(join(tmpdir(), `soak-${seed}-`));
    const result = await runSoak({
      seed,
      routers: Number(options.routers),
      faultMilliseconds: Number(options.seconds) * MILLISECONDS_IN_SECOND,
      logFolder,
      ...(kinds ? { kinds } : {}),
    });
    _print(result, logFolder);
    if (result.broken.length > 0) broken++;
  }
  console.log(`${seeds.length} runs, ${broken} with broken promises`);
  return broken === 0;
}

const command = cac("soak");
command.command("", "Runs the soak")
  .option("--seed <number>", "First seed", { default: "1" })
  .option("--runs <number>", "Runs, with seeds that follow", { default: "1" })
  .option("--routers <number>", "Router processes", { default: "4" })
  .option("--seconds <number>", "Seconds with faults", { default: "15" })
  .option("--only <kinds>", "Kinds of faults, separated by commas")
  .option("--regressions", "Runs the seeds that ever failed")
  .action(async (options: _Arguments) => {
    process.exitCode = await _run(options) ? 0 : 1;
  });
command.help();
command.parse();
