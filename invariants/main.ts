/**
 * Executes the failure runs and prints a last JSON line of the runs that held and
 * that broke, each with its seed. Exits 1 if any run broke.
 */
import { cac } from "cac";
import { AT_MOST_ONCE_INVARIANTS } from "./at_most_once.ts";
import { CONFIGURATION_INVARIANTS } from "./configuration.ts";
import { GRACEFUL_STOP_INVARIANTS } from "./graceful_stop.ts";
import { ISOLATION_INVARIANTS } from "./isolation.ts";
import { LIMITS_INVARIANTS } from "./limits.ts";
import { LONG_REQUESTS_INVARIANTS } from "./long_requests_at_stop.ts";
import { MEMBERSHIP_INVARIANTS } from "./membership.ts";
import type { Invariant, InvariantOutcome } from "./invariant.ts";
import { WHOLE_ANSWERS_INVARIANTS } from "./whole_answers.ts";

const INVARIANTS: readonly Invariant[] = [
  ...AT_MOST_ONCE_INVARIANTS,
  ...GRACEFUL_STOP_INVARIANTS,
  ...LONG_REQUESTS_INVARIANTS,
  ...MEMBERSHIP_INVARIANTS,
  ...CONFIGURATION_INVARIANTS,
  ...WHOLE_ANSWERS_INVARIANTS,
  ...ISOLATION_INVARIANTS,
  ...LIMITS_INVARIANTS,
];

const DEFAULT_SEED = 1;
const MAXIMUM_PRINTED_FAULTS = 5;

interface RunResult {
  readonly name: string;
  readonly seed: number;
  readonly held: boolean;
  readonly naive: boolean;
  readonly faults: number;
  readonly figures: InvariantOutcome["figures"];
  readonly seconds: number;
}

interface InvariantsCommandOptions {
  readonly seed?: number;
  readonly rounds?: number;
  readonly routers?: number;
  readonly json?: boolean;
}

async function executeRun(
  invariant: Invariant,
  options: InvariantsCommandOptions,
): Promise<RunResult> {
  const seed = options.seed ?? DEFAULT_SEED;
  const startedAt = performance.now();
  const { faults, figures } = await invariant.run({
    seed,
    rounds: options.rounds,
    routers: options.routers,
  });
  const held = invariant.isNegativeControl
    ? faults.length > 0
    : faults.length === 0;
  if (!options.json) {
    const expectation = invariant.isNegativeControl
      ? " (negative control, must report faults)"
      : "";
    console.log(
      `${held ? "held  " : "BROKEN"} ${invariant.name}${expectation}`,
    );
    console.log(`       ${invariant.guarantee} ${JSON.stringify(figures)}`);
    for (const fault of faults.slice(0, MAXIMUM_PRINTED_FAULTS)) {
      console.log(`       ${fault}`);
    }
  }
  return {
    name: invariant.name,
    seed,
    held,
    naive: invariant.isNegativeControl,
    faults: faults.length,
    figures,
    seconds: Math.round((performance.now() - startedAt) / 100) / 10,
  };
}

async function runAll(
  name: string | undefined,
  options: InvariantsCommandOptions,
): Promise<void> {
  const selected = INVARIANTS.filter((invariant) =>
    name === undefined || invariant.name === name
  );
  if (selected.length === 0) {
    console.error(
      `unknown failure run; names: ${
        INVARIANTS.map((entry) => entry.name).join(", ")
      }`,
    );
    process.exitCode = 2;
    return;
  }
  const results: RunResult[] = [];
  for (const invariant of selected) {
    results.push(await executeRun(invariant, options));
  }
  const held = results.filter((result) => result.held);
  const broken = results.filter((result) => !result.held);
  console.log(JSON.stringify({ held, broken }));
  process.exitCode = broken.length === 0 ? 0 : 1;
}

const command = cac("invariants");
command.command("[name]", "Executes all failure runs, or the named one")
  .option("--seed <number>", "Seed of the random failures")
  .option("--rounds <number>", "Rounds of random failures in each run")
  .option("--routers <number>", "Routers of long_requests_at_stop")
  .option("--json", "Print only the JSON line at the end")
  .action(runAll);
command.help();
command.parse();
