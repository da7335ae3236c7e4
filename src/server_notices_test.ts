/** Leaving and pausing servers, against real gateways. */
import { connect } from "node:net";
import test from "ava";
import {
  type Bench,
  call,
  callerHeaders,
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

const CALLS = 20;
/** Time for a router's next reports to its peers. */
const REPORT_MILLISECONDS = 600;

test.after.always(stopBenches);

function respondLeaving(
  { id }: { id: string },
  response: Parameters<Script>[1],
) {
  response.writeHead(200, { ...responseHeaders(id), [NAMES.leaving]: "1" });
  response.end("served");
}

/** Returns a script that rejects requests and asks for a pause. */
function askForPause(retryAfter: string): Script {
  return ({ id }, response) => {
    response.writeHead(503, {
      [NAMES.requestId]: id,
      [NAMES.notRun]: "1",
      "retry-after": retryAfter,
    });
    response.end();
  };
}

async function callRepeatedly(bench: Bench, gateway = 0): Promise<number[]> {
  const statuses: number[] = [];
  for (let index = 0; index < CALLS; index++) {
    statuses.push((await call(bench, { path: "/once/x", gateway })).status);
  }
  return statuses;
}

/** Calls until the first server got a request. */
async function callUntilUsed(
  bench: Bench,
  { received: requests }: RawBackend,
): Promise<void> {
  for (let index = 0; index < CALLS && requests.length === 0; index++) {
    await call(bench, { path: "/once/x" });
  }
}

function linesOf(bench: Bench, event: string): string[] {
  return bench.gateways[0]!.lines.filter((line) => line.includes(event));
}

test.serial("guards against sending requests to a server that said in a response that it is leaving, whatever its registration says", async (t) => {
  const bench = await startBench({ gateways: 2, backends: 2 });
  const [leaving, staying] = bench.backends as [RawBackend, RawBackend];
  leaving.script(respondLeaving);
  await callUntilUsed(bench, leaving);
  t.is(leaving.received.length, 1);
  bench.fleet.setServer(leaving.registration("s0", { slots: 9 }));
  await new Promise((resolve) => setTimeout(resolve, REPORT_MILLISECONDS));
  for (const gateway of [0, 1]) {
    t.deepEqual(new Set(await callRepeatedly(bench, gateway)), new Set([200]));
  }
  t.is(leaving.received.length, 1);
  t.true(staying.received.length >= 2 * CALLS);
  t.is(linesOf(bench, "server.leaving").length, 1);
  t.true(linesOf(bench, "request.placed").at(-1)?.includes("unavailable"));
  leaving.script(undefined);
  bench.fleet.setServer(leaving.registration("s0", { started: 2 }));
  await new Promise((resolve) => setTimeout(resolve, REPORT_MILLISECONDS));
  await callRepeatedly(bench);
  t.true(leaving.received.length > 1);
});

test.serial("guards against sending a request to a leaving server whose body was still being read when the notice came", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [leaving] = bench.backends as [RawBackend];
  const [host, port] = bench.gateways[0]!.callers.split(":") as [
    string,
    string,
  ];
  const socket = connect(Number(port), host);
  const headers = Object.entries(callerHeaders("slow"))
    .map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write(
    `POST /once/x HTTP/1.1\r\n${headers.join("")}Content-Length: 4\r\n\r\nha`,
  );
  leaving.script(respondLeaving);
  await call(bench, { path: "/once/x" });
  let text = "";
  socket.on("data", (chunk) => (text += chunk.toString()));
  socket.write("lf");
  await waitUntil(() => text !== "", "the request has a response");
  t.regex(text, /^HTTP\/1.1 503 /);
  t.deepEqual(received(bench).map(({ id }) => id).includes("slow"), false);
  socket.destroy();
});

test.serial("guards against sending requests to a server that asked for a pause, and against sending none after it", async (t) => {
  const bench = await startBench({ backends: 2 });
  const [pausing] = bench.backends as [RawBackend];
  pausing.script(askForPause("1.2"));
  await callUntilUsed(bench, pausing);
  t.is(pausing.received.length, 1);
  const start = performance.now();
  t.deepEqual(new Set(await callRepeatedly(bench)), new Set([200]));
  t.true(performance.now() - start < 1_000);
  t.is(pausing.received.length, 1);
  pausing.script(undefined);
  await new Promise((resolve) => setTimeout(resolve, 1_300));
  t.deepEqual(new Set(await callRepeatedly(bench)), new Set([200]));
  t.true(pausing.received.length > 1);
});

test.serial("guards against holding or sending a request while all servers want a pause, and against a Retry-After before the end of the shortest", async (t) => {
  const bench = await startBench({ backends: 2 });
  const [first, second] = bench.backends as [RawBackend, RawBackend];
  first.script(askForPause("30"));
  second.script(askForPause("7200"));
  t.is((await call(bench, { path: "/once/x" })).status, 503);
  const retryAfters = new Set<unknown>();
  const start = performance.now();
  for (let index = 0; index < CALLS; index++) {
    const { status, headers } = await call(bench, { path: "/once/x" });
    t.is(status, 503);
    const seconds = Number(headers["retry-after"]);
    t.true(seconds >= 28 && seconds <= 34, `${seconds}`);
    retryAfters.add(seconds);
  }
  t.true(performance.now() - start < 2_000);
  t.true(retryAfters.size > CALLS / 2);
  t.is(received(bench).length, 2);
  bench.fleet.setServer(second.registration("s1", { started: 2 }));
  second.script(undefined);
  await new Promise((resolve) => setTimeout(resolve, REPORT_MILLISECONDS));
  t.is((await call(bench, { path: "/once/x" })).status, 200);
});

test.serial("guards against a malformed header that ends a server's use or a response", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  for (const value of ["-5", "soon", "1e9", "Fri, 04 Dec 2026 21:00:00 GMT"]) {
    backend.script(askForPause(value));
    t.is((await call(bench, { path: "/once/x" })).status, 503, value);
  }
  backend.script(({ id }, response) => {
    response.writeHead(200, { ...responseHeaders(id), [NAMES.leaving]: "yes" });
    response.end("served");
  });
  t.deepEqual(new Set(await callRepeatedly(bench)), new Set([200]));
  t.is(backend.received.length, 4 + CALLS);
  t.is(linesOf(bench, "server.malformed_header").length, 4 + CALLS);
});

test.serial("guards against spending the retry budget on a registration whose address another server has", async (t) => {
  const bench = await startBench({ backends: 2 });
  const [replaced] = bench.backends as [RawBackend];
  replaced.script(({ id }, response) => {
    response.writeHead(421, { [NAMES.requestId]: id, [NAMES.notRun]: "1" });
    response.end();
  });
  await callUntilUsed(bench, replaced);
  t.deepEqual(new Set(await callRepeatedly(bench)), new Set([200]));
  t.true(replaced.received.length <= 2, `${replaced.received.length}`);
});

test.serial("guards against taking what another server at a reused address says for the registered server's notice", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  backend.script(({ id }, response) => {
    response.writeHead(421, {
      [NAMES.requestId]: id,
      [NAMES.notRun]: "1",
      [NAMES.leaving]: "1",
      [NAMES.rateLimit]: "1",
    });
    response.end();
  });
  t.is((await call(bench, { path: "/once/x" })).status, 503);
  t.is(linesOf(bench, "server.leaving").length, 0);
  t.is(linesOf(bench, "server.rate_limit").length, 0);
});
