/** Failures that operators of similar systems reported, against real gateways. */
import { once } from "node:events";
import { Agent, type IncomingMessage, request } from "node:http";
import test from "ava";
import {
  type Bench,
  call,
  callerHeaders,
  received,
  sendRaw,
  startBench,
  stopBenches,
} from "../stand_ins/gateway_test_bench.ts";
import {
  type RawBackend,
  refuse,
  responseHeaders,
  type Script,
} from "../stand_ins/raw_backend.ts";
import { DEFAULT_HEADER_NAMES as NAMES } from "./gateway_protocol.ts";

const STOP_REQUESTS = 200;
const STOP_SPREAD_MILLISECONDS = 400;
const WORK_MILLISECONDS = 300;
/** Time for bytes that were written to arrive. */
const DELIVERY_MILLISECONDS = 50;
/** Grace time of the gateways that a bench starts. */
const GRACE_MILLISECONDS = 4_000;

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

/** Returns a refusal as sent on the wire; it may lack the id of its request. */
function refusalBytes(id: string | undefined): string {
  const echoed = id === undefined ? "" : `${NAMES.requestId}: ${id}\r\n`;
  return `HTTP/1.1 503 Busy\r\n${echoed}${NAMES.notRun}: 1\r\n` +
    "Content-Length: 0\r\n\r\n";
}

for (const hasId of [true, false]) {
  test.serial(`guards against taking an earlier refusal, sent once more on a kept connection, for the refusal of a request that runs (${hasId ? "with" : "without"} an id)`, async (t) => {
    const bench = await startBench({ backends: 2 });
    const runs: string[] = [];
    for (const backend of bench.backends) {
      const firstByPort = new Map<number, string>();
      backend.script((received, response) => {
        const { id, callerPort } = received;
        const earlier = firstByPort.get(callerPort);
        if (earlier === undefined) {
          firstByPort.set(callerPort, id);
          refuse(received, response);
          return;
        }
        runs.push(id);
        const refusal = refusalBytes(hasId ? earlier : undefined);
        response.socket?.write(refusal);
      });
    }
    const statuses: [string, number][] = [];
    for (let index = 0; index < 8; index++) {
      const { id, status } = await call(bench, { path: "/once/x" });
      statuses.push([id, status]);
    }
    t.true(runs.length > 0);
    t.is(new Set(runs).size, runs.length);
    const toldNotRun = statuses.filter(([id, status]) =>
      status === 503 && runs.includes(id)
    );
    t.deepEqual(toldNotRun, []);
  });
}

test.serial("guards against a response whose server stopped in its head or body looking whole, wherever it stopped", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  const forms = [
    "Content-Length: 6\r\n\r\nevents",
    "Transfer-Encoding: chunked\r\n\r\n6\r\nevents\r\n0\r\n\r\n",
  ];
  for (const form of forms) {
    const whole = `HTTP/1.1 200 OK\r\n${NAMES.signature}: s\r\n` +
      `${NAMES.requestId}: IDENTIFIER\r\n${form}`;
    for (let length = 0; length < whole.length; length++) {
      backend.script(({ id }, { socket }) => {
        const padded = id.padEnd("IDENTIFIER".length, "x");
        socket?.end(whole.replace("IDENTIFIER", padded).slice(0, length));
      });
      const outcome = await call(bench, {
        path: "/once/x",
        id: `cut-${length}`.padEnd("IDENTIFIER".length, "x"),
      }).then(({ status }) => status, () => "broken off");
      const isHonest = outcome === 502 || outcome === "broken off";
      t.true(isHonest, `${outcome} after ${length} bytes of ${form}`);
    }
  }
});

test.serial("guards against a stream that begins and breaks off without an event looking complete", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  backend.script(({ id }, { socket }) => {
    socket?.end(
      `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n${NAMES.signature}: s\r\n\r\n`,
    );
  });
  const outcome = await call(bench, { path: "/single/x" })
    .then(({ status }) => status, () => "broken off");
  t.not(outcome, 200);
});

test.serial("guards against the head or the text of a resuming server's error in a caller's stream", async (t) => {
  const bench = await startBench();
  const errors = [
    (id: string) =>
      `HTTP/1.1 500 Error\r\n${NAMES.requestId}: ${id}\r\n` +
      `${NAMES.signature}: s\r\nContent-Length: 14\r\n\r\ndata: wrong\n\n\n`,
    (id: string) =>
      `HTTP/1.1 500 Error\r\n${NAMES.requestId}: ${id}\r\n` +
      `${NAMES.signature}: s\r\n\r\ndata: wrong\n\n`,
    () => refusalBytes(undefined).replace("503 Busy", "429 Busy"),
    () => "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\ndata: wrong\n\n",
    (id: string) => `HTTP/1.1 500 Error\r\n${NAMES.requestId}: ${id}\r\n`,
  ];
  for (const [index, error] of errors.entries()) {
    for (const backend of bench.backends) {
      backend.script(({ id, headers }, response) => {
        if (headers["last-event-id"] !== undefined) {
          response.socket?.end(error(id));
          return;
        }
        response.writeHead(200, responseHeaders(id));
        response.write("id: 1\ndata: a\n\n");
        setTimeout(() => response.destroy(), 50);
      });
    }
    const text = await sendRaw(
      bench,
      `GET /stream/x HTTP/1.1\r\nHost: shop.example\r\n${NAMES.requestId}: e-${index}\r\n` +
        "Authorization: Bearer temple-key\r\nConnection: close\r\n\r\n",
    );
    t.regex(text, /data: a\n\n/, `${index}`);
    t.notRegex(text, /wrong|HTTP.*HTTP/s, `${index}`);
    t.false(text.endsWith("0\r\n\r\n"), `${index}`);
  }
});

