/** Rate limits that backend servers name, against real gateways. */
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import {
  type Bench,
  call,
  received,
  startBench,
  stopBenches,
  waitUntil,
} from "../stand_ins/gateway_test_bench.ts";
import {
  type RawBackend,
  responseHeaders,
  type Script,
} from "../stand_ins/raw_backend.ts";
import { DEFAULT_HEADER_NAMES as NAMES } from "./gateway_protocol.ts";

/** Time for a router's next reports to its peers. */
const REPORT_MILLISECONDS = 600;
/** Time after which a router that has started takes a share of limits. */
const SETTLED_MILLISECONDS = 2_500;
const WINDOW_MILLISECONDS = 4_000;

test.after.always(stopBenches);

/** Returns a script that serves requests and names a limit. */
function nameLimit(limit: string, arrivals: number[] = []): Script {
  return ({ id }, response) => {
    arrivals.push(performance.now());
    response.writeHead(200, {
      ...responseHeaders(id),
      [NAMES.rateLimit]: limit,
    });
    response.end("served");
  };
}

/** Sends calls at a steady pace to all gateways in turn; returns the statuses. */
async function callSteadily(
  bench: Bench,
  milliseconds: number,
  path = "/once/x",
): Promise<number[]> {
  const calls: Promise<{ status: number }>[] = [];
  const end = performance.now() + milliseconds;
  for (let index = 0; performance.now() < end; index++) {
    const gateway = index % bench.gateways.length;
    calls.push(call(bench, { path, gateway }));
    await sleep(10);
  }
  return (await Promise.all(calls)).map(({ status }) => status);
}

function linesOf(bench: Bench, event: string): string[] {
  return bench.gateways.flatMap(({ lines }) =>
    lines.filter((line) => line.includes(event))
  );
}

test.serial("guards against routers that exceed a server's limit together, and against rejecting requests that another server can take", async (t) => {
  const bench = await startBench({ gateways: 3, backends: 2 });
  const [limited, free] = bench.backends as [RawBackend, RawBackend];
  const arrivals: number[] = [];
  limited.script(nameLimit(" 2.5 ", arrivals));
  await sleep(SETTLED_MILLISECONDS);
  await callSteadily(bench, REPORT_MILLISECONDS);
  const start = performance.now();
  const statuses = await callSteadily(bench, WINDOW_MILLISECONDS);
  t.deepEqual(new Set(statuses), new Set([200]));
  const inWindow = arrivals.filter((at) => at >= start).length;
  t.true(inWindow <= 1.5 * 2.5 * 4 + 5, `${inWindow}`);
  t.true(inWindow >= 2, `${inWindow}`);
  t.true(free.received.length > 100);
  t.true(linesOf(bench, "server.rate_limit").length >= 3);
  t.true(linesOf(bench, '"reason":"limited"').length > 0);
  limited.script(undefined);
  await callSteadily(bench, SETTLED_MILLISECONDS);
  const before = limited.received.length;
  await callSteadily(bench, REPORT_MILLISECONDS);
  t.true(limited.received.length - before > 10);
});

test.serial("guards against holding requests that no server may get, and against sending them or saying falsely that they were not run", async (t) => {
  const bench = await startBench({ backends: 2 });
  for (const backend of bench.backends) backend.script(nameLimit("1"));
  await sleep(SETTLED_MILLISECONDS);
  await callSteadily(bench, REPORT_MILLISECONDS);
  const before = received(bench).length;
  const start = performance.now();
  let served = 0;
  for (let index = 0; index < 40; index++) {
    const { status, headers, text } = await call(bench, { path: "/once/x" });
    if (status === 200) {
      served++;
      continue;
    }
    t.is(status, 503, text);
    const seconds = Number(headers["retry-after"]);
    t.true(seconds > 0 && seconds <= 1.4, `${seconds}`);
  }
  const elapsed = performance.now() - start;
  t.true(elapsed < 2_000, `${elapsed}`);
  t.is(received(bench).length - before, served);
  t.true(served <= 2 + 2 * elapsed / 1_000, `${served}`);
});

test.serial("guards against malformed limits that change a server's use, and against ending a limit because of them or of a refusal", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  await sleep(SETTLED_MILLISECONDS);
  for (const value of ["-1", "many", "1e3", "NaN", ""]) {
    backend.script(nameLimit(value));
    for (let index = 0; index < 3; index++) {
      t.is((await call(bench, { path: "/once/x" })).status, 200, value);
    }
  }
  t.is(linesOf(bench, "server.rate_limit").length, 0);
  backend.script(nameLimit("0"));
  t.is((await call(bench, { path: "/once/x" })).status, 200);
  backend.script(({ id }, response) => {
    response.writeHead(503, { [NAMES.requestId]: id, [NAMES.notRun]: "1" });
    response.end();
  });
  t.is((await call(bench, { path: "/once/x" })).status, 503);
  t.is((await call(bench, { path: "/once/x" })).status, 503);
  t.true(backend.received.length <= 17, `${backend.received.length}`);
  backend.script(undefined);
  bench.fleet.setServer(backend.registration("s0", { started: 2 }));
  await waitUntil(
    () => linesOf(bench, "registry.changed").length >= 2,
    "the new incarnation is known",
  );
  t.is((await call(bench, { path: "/once/x" })).status, 200);
  t.is((await call(bench, { path: "/once/x" })).status, 200);
});
