/**
 * What a router adds to a request: its time and its requests a second as ratios
 * to a bare fastify and undici proxy, in alternating rounds of one run. Times
 * are medians over rounds, so that noise on a shared machine does not decide.
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
/** The stated target: a request takes at most this multiple of the bare proxy's time. */
const TIME_TARGET = 1.3;

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
  const answer = await target.pool.request({
    method,
    path: target.prefix + path,
    headers: { authorization: `Bearer ${workspaceKey("temple")}` },
  });
  await answer.body.dump();
  if (answer.statusCode !== 200) {
    throw new Error(`${target.process.name}: ${answer.statusCode}`);
  }
}

/** Sends requests over a number of workers. */
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

async function _compare(
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
    elapsed: median(each.map(({ elapsed }) => elapsed)),
    // Ticks of 10 ms are too coarse for one round.
    processor: _sum(each.map(({ processor }) => processor)) / ROUNDS,
  })) as [RequestCost, RequestCost];
  return {
    call: method === "GET" ? "idempotent" : "non-idempotent",
    workers,
    bareMicroseconds: Math.round(bare.elapsed),
    routerMicroseconds: Math.round(router.elapsed),
    elapsedRatio: _ratio(router.elapsed, bare.elapsed),
    bareProcessorMicroseconds: Math.round(bare.processor),
    routerProcessorMicroseconds: Math.round(router.processor),
    processorRatio: _ratio(router.processor, bare.processor),
  };
}

/** Measures the router's share of a request against the bare proxy. */
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
      await _compare(targets, "GET", 1),
      await _compare(targets, "GET", CONNECTIONS),
      await _compare(targets, "POST", 1),
      await _compare(targets, "POST", CONNECTIONS),
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
        limit: TIME_TARGET,
        isTimed: true,
      })),
    };
  } finally {
    await Promise.all(pools.map((pool) => pool.close()));
    await group.stop();
    await fleet.stop();
  }
}
