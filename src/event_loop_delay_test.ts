import { execFile } from "node:child_process";
import { createHistogram, monitorEventLoopDelay } from "node:perf_hooks";
import { promisify } from "node:util";
import fc from "fast-check";
import test from "ava";
import { type LogLine, safeParseLogLine } from "./core/log_explanation.ts";
import { createDecisionLog } from "./decision_log.ts";
import {
  createEventLoopDelay,
  DELAY_RESOLUTION_MILLISECONDS,
  type DelayMonitor,
  MINIMUM_DELAY_MILLISECONDS,
  MINIMUM_LOGGED_DELAY_MILLISECONDS,
} from "./event_loop_delay.ts";
import { createGatewayMetrics } from "./gateway_metrics.ts";
import { createManualTimerService } from "./timer_service.ts";
import type { GatewayInTest } from "../stand_ins/gateway_fleet.ts";
import {
  startBench,
  stopBenches,
  waitUntil,
} from "../stand_ins/gateway_test_bench.ts";
import { createMemoryOutput } from "../stand_ins/memory_output.ts";

const METRIC = "sapphirecart_gateway_event_loop_delay_seconds";
const NANOSECONDS_PER_MILLISECOND = 1e6;
/** Relative error of a value that a monitor of `perf_hooks` returns. */
const MONITOR_ERROR_RATIO = 0.001;

test.after.always(stopBenches);

/** Returns the value of each line of the histogram by its suffix and label. */
function readHistogram(metricsText: string): Map<string, number> {
  const rows = metricsText.matchAll(
    new RegExp(`^${METRIC}_(bucket|sum|count)(?:\\{le="(.+)"\\})? (.+)$`, "gm"),
  );
  return new Map(
    Array.from(rows, ([, kind, bound = "", value]) => [
      `${kind}${bound}`,
      Number(value),
    ]),
  );
}

function countAbove(histogram: Map<string, number>, bound: string): number {
  return histogram.get("bucket+Inf")! - histogram.get(`bucket${bound}`)!;
}

function stalledLines(lines: readonly string[]): LogLine[] {
  return lines.flatMap((text) => {
    const line = safeParseLogLine(text);
    return line?.msg === "process.stalled" ? [line] : [];
  });
}

/** A monitor whose calls a test makes; like the real one, a reset forgets the last call. */
function createManualMonitor() {
  const histogram = createHistogram();
  let last: number | undefined;
  const monitor: DelayMonitor = {
    get count() {
      return histogram.count;
    },
    percentile: (percentile) => histogram.percentile(percentile),
    enable: () => undefined,
    disable: () => undefined,
    reset() {
      histogram.reset();
      last = undefined;
    },
  };
  return {
    monitor,
    call(milliseconds: number): void {
      if (last !== undefined) {
        histogram.record(
          Math.round((milliseconds - last) * NANOSECONDS_PER_MILLISECOND),
        );
      }
      last = milliseconds;
    },
  };
}

test("guards against delays that are lost, counted twice or put into a wrong bucket when the monitors take turns", async (t) => {
  const steps = fc.array(
    fc.record({
      delay: fc.oneof(
        fc.constantFrom(0, 1, 2),
        fc.constantFrom(15, 30, 70, 130, 260, 700, 1_300, 5_232),
      ),
      isObserved: fc.boolean(),
    }),
    { maxLength: 80 },
  );
  await fc.assert(
    fc.asyncProperty(steps, async (each) => {
      const timers = createManualTimerService();
      const metrics = createGatewayMetrics();
      const lines: string[] = [];
      const monitors = [createManualMonitor(), createManualMonitor()];
      let created = 0;
      const loopDelay = createEventLoopDelay({
        clock: timers.clock,
        log: createDecisionLog({
          clock: timers.clock,
          output: createMemoryOutput(lines),
          base: { host: "entry-1" },
        }),
        metrics,
        createMonitor: () => monitors[created++]!.monitor,
      });
      loopDelay.start();
      /** Makes the calls of both monitors, the second a little later. */
      function callMonitors(): void {
        const now = timers.clock.monotonicMilliseconds();
        for (const [index, monitor] of monitors.entries()) {
          monitor.call(now + index * 0.004);
        }
      }
      callMonitors();
      const delays: number[] = [];
      let previousCount = 0;
      for (
        const { delay, isObserved } of [...each, { delay: 0, isObserved: true }]
      ) {
        timers.advance(DELAY_RESOLUTION_MILLISECONDS + delay);
        callMonitors();
        delays.push(delay);
        if (!isObserved) continue;
        loopDelay.observe(3);
        const { values } = await metrics.eventLoopDelaySeconds.get();
        const count = values.find(({ metricName }) =>
          metricName?.endsWith("_count")
        )!.value;
        t.true(count >= previousCount);
        previousCount = count;
      }
      const histogram = readHistogram(await metrics.registry.metrics());
      t.is(histogram.get("count"), delays.length);
      for (
        const bound of [
          "0.01",
          "0.025",
          "0.05",
          "0.1",
          "0.2",
          "0.5",
          "1",
          "2",
          "5",
        ]
      ) {
        const above = delays.filter((delay) => delay > 1_000 * Number(bound));
        t.is(countAbove(histogram, bound), above.length, bound);
      }
      const sum = delays.filter((delay) => delay >= MINIMUM_DELAY_MILLISECONDS)
        .reduce((total, delay) => total + delay, 0) / 1_000;
      const passed = timers.clock.monotonicMilliseconds() / 1_000;
      t.true(
        Math.abs(histogram.get("sum")! - sum) <= MONITOR_ERROR_RATIO * passed,
      );
      const logged = stalledLines(lines)
        .map(({ milliseconds }) => Number(milliseconds))
        .sort((left, right) => left - right);
      const expected = delays
        .filter((delay) => delay >= MINIMUM_LOGGED_DELAY_MILLISECONDS)
        .sort((left, right) => left - right);
      t.is(logged.length, expected.length);
      for (const [index, milliseconds] of logged.entries()) {
        const error = Math.abs(milliseconds - expected[index]!);
        t.true(error <= 1 + MONITOR_ERROR_RATIO * milliseconds, `${error}`);
      }
    }),
    { seed: 35, numRuns: 200 },
  );
});

