import type { ServerResponse } from "node:http";
import { connect, Socket } from "node:net";
import test from "ava";
import {
  type Bench,
  received,
  requestText,
  startBench,
  stopBenches,
  waitUntil,
} from "../stand_ins/gateway_test_bench.ts";
import { callerConnectionOf } from "./caller_connection.ts";
import {
  LATE_PREFIX,
  stall,
  startLeavingCallers,
} from "../stand_ins/leaving_callers.ts";
import {
  type ReceivedRequest,
  responseHeaders,
  type Script,
} from "../stand_ins/raw_backend.ts";

const CALLERS = 30;
/** Longer than the time after a close in which a server may still get work. */
const STALL_MILLISECONDS = 1_200;
/** A server must be free of the work of a caller that left after this time. */
const CANCEL_MILLISECONDS = 500;

test.after.always(stopBenches);

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

for (const connection of ["new", "used"] as const) {
  for (const end of ["close", "reset"] as const) {
    const connections = connection === "used" ? "kept" : "new";
    test.serial(`guards against forwarding requests that are read after their callers left (${connections} connections, ${end})`, async (t) => {
      const bench = await startBench();
      const callers = await startLeavingCallers({
        callers: bench.gateways[0]!.callers,
        path: "/safe/x",
        count: CALLERS,
        connection,
        end,
      });
      callers.send();
      stall(STALL_MILLISECONDS);
      await wait(CANCEL_MILLISECONDS);
      const abandoned = received(bench)
        .filter(({ id }) => id.startsWith(LATE_PREFIX));
      t.is(abandoned.length, 0);
      await callers.stop();
    });
  }
}

function open({ gateways }: Bench): Socket {
  const [host, port] = gateways[0]!.callers.split(":") as [string, string];
  const socket = connect(Number(port), host);
  socket.on("error", () => undefined);
  return socket;
}

/** Responds with an endless stream of events. */
function sendEndlessly(
  { id }: ReceivedRequest,
  response: ServerResponse,
): void {
  response.writeHead(200, responseHeaders(id));
  let index = 0;
  const timer = setInterval(() => {
    if (response.destroyed) return clearInterval(timer);
    response.write(`id: ${index++}\ndata: ${"x".repeat(20_000)}\n\n`);
  }, 5);
}

function neverRespond(): void {}

interface Departure {
  readonly title: string;
  readonly path: string;
  readonly script: Script;
  readonly text?: string;
  readonly isReading: boolean;
}

const DEPARTURES: readonly Departure[] = [
  {
    title: "before the head",
    path: "/safe/x",
    script: neverRespond,
    isReading: true,
  },
  {
    title: "during a stream",
    path: "/stream/x",
    script: sendEndlessly,
    isReading: true,
  },
  {
    title: "during a stream that the caller does not read",
    path: "/stream/x",
    script: sendEndlessly,
    isReading: false,
  },
  {
    title: "during a response that the caller does not read",
    path: "/once/x",
    script: sendEndlessly,
    isReading: false,
  },
];

for (const { title, path, script, isReading } of DEPARTURES) {
  for (const end of ["close", "reset", "half-close"] as const) {
    test.serial(`guards against work that goes on at a server after its caller left (${title}, ${end})`, async (t) => {
      const bench = await startBench({ backends: 1 });
      const [backend] = bench.backends;
      backend!.script(script);
      const socket = open(bench);
      if (isReading) socket.resume();
      socket.write(requestText(path, "left"));
      await waitUntil(() => received(bench).length === 1, "the server works");
      await wait(300);
      if (end === "close") socket.destroy();
      else if (end === "reset") socket.resetAndDestroy();
      else socket.end();
      await wait(CANCEL_MILLISECONDS);
      t.deepEqual(backend!.cancelled, ["left"]);
      socket.destroy();
    });
  }
}

test.serial("guards against a request that waits for its timeout because its caller had left before it began", async (t) => {
  const socket = new Socket();
  socket.destroy();
  const connection = callerConnectionOf(socket);
  let heard = 0;
  connection.onLeft(() => heard++);
  connection.onLeft(() => heard++)();
  connection.whenStillThere(() => t.fail());
  await wait(20);
  t.is(heard, 1);
});

test.serial("guards against work that goes on for a pipelined request after its caller left", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends;
  backend!.script(neverRespond);
  const socket = open(bench);
  socket.write(
    requestText("/safe/x", "first") + requestText("/safe/x", "second"),
  );
  await waitUntil(() => received(bench).length === 2, "the server works");
  socket.destroy();
  await wait(CANCEL_MILLISECONDS);
  t.deepEqual([...backend!.cancelled].sort(), ["first", "second"]);
});

test.serial("guards against work that goes on while its caller leaves in the middle of a long body", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends;
  const socket = open(bench);
  const bytes = 1_000_000;
  socket.write(
    requestText("/once/x", "upload", `content-length: ${bytes}\r\n`, "POST"),
  );
  socket.write("x".repeat(bytes / 2));
  await wait(300);
  socket.destroy();
  await wait(CANCEL_MILLISECONDS);
  t.is(backend!.received.length, 0);
});

test.serial("guards against sending a request to another server after its caller left", async (t) => {
  const bench = await startBench();
  for (const backend of bench.backends) backend.script(neverRespond);
  const socket = open(bench);
  socket.write(requestText("/safe/x", "retried"));
  await waitUntil(() => received(bench).length === 2, "the request is retried");
  socket.destroy();
  await wait(CANCEL_MILLISECONDS);
  t.deepEqual(bench.backends.flatMap(({ cancelled }) => cancelled).length, 2);
});
