/** Compares the order-giver with the naive one under the same faults. */
import { createSeededRandom } from "../src/core/random.ts";
import { createOrderTask } from "../src/order_task.ts";
import type { BenchOptions, BenchReport } from "./bench_report.ts";
import { createNaiveOrderTask } from "./naive_orders.ts";
import {
  type SimulatedFault,
  simulateOrders,
  type SimulationReport,
} from "./order_simulation.ts";

const KINDS: readonly SimulatedFault["kind"][] = [
  "kill",
  "pause",
  "separate",
  "cut_off",
  "platform_outage",
  "lost_replies",
  "late_orders",
  "new_floor",
];
const FAULTS_PER_RUN = 12;
const RUNS = 6;
const RUNS_LARGE = 60;

function createFaults(seed: number): SimulatedFault[] {
  const random = createSeededRandom(seed);
  return Array.from({ length: FAULTS_PER_RUN }, () => ({
    atSeconds: 20 + random.integer(160),
    kind: KINDS[random.integer(KINDS.length)] ?? "kill",
    router: random.integer(4),
    seconds: 1 + random.integer(60),
  }));
}

function summarize(giver: string, reports: readonly SimulationReport[]) {
  const violations = reports.flatMap((report) => report.violations);
  function count(pattern: RegExp): number {
    return violations.filter((text) => pattern.test(text)).length;
  }
  return {
    giver,
    runs: reports.length,
    converged: reports.filter((report) => report.converged).length,
    older_orders_obeyed: count(/older order|earlier holder/),
    below_floor: count(/floor/),
    loads_over_rate: count(/loads in a minute/),
    orders: reports.reduce((sum, report) => sum + report.orders, 0),
    loads: reports.reduce((sum, report) => sum + report.loads, 0),
  };
}

/** Runs both order-givers under the same faults. */
export async function runBench(
  { seed, large }: BenchOptions,
): Promise<BenchReport> {
  const careful: SimulationReport[] = [];
  const naive: SimulationReport[] = [];
  for (let run = 0; run < (large ? RUNS_LARGE : RUNS); run++) {
    const faults = createFaults(seed + run);
    careful.push(await simulateOrders(seed + run, faults, createOrderTask));
    naive.push(await simulateOrders(seed + run, faults, createNaiveOrderTask));
  }
  const broken = careful.flatMap((report) => report.violations).length;
  const open = careful.filter((report) => !report.converged).length;
  return {
    name: "orders",
    rows: [summarize("leased", careful), summarize("naive", naive)],
    bounds: [
      { name: "broken rules", value: broken, comparison: "at_most", limit: 0 },
      {
        name: "runs not converged",
        value: open,
        comparison: "at_most",
        limit: 0,
      },
    ],
  };
}
