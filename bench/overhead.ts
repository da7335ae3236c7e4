/**
 * Measures the overhead of a router per request, as the ratios of its elapsed
 * and CPU time to those of a bare fastify and undici proxy. Rounds of both
 * alternate within one run. Elapsed times are medians over rounds, which limits
 * the effect of noise on a shared machine.
 */
import { Pool } from "undici";
import { startFleetProcesses } from "../stand_ins/fleet_processes.ts";
import { STAND_IN_SERVICE, workspaceKey } from "../stand_ins/fleet_text.ts";
import {
  createProcessGroup,
  type ManagedProcess,
} from "../stand_ins/processes.ts";
import type { BenchOptions, BenchReport, BenchRow } from "./bench_report.ts";
import { median } from "./median.ts";
import { measureRequests, type RequestCost } from "./request_cost.ts";

const ROUNDS = 9;
const REQUESTS_PER_ROUND = 400;
const WARM_UP_REQUESTS = 1_500;
const CONNECTIONS = 8;
/** Performance target: the largest multiple of the bare proxy's elapsed time. */
const TIME_TARGET_RATIO = 1.3;

type Method = "GET" | "POST";

interface Target {
  readonly process: ManagedProcess;
  readonly pool: Pool;
  readonly prefix: string;
}

async function _send(
  target: Target,
  method: Method,
  item: number,
): Promise<void> {
  const path = method === "GET" ? `/slots/${item}` : `/slots/${item}/release`;
  const response = await target.pool.request({
    method,
    path: target.prefix + path,
    headers: { authorization: `Bearer ${workspaceKey("temple")}` },
  });
  await response.body.dump();
  if (response.statusCode !== 200) {
    throw new Error(`${target.process.name}: status ${response.statusCode}`);
  }
}

/** Measures a target with requests from concurrent workers. */
function _measure(
  target: Target,
  method: Method,
  workers: number,
  requests: number,
): Promise<RequestCost> {
  return measureRequests(
    target.process,
    { requests, workers },
    (item) => _send(target, method, item),
  );
}

function _ratio(router: number, bare: number): number {
  return Math.round(100 * router / bare) / 100;
}

function _sum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

async function _compareTargets(
  targets: readonly [Target, Target],
  method: Method,
  workers: number,
): Promise<BenchRow & { readonly elapsedRatio: number }> {
  const costs: [RequestCost[], RequestCost[]] = [[], []];
  for (let round = 0; round < ROUNDS; round++) {
    for (const index of [0, 1] as const) {
      costs[index].push(
        await _measure(targets[index], method, workers, REQUESTS_PER_ROUND),
      );
    }
  }
  const [bare, router] = costs.map((each) => ({
    elapsedMicroseconds: median(
      each.map(({ elapsedMicroseconds }) => elapsedMicroseconds),
    ),
    // CPU time comes in ticks of 10 ms, too coarse for the median of single rounds.
    processorMicroseconds:
      _sum(each.map(({ processorMicroseconds }) => processorMicroseconds)) /
      ROUNDS,
  })) as [RequestCost, RequestCost];
  return {
    call: method === "GET" ? "idempotent" : "non-idempotent",
    workers,
    bareMicroseconds: Math.round(bare.elapsedMicroseconds),
    routerMicroseconds: Math.round(router.elapsedMicroseconds),
    elapsedRatio: _ratio(router.elapsedMicroseconds, bare.elapsedMicroseconds),
    bareProcessorMicroseconds: Math.round(bare.processorMicroseconds),
    routerProcessorMicroseconds: Math.round(router.processorMicroseconds),
    processorRatio: _ratio(
      router.processorMicroseconds,
      bare.processorMicroseconds,
    ),
  };
}

/** Compares the time of requests through the router and through the bare proxy. */
export async function runBench(_options: BenchOptions): Promise<BenchReport> {
  const fleet = await startFleetProcesses({
    dataCentres: ["north"],
    routers: 1,
    engines: 1,
    services: 1,
    workspaces: ["temple"],
    workspaceKeys: { requests_per_second: 1_000_000, concurrency: 100_000 },
  });
  const group = createProcessGroup();
  const pools: Pool[] = [];
  try {
    const backend = fleet.services[0]?.address ?? "";
    const proxy = await group.start("bare", "bench/bare_proxy_main.js", [
      "--backend",
      backend,
    ]);
    function createTarget(
      process: ManagedProcess,
      prefix: string,
    ): Target {
      const pool = new Pool(`http://${process.address}`, {
        connections: CONNECTIONS,
      });
      pools.push(pool);
      return { process, pool, prefix };
    }
    const targets = [
      createTarget(proxy, ""),
      createTarget(
        fleet.routers[0] as ManagedProcess,
        `/v1/services/${STAND_IN_SERVICE}`,
      ),
    ] as const;
    for (const target of targets) {
      await _measure(target, "GET", CONNECTIONS, WARM_UP_REQUESTS);
    }
    const rows = [
      await _compareTargets(targets, "GET", 1),
      await _compareTargets(targets, "GET", CONNECTIONS),
      await _compareTargets(targets, "POST", 1),
      await _compareTargets(targets, "POST", CONNECTIONS),
    ];
    return {
      name: "overhead",
      rows,
      bounds: rows.slice(0, 2).map((row) => ({
        name: `time of an idempotent call over the bare proxy's, ${
          String(row["workers"])
        } workers`,
        value: row.elapsedRatio,
        comparison: "at_most",
        limit: TIME_TARGET_RATIO,
        isTimed: true,
      })),
    };
  } finally {
    await Promise.all(pools.map((pool) => pool.close()));
    await group.stop();
    await fleet.stop();
  }
}