async function sleep(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Computes for a time; returns the processor time of it, in milliseconds. */
function compute(milliseconds: number): number {
  const before = process.cpuUsage();
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1_000;
}

/** Stands still for a time without using the processor. */
function pause(milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

async function fetchHistogram(
  { status }: GatewayInTest,
): Promise<Map<string, number>> {
  const response = await fetch(`http://${status}/metrics`);
  return readHistogram(await response.text());
}

test.serial("guards against a long turn of a gateway that leaves no line or two, is not counted, or does not tell a computation from a pause", async (t) => {
  const bench = await startBench();
  const [gateway] = bench.gateways as [GatewayInTest];
  const blockMilliseconds = 1_200;
  const shortestMilliseconds = blockMilliseconds -
    DELAY_RESOLUTION_MILLISECONDS - 1;
  function longLines(): LogLine[] {
    return stalledLines(gateway.lines).filter(({ milliseconds }) =>
      Number(milliseconds) >= shortestMilliseconds
    );
  }
  await sleep(600);
  const used = compute(blockMilliseconds);
  await waitUntil(() => longLines().length > 0, "the computation has a line");
  const [computed] = longLines() as [LogLine];
  t.is(computed["inFlight"], 0);
  t.true(Number(computed["processorMilliseconds"]) >= Math.floor(used));
  await sleep(600);
  pause(blockMilliseconds);
  await waitUntil(() => longLines().length > 1, "the pause has a line");
  const [, paused] = longLines() as [LogLine, LogLine];
  t.true(Number(paused["intervalMilliseconds"]) >= blockMilliseconds);
  t.true(
    Number(paused["processorMilliseconds"]) < blockMilliseconds / 2,
    JSON.stringify(paused),
  );
  // The machine may add stalls of its own, and each of them has one line as well.
  const linesBefore = stalledLines(gateway.lines).length;
  const histogram = await fetchHistogram(gateway);
  const linesAfter = stalledLines(gateway.lines).length;
  const counted = countAbove(histogram, "0.1");
  t.true(linesBefore <= counted && counted <= linesAfter, `${counted}`);
  t.true(countAbove(histogram, "1") >= 2);
  t.true(histogram.get("sum")! >= 2 * shortestMilliseconds / 1_000);
  t.true(histogram.get("count")! > countAbove(histogram, "0.01"));
});

test.serial("guards against a long turn that is missed because it began beside a check", async (t) => {
  const bench = await startBench();
  const [gateway] = bench.gateways as [GatewayInTest];
  const blockMilliseconds = 200;
  const blocks = 10;
  for (let block = 0; block < blocks; block++) {
    // The checks come every 250 ms; these turns begin at different times after one.
    await sleep(300 + 25 * block);
    compute(blockMilliseconds);
  }
  await sleep(600);
  const lines = stalledLines(gateway.lines).filter(({ milliseconds }) =>
    Number(milliseconds) >=
      blockMilliseconds - DELAY_RESOLUTION_MILLISECONDS - 1
  );
  t.true(lines.length >= blocks, `${lines.length}`);
});

test.serial("guards against a line from a gateway whose event loop is calm", async (t) => {
  const bench = await startBench();
  const [gateway] = bench.gateways as [GatewayInTest];
  const witnessMilliseconds = 10;
  // On a busy machine some seconds are not calm; a witness tells which ones are.
  for (let attempt = 0; attempt < 20; attempt++) {
    const witness = monitorEventLoopDelay({ resolution: witnessMilliseconds });
    witness.enable();
    await sleep(500);
    const before = stalledLines(gateway.lines).length;
    await sleep(1_000);
    const after = stalledLines(gateway.lines).length;
    witness.disable();
    const longest = witness.max / NANOSECONDS_PER_MILLISECOND;
    if (longest > MINIMUM_LOGGED_DELAY_MILLISECONDS - 2 * witnessMilliseconds) {
      continue;
    }
    t.is(after, before);
    const histogram = await fetchHistogram(gateway);
    t.true(histogram.get("count")! > 0);
    return;
  }
  t.fail("no calm second in 20");
});

test("guards against a process that does not end because its event loop is observed", async (t) => {
  const script = `
    import { createEventLoopDelay } from ${
    JSON.stringify(new URL("./event_loop_delay.js", import.meta.url).href)
  };
    const clock = { monotonicMilliseconds: () => 0, wallMilliseconds: () => 0 };
    createEventLoopDelay({ clock }).start();
    process.stdout.write("started");
  `;
  const { stdout } = await promisify(execFile)(
    process.execPath,
    ["--input-type=module", "--eval", script],
    { timeout: 20_000 },
  );
  t.is(stdout, "started");
});
