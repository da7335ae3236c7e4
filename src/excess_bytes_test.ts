/** Servers that send bytes without end that are no response. */
import type { Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { DEFAULT_HEADER_NAMES as NAMES } from "./gateway_protocol.ts";
import {
  type Bench,
  call,
  startBench,
  stopBenches,
  waitUntil,
} from "../stand_ins/gateway_test_bench.ts";
import {
  type RawBackend,
  responseBytes,
  responseHeaders,
} from "../stand_ins/raw_backend.ts";

/** One server may take at most this much from the host's link for a request. */
const MAXIMUM_BYTES = 4 * 1024 * 1024;
/** The request must end well before its timeout of three seconds. */
const MAXIMUM_MILLISECONDS = 1_500;
const PART_BYTES = 16 * 1024;
const ENDLESS_RESPONSES = 100;
const RESPONSE_DELAY_MILLISECONDS = 300;
const PART_PAUSE_MILLISECONDS = 10;
/** Growth of the memory of the router and the servers while they arrive. */
const MAXIMUM_MEMORY_BYTES = 32 * 1024 * 1024;
const MEMORY_SAMPLE_MILLISECONDS = 5;
/** Calls after which one of two equal servers has received a request. */
const MAXIMUM_CALLS_UNTIL_CHOSEN = 40;
const ONCE = "/once/x";

function head(id: string, ...lines: string[]): string {
  const names = `${NAMES.requestId}: ${id}\r\n${NAMES.signature}: s\r\n`;
  return ["HTTP/1.1 200 OK", ...lines].join("\r\n") + `\r\n${names}\r\n`;
}

function errorHead(id: string, ...lines: string[]): string {
  return head(id, ...lines).replace("200 OK", "500 Error");
}

const CHUNKED = "Transfer-Encoding: chunked";
const EVENTS = "Content-Type: text/event-stream";
const PART = "a".repeat(PART_BYTES);
const CHUNK = `${PART_BYTES.toString(16)}\r\n${PART}\r\n`;

interface _Form {
  readonly name: string;
  readonly path: string;
  readonly start: (id: string) => string;
  readonly part: string;
}

const FORMS: readonly _Form[] = [
  {
    name: "interim responses",
    path: ONCE,
    start: () => "",
    part: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".repeat(400),
  },
  {
    name: "empty lines before the head",
    path: ONCE,
    start: () => "",
    part: "\r\n".repeat(8_000),
  },
  {
    name: "a status line without end",
    path: ONCE,
    start: () => "HTTP/1.1 200 ",
    part: PART,
  },
  {
    name: "a header without end",
    path: ONCE,
    start: () => "HTTP/1.1 200 OK\r\nX-Long: ",
    part: PART,
  },
  {
    name: "headers without end",
    path: ONCE,
    start: () => "HTTP/1.1 200 OK\r\n",
    part: "X-Many: x\r\n".repeat(1_500),
  },
  {
    name: "a chunk extension without end",
    path: ONCE,
    start: (id) => `${head(id, CHUNKED)}1;`,
    part: PART,
  },
  {
    name: "a chunk size without end",
    path: ONCE,
    start: (id) => head(id, CHUNKED),
    part: "0".repeat(PART_BYTES),
  },
  {
    name: "trailers without end",
    path: ONCE,
    start: (id) => `${head(id, CHUNKED)}0\r\n`,
    part: "X-Trailer: x\r\n".repeat(1_200),
  },
  {
    name: "an event without end",
    path: "/single/x",
    start: (id) => `${head(id, EVENTS)}data: `,
    part: PART,
  },
  {
    name: "comment lines without end",
    path: "/single/x",
    start: (id) => head(id, EVENTS),
    part: ": wait\n".repeat(2_000),
  },
];

/** Writes parts for as long as the connection is read, with pauses if there are any. */
function writeForever(
  socket: Socket,
  part: string,
  pauseMilliseconds = 0,
): void {
  socket.on("error", () => undefined);
  (function write(): void {
    if (socket.destroyed) return;
    if (!socket.write(part)) socket.once("drain", write);
    else if (pauseMilliseconds === 0) setImmediate(write);
    else setTimeout(write, pauseMilliseconds);
  })();
}

/** Makes a server answer each request in a form; returns its connections. */
function scriptForm(
  backend: RawBackend,
  { start, part }: _Form,
  { delayMilliseconds = 0, pauseMilliseconds = 0 } = {},
): Socket[] {
  const sockets: Socket[] = [];
  backend.script(({ id }, response) => {
    const socket = response.socket as Socket;
    sockets.push(socket);
    socket.write(start(id));
    setTimeout(
      () => writeForever(socket, part, pauseMilliseconds),
      delayMilliseconds,
    );
  });
  return sockets;
}

async function expectBounded(
  t: ExecutionContext,
  sockets: readonly Socket[],
  form: string,
): Promise<void> {
  await waitUntil(
    () => sockets.length > 0 && sockets.every(({ destroyed }) => destroyed),
    `${form}: the connection is closed`,
  );
  for (const { bytesWritten } of sockets) {
    t.true(bytesWritten < MAXIMUM_BYTES, `${form}: ${bytesWritten} bytes`);
  }
}

function linesOf(bench: Bench): string {
  return bench.gateways.map(({ lines }) => lines.join("")).join("");
}

test.after.always(stopBenches);

for (const form of FORMS) {
  test.serial(`guards against reading without end: ${form.name}`, async (t) => {
    const bench = await startBench({ backends: 1 });
    const [backend] = bench.backends as [RawBackend];
    const sockets = scriptForm(backend, form);
    const started = performance.now();
    await call(bench, { path: form.path }).then(
      ({ status }) => t.true(status === 502 || form.path !== ONCE),
      () => t.pass("the response was aborted"),
    );
    t.true(performance.now() - started < MAXIMUM_MILLISECONDS, form.name);
    await expectBounded(t, sockets, form.name);
    t.is(backend.received.length, 1, "work that may have run is not repeated");
    backend.script(undefined);
    t.is((await call(bench, { path: ONCE })).status, 200);
  });
}

const DISCARDED_FORMS: readonly _Form[] = [
  {
    name: "the body of an error that is retried",
    path: "/safe/x",
    start: (id) => errorHead(id, CHUNKED),
    part: CHUNK,
  },
  {
    name: "the body of a response that reports that nothing ran",
    path: "/safe/x",
    start: () =>
      `HTTP/1.1 503 Busy\r\n${NAMES.notRun}: 1\r\n${CHUNKED}\r\n\r\n`,
    part: CHUNK,
  },
  {
    name: "a byte now and then",
    path: "/safe/x",
    start: (id) => errorHead(id, "Content-Length: 1000000"),
    part: "",
  },
];

// A router avoids a server that failed, so each form has servers of its own.
for (const form of DISCARDED_FORMS) {
  test.serial(`guards against reading a discarded response without end: ${form.name}`, async (t) => {
    const bench = await startBench({ backends: 2 });
    const [failing] = bench.backends as [RawBackend, RawBackend];
    const sockets = scriptForm(failing, form);
    for (
      let index = 0;
      index < MAXIMUM_CALLS_UNTIL_CHOSEN && sockets.length === 0;
      index++
    ) {
      t.is((await call(bench, { path: form.path })).status, 200, form.name);
    }
    t.true(sockets.length > 0, `${form.name}: the server received a request`);
    await expectBounded(t, sockets, form.name);
  });
}

test.serial("guards against a hundred endless responses delaying or failing sound requests, or filling memory", async (t) => {
  const bench = await startBench({ backends: 2 });
  const [endless, sound] = bench.backends as [RawBackend, RawBackend];
  const form = FORMS.find(({ name }) => name === "a chunk size without end")!;
  // All are running before the first one fails and its server is avoided.
  // The pauses leave the event loop, which the router shares, to others.
  const sockets = scriptForm(endless, form, {
    delayMilliseconds: RESPONSE_DELAY_MILLISECONDS,
    pauseMilliseconds: PART_PAUSE_MILLISECONDS,
  });
  sound.script(({ id }, response) => {
    setTimeout(() => {
      response.writeHead(200, responseHeaders(id));
      response.end("ok");
    }, RESPONSE_DELAY_MILLISECONDS);
  });
  const memory = process.memoryUsage();
  let peakBytes = 0;
  const sampling = setInterval(() => {
    const { heapUsed, external, arrayBuffers } = process.memoryUsage();
    peakBytes = Math.max(peakBytes, heapUsed + external + arrayBuffers);
  }, MEMORY_SAMPLE_MILLISECONDS);
  t.teardown(() => clearInterval(sampling));
  const calls = Array.from(
    { length: 2 * ENDLESS_RESPONSES },
    () =>
      call(bench, { path: ONCE }).then(({ status }) => status, () => "aborted"),
  );
  const statuses = await Promise.all(calls);
  await expectBounded(t, sockets, form.name);
  t.true(sockets.length >= ENDLESS_RESPONSES / 2, `${sockets.length} endless`);
  const served = statuses.filter((status) => status === 200).length;
  t.is(served, sound.received.length, "every sound response is delivered");
  const start = memory.heapUsed + memory.external + memory.arrayBuffers;
  const grown = peakBytes - start;
  t.log(`${sockets.length} endless responses, ${grown} bytes of memory`);
  t.true(grown < MAXIMUM_MEMORY_BYTES, `${grown} bytes of memory`);
});

test.serial("guards against bytes after a complete response, at once or later, reaching the next caller", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  for (const delay of [0, 20, 60]) {
    for (const extra of ["\r\n", responseBytes("old", "old"), "junk"]) {
      const sockets: Socket[] = [];
      backend.script(({ id, path }, response) => {
        const socket = response.socket as Socket;
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.write(responseBytes(id, path));
        setTimeout(() => writeForever(socket, extra), delay);
      });
      const answer = await call(bench, { path: ONCE });
      t.is(answer.status, 200);
      await new Promise((resolve) => setTimeout(resolve, 2 * delay));
      await expectBounded(t, sockets, `${extra.slice(0, 4)} after ${delay} ms`);
    }
  }
  t.regex(linesOf(bench), /server\.excess_bytes/);
});

test.serial("guards against cutting sound responses with long heads, chunk extensions or keep-alive comments", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  const extension = `1;${"e".repeat(12_000)}\r\n`;
  const sound = [
    (id: string) =>
      `${head(id, `X-Long: ${"h".repeat(8_000)}`, CHUNKED)}` +
      "2\r\nok\r\n0\r\n\r\n",
    (id: string) =>
      `${head(id, CHUNKED)}${extension}o\r\n${extension}k\r\n` +
      "0\r\n\r\n",
    (id: string) =>
      "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(50) +
      responseBytes(id, "ok"),
  ];
  for (const text of sound) {
    // The stand-in serves no second request on a connection written to directly.
    backend.script(({ id }, response) => void response.socket?.end(text(id)));
    t.is((await call(bench, { path: ONCE })).text, "ok");
  }
  const comments = ": wait\n\n".repeat(2_000);
  backend.script(({ id }, response) => {
    response.writeHead(200, { [NAMES.requestId]: id, [NAMES.signature]: "s" });
    response.end(`${comments}id: 1\ndata: ok\n\n`);
  });
  const { text } = await call(bench, { path: "/single/x" });
  t.true(text.endsWith("data: ok\n\n"));
});
