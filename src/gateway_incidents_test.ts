/** Failures that operators of similar systems reported, against real gateways. */
import { once } from "node:events";
import { Agent, type IncomingMessage, request } from "node:http";
import test from "ava";
import {
  type Bench,
  call,
  callerHeaders,
  startBench,
  stopBenches,
} from "../stand_ins/gateway_test_bench.ts";
import {
  type RawBackend,
  responseHeaders,
  type Script,
} from "../stand_ins/raw_backend.ts";

const STOP_REQUESTS = 200;
const STOP_SPREAD_MILLISECONDS = 400;
const WORK_MILLISECONDS = 300;

test.after.always(stopBenches);

/** Sends a request on a connection of its own; resolves with its outcome. */
async function callAlone(
  { callers }: Bench["gateways"][number],
  id: string,
): Promise<"served" | "refused" | "cut"> {
  const [host, port] = callers.split(":") as [string, string];
  const agent = new Agent();
  const sent = request({
    host,
    port: Number(port),
    path: "/once/x",
    agent,
    headers: callerHeaders(id),
  });
  let isConnected = false;
  sent.once("socket", (socket) => {
    socket.once("connect", () => (isConnected = true));
  });
  sent.end();
  try {
    const [response] = await once(sent, "response") as [IncomingMessage];
    response.resume();
    await once(response, "end");
    return response.statusCode === 200 ? "served" : "refused";
  } catch {
    return isConnected ? "cut" : "refused";
  } finally {
    agent.destroy();
  }
}

test.serial("guards against a planned stop under load that cuts requests that were just accepted", async (t) => {
  const bench = await startBench({ backends: 2 });
  for (const backend of bench.backends) {
    backend.script(({ id }, response) => {
      setTimeout(() => {
        response.writeHead(200, responseHeaders(id)).end("done");
      }, WORK_MILLISECONDS);
    });
  }
  const [router] = bench.gateways as [Bench["gateways"][number]];
  const calls: Promise<string>[] = [];
  let stopped: Promise<void> | undefined;
  for (let index = 0; index < STOP_REQUESTS; index++) {
    calls.push(callAlone(router, `stop-${index}`));
    if (index === STOP_REQUESTS / 2) stopped = router.gateway.stop();
    const pause = STOP_SPREAD_MILLISECONDS / STOP_REQUESTS;
    await new Promise((resolve) => setTimeout(resolve, pause));
  }
  const outcomes = await Promise.all(calls);
  t.is(outcomes.filter((outcome) => outcome !== "served").length, 0);
  await stopped;
});

/** Writes parts of a stream with a pause after each, then ends it. */
function streamScript(parts: readonly string[], pause: number): Script {
  return ({ id }, response) => {
    response.writeHead(200, responseHeaders(id));
    let index = 0;
    const timer = setInterval(() => {
      const part = parts[index++];
      if (part === undefined || response.destroyed) {
        clearInterval(timer);
        response.end();
      } else response.write(part);
    }, pause);
  };
}

test.serial("guards against cutting a slow but sound stream, and against a stalled one that sends a byte now and then never ending", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  const events = Array.from(
    { length: 9 },
    (_unused, index) => `id: ${index}\ndata: ${index}\n\n`,
  );
  backend.script(streamScript(events, 300));
  t.is((await call(bench, { path: "/single/x" })).text, events.join(""));
  const bytes = Array.from({ length: 1_000 }, () => ":");
  backend.script(streamScript(bytes, 100));
  const started = performance.now();
  await t.throwsAsync(async () => {
    const { status } = await call(bench, { path: "/single/x" });
    if (status >= 500) throw new Error(`status ${status}`);
  });
  // The caller's deadline is three seconds.
  t.true(performance.now() - started < 3_600);
});
