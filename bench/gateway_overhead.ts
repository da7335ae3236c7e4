/**
 * Measures the overhead of a gateway per request and per streamed event, as the
 * ratio of its CPU time to that of a bare proxy of node:http and undici. Rounds
 * of both alternate within one run. Also measures the time to write a log line.
 */
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import { Pool } from "undici";
import { createDecisionLog } from "../src/decision_log.ts";
import { DEFAULT_HEADER_NAMES } from "../src/gateway_protocol.ts";
import type { Clock } from "../src/timer_service.ts";
import { createMemoryOutput } from "../stand_ins/memory_output.ts";
import {
  createProcessGroup,
  type ManagedProcess,
} from "../stand_ins/processes.ts";
import {
  type ReceivedRequest,
  responseHeaders,
  startRawBackend,
} from "../stand_ins/raw_backend.ts";
import type { BenchOptions, BenchReport, BenchRow } from "./bench_report.ts";
import { median } from "./median.ts";
import { measureRequests } from "./request_cost.ts";

const ROUNDS = 15;
const CONNECTIONS = 8;
const CALLS_PER_ROUND = 400;
const WARM_UP_CALLS = 2_000;
const STREAMS_PER_ROUND = 16;
const EVENTS_PER_STREAM = 200;
const EVENT_PAUSE_MILLISECONDS = 1;
const LOG_LINES = 20_000;
/** Performance targets, as multiples of the CPU time of the bare proxy. */
const CALL_TARGET_RATIO = 1.5;
const EVENT_TARGET_RATIO = 1.2;

interface Target {
  readonly process: ManagedProcess;
  readonly pool: Pool;
}

function _writeEvents(response: ServerResponse, remaining: number): void {
  if (remaining === 0) return void response.end();
  response.write(`data: ${remaining}\n\n`);
  setTimeout(
    () => _writeEvents(response, remaining - 1),
    EVENT_PAUSE_MILLISECONDS,
  );
}

function _respond(received: ReceivedRequest, response: ServerResponse): void {
  const isStream = received.path.startsWith("/events/");
  response.writeHead(200, responseHeaders(received.id));
  if (isStream) _writeEvents(response, EVENTS_PER_STREAM);
  else response.end(`ran ${received.path}`);
}

async function _send(target: Target, path: string): Promise<void> {
  const response = await target.pool.request({
    method: "GET",
    path,
    headers: {
      host: "shop.example",
      authorization: "Bearer temple-key",
      [DEFAULT_HEADER_NAMES.requestId]: randomUUID(),
    },
  });
  await response.body.dump({ limit: Infinity });
  if (response.statusCode !== 200) {
    throw new Error(`${target.process.name}: status ${response.statusCode}`);
  }
}

/** Returns the CPU time of the measured process in microseconds per request. */
async function _measure(
  target: Target,
  path: string,
  requests: number,
): Promise<number> {
  const { processorMicroseconds } = await measureRequests(
    target.process,
    { requests, workers: CONNECTIONS },
    (item) => _send(target, `${path}${item}`),
  );
  return processorMicroseconds;
}

/** CPU times of the bare proxy and the gateway, in microseconds. */
type CostPair = readonly [number, number];

async function _measureRound(
  targets: readonly [Target, Target],
): Promise<{ readonly call: CostPair; readonly event: CostPair }> {
  const call: [number, number] = [0, 0];
  const event: [number, number] = [0, 0];
  for (const index of [0, 1] as const) {
    const target = targets[index];
    call[index] = await _measure(target, "/calls/", CALLS_PER_ROUND);
    const stream = await _measure(target, "/events/", STREAMS_PER_ROUND);
    event[index] = (stream - call[index]) / EVENTS_PER_STREAM;
  }
  return { call, event };
}

/** Returns medians over all rounds, also of the ratios within each round. */
function _createRow(
  unit: string,
  costs: readonly CostPair[],
): BenchRow & { readonly ratio: number } {
  const bare = median(costs.map((each) => each[0]));
  const gateway = median(costs.map((each) => each[1]));
  const ratio = median(costs.map((each) => each[1] / each[0]));
  return {
    unit,
    bareMicroseconds: Number(bare.toFixed(1)),
    gatewayMicroseconds: Number(gateway.toFixed(1)),
    ratio: Number(ratio.toFixed(2)),
  };
}

/** Returns the time to log one request, in microseconds. */
function _measureLogLine(): number {
  const lines: string[] = [];
  let now = 0;
  const clock: Clock = {
    monotonicMilliseconds: () => (now += 1_000),
    wallMilliseconds: () => now,
  };
  const log = createDecisionLog({
    clock,
    output: createMemoryOutput(lines),
    base: { host: "entry-1" },
  });
  const startedAt = performance.now();
  for (let number = 0; number < LOG_LINES; number++) {
    log.write("request.placed", {
      request: `request-${number}`,
      server: "server-1",
      route: "calls",
      load: number % 8,
      ageMilliseconds: 12,
      attempt: 1,
    });
  }
  const elapsed = performance.now() - startedAt;
  if (lines.length < LOG_LINES) throw new Error("the log dropped lines");
  return 1_000 * elapsed / LOG_LINES;
}

async function _runRounds(
  targets: readonly [Target, Target],
): Promise<BenchReport> {
  for (const target of targets) {
    await _measure(target, "/calls/", WARM_UP_CALLS);
    await _measure(target, "/events/", STREAMS_PER_ROUND);
  }
  const rounds = [];
  for (let round = 0; round < ROUNDS; round++) {
    rounds.push(await _measureRound(targets));
  }
  const call = _createRow("call", rounds.map((round) => round.call));
  const event = _createRow("event", rounds.map((round) => round.event));
  const line = Number(_measureLogLine().toFixed(1));
  return {
    name: "gateway",
    rows: [call, event, { unit: "log line", gatewayMicroseconds: line }],
    bounds: [{
      name: "processor time of a call over the bare proxy's",
      value: call.ratio,
      comparison: "at_most",
      limit: CALL_TARGET_RATIO,
      isTimed: true,
    }, {
      name: "processor time of an event over the bare proxy's",
      value: event.ratio,
      comparison: "at_most",
      limit: EVENT_TARGET_RATIO,
      isTimed: true,
    }],
  };
}

/** Compares the CPU time of the gateway with that of the bare proxy. */
export async function runBench(_options: BenchOptions): Promise<BenchReport> {
  const backend = await startRawBackend();
  backend.script(_respond);
  const group = createProcessGroup();
  const pools: Pool[] = [];
  async function start(name: string, program: string): Promise<Target> {
    const process = await group.start(name, program, [
      "--backend",
      backend.address,
    ]);
    const pool = new Pool(`http://${process.address}`, {
      connections: CONNECTIONS,
    });
    pools.push(pool);
    return { process, pool };
  }
  try {
    return await _runRounds([
      await start("bare", "bench/bare_stream_proxy_main.js"),
      await start("gateway", "bench/gateway_main.js"),
    ]);
  } finally {
    await Promise.all(pools.map((pool) => pool.close()));
    await group.stop();
    await backend.close();
  }
}