test.serial("guards against repeating slow requests at a server that has no free slot either", async (t) => {
  const bench = await startBench({ backends: 2 });
  for (const [index, backend] of bench.backends.entries()) {
    bench.fleet.setServer(backend.registration(`s${index}`, { slots: 1 }));
    backend.script(({ id }, response) => {
      setTimeout(() => {
        response.writeHead(200, responseHeaders(id));
        response.end("served");
      }, 1_500);
    });
  }
  await new Promise((resolve) => setTimeout(resolve, 500));
  const calls = Array.from({ length: 4 }, () => call(bench));
  const statuses = (await Promise.all(calls)).map(({ status }) => status);
  t.deepEqual(statuses, [200, 200, 200, 200]);
  t.is(received(bench).length, 4);
});

/** Calls on one connection after another, of which each is kept for a while. */
async function callDuringStop(
  { callers, gateway }: Bench["gateways"][number],
  path: string,
): Promise<{ outcomes: string[]; stopMilliseconds: number }> {
  const [host, port] = callers.split(":") as [string, string];
  const agents = Array.from(
    { length: 14 },
    () => new Agent({ keepAlive: true, maxSockets: 1 }),
  );
  async function send(agent: Agent, id: string): Promise<string> {
    const headers = { ...callerHeaders(id), [NAMES.deadline]: "4000" };
    const sent = request({ host, port: Number(port), path, agent, headers });
    const wasReused = new Promise<boolean>((resolve) =>
      sent.once("socket", () => resolve(sent.reusedSocket))
    );
    sent.end();
    try {
      const [response] = await once(sent, "response") as [IncomingMessage];
      response.resume();
      await once(response, "end");
      return `${response.statusCode}`;
    } catch {
      return `${await wasReused ? "kept" : "new"} connection cut ${id}`;
    }
  }
  await Promise.all(agents.map((agent, index) => send(agent, `${index}-warm`)));
  const startedAt = performance.now();
  const stopped = gateway.stop().then(async () => {
    const milliseconds = performance.now() - startedAt;
    // Then the process ends, and with it what is still open.
    await new Promise((resolve) => setTimeout(resolve, DELIVERY_MILLISECONDS));
    for (const agent of agents) agent.destroy();
    return milliseconds;
  });
  const calls: Promise<string>[] = [];
  for (const [index, agent] of agents.entries()) {
    calls.push(send(agent, `${path}-${index}-late`));
    await new Promise((resolve) => setTimeout(resolve, 270));
  }
  const outcomes = await Promise.all(calls);
  const stopMilliseconds = await stopped;
  return { outcomes, stopMilliseconds };
}

for (const workMilliseconds of [50, 800, 1_500, 3_000]) {
  test.serial(`guards against a planned stop that takes late requests and cuts them without an answer, at servers that take ${workMilliseconds} ms`, async (t) => {
    const bench = await startBench({ backends: 1 });
    const [backend] = bench.backends as [RawBackend];
    backend.script(({ id }, response) => {
      setTimeout(() => {
        response.writeHead(200, responseHeaders(id)).end("done");
      }, workMilliseconds);
    });
    const [router] = bench.gateways as [Bench["gateways"][number]];
    const { outcomes, stopMilliseconds } = await callDuringStop(
      router,
      "/once/x",
    );
    // Whatever is open at the end of the grace is cut, since the process is killed.
    t.true(stopMilliseconds < GRACE_MILLISECONDS, `${stopMilliseconds}`);
    const reached = new Set(backend.received.map(({ id }) => id));
    t.log(outcomes.join(" "));
    // A request that crosses the close of its connection was not sent on.
    const cut = outcomes.filter((outcome) => outcome.includes("cut"))
      .filter((outcome) => reached.has(outcome.split(" ").at(-1) ?? ""));
    t.deepEqual(cut, []);
    const served = outcomes.filter((outcome) => outcome === "200").length;
    t.true(served > 0);
    t.true(outcomes.every((outcome) => outcome !== "502"));
    // Nothing is sent on that is known to be too slow for the rest of the grace.
    t.is(backend.received.length, bench.backends.length * 14 + served);
  });
}

test.serial("guards against ending a request without an answer because its server is slower than expected in a planned stop", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  backend.script(() => undefined);
  const [router] = bench.gateways as [Bench["gateways"][number]];
  const pending = call(bench, {
    path: "/once/x",
    headers: { [NAMES.deadline]: "20000" },
  });
  await new Promise((resolve) => setTimeout(resolve, 200));
  const stopped = router.gateway.stop();
  const { status, text } = await pending;
  t.is(status, 502, text);
  t.regex(text, /outcome_unknown/);
  await stopped;
});
