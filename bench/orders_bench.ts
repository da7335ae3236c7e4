/** Compares the order task with a naive one under the same faults. */
import { createSeededRandom } from "../src/core/random.ts";
import { createOrderTask } from "../src/order_task.ts";
import type { BenchOptions, BenchReport } from "./bench_report.ts";
import { createNaiveOrderTask } from "./naive_orders.ts";
import {
  type SimulatedFault,
  simulateOrders,
  type SimulationReport,
} from "./order_simulation.ts";

const FAULT_KINDS: readonly SimulatedFault["kind"][] = [
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
const LARGE_RUNS = 60;

function createFaults(seed: number): SimulatedFault[] {
  const random = createSeededRandom(seed);
  return Array.from({ length: FAULTS_PER_RUN }, () => ({
    atSeconds: 20 + random.integer(160),
    kind: FAULT_KINDS[random.integer(FAULT_KINDS.length)] ?? "kill",
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

/** Runs both order tasks under the same faults. */
export async function runBench(
  { seed, large }: BenchOptions,
): Promise<BenchReport> {
  const leased: SimulationReport[] = [];
  const naive: SimulationReport[] = [];
  for (let run = 0; run < (large ? LARGE_RUNS : RUNS); run++) {
    const faults = createFaults(seed + run);
    leased.push(await simulateOrders(seed + run, faults, createOrderTask));
    naive.push(await simulateOrders(seed + run, faults, createNaiveOrderTask));
  }
  const violationCount = leased.flatMap((report) => report.violations).length;
  const unconverged = leased.filter((report) => !report.converged).length;
  return {
    name: "orders",
    rows: [summarize("leased", leased), summarize("naive", naive)],
    bounds: [
      {
        name: "broken rules",
        value: violationCount,
        comparison: "at_most",
        limit: 0,
      },
      {
        name: "runs not converged",
        value: unconverged,
        comparison: "at_most",
        limit: 0,
      },
    ],
  };
}
