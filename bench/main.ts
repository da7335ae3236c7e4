/** The bench command: runs one bench by name and exits 1 if a bound is broken. */
import { cac } from "cac";
import {
  type BenchReport,
  hasPassed,
  isMet,
  type RunBench,
} from "./bench_report.ts";

const BENCHES: Readonly<Record<string, () => Promise<{ runBench: RunBench }>>> =
  {
    affinity: () => import("./affinity.ts"),
    control: () => import("./control.ts"),
    decision: () => import("./decision.ts"),
    gateway: () => import("./gateway_overhead.ts"),
    orders: () => import("./orders_bench.ts"),
    overhead: () => import("./overhead.ts"),
    slopes: () => import("./slopes.ts"),
    skew: () => import("./skew.ts"),
    traffic: () => import("./traffic.ts"),
  };

const DEFAULT_SEED = 1;

function printReport(report: BenchReport, json: boolean): void {
  if (!json) {
    console.table(report.rows);
    for (const bound of report.bounds) {
      const sign = bound.comparison === "at_most" ? "<=" : ">=";
      const verdict = isMet(bound) ? "held  " : "BROKEN";
      console.log(
        `${verdict} ${bound.name}: ${bound.value} ${sign} ${bound.limit}`,
      );
    }
    return;
  }
  const bounds = report.bounds.map((bound) => ({
    ...bound,
    held: isMet(bound),
  }));
  console.log(JSON.stringify({ ...report, bounds, passed: hasPassed(report) }));
}

async function runNamedBench(
  name: string | undefined,
  options: { json?: boolean; large?: boolean; seed?: number; write?: boolean },
): Promise<void> {
  const load = name === undefined ? undefined : BENCHES[name];
  if (!load) {
    console.error(
      `usage: npm run bench -- NAME; names: ${Object.keys(BENCHES).join(", ")}`,
    );
    process.exitCode = 2;
    return;
  }
  const { runBench } = await load();
  const report = await runBench({
    seed: options.seed ?? DEFAULT_SEED,
    large: options.large ?? false,
    write: options.write ?? false,
  });
  printReport(report, options.json ?? false);
  process.exitCode = hasPassed(report) ? 0 : 1;
}

const command = cac("bench");
command.command("[name]", "Runs one bench")
  .option("--json", "Print one JSON object as the last line")
  .option("--large", "Use the larger sizes")
  .option("--write", "Update the files that hold the figures (slopes)")
  .option("--seed <number>", "Seed of the random numbers")
  .action(runNamedBench);
command.help();
command.parse();
