/** Requests that meet a planned stop of their router, against real gateways. */
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import {
  type Bench,
  received,
  startBench,
  stopBenches,
} from "../stand_ins/gateway_test_bench.ts";
import { type RawBackend, refuse } from "../stand_ins/raw_backend.ts";
import type { SocketCaller } from "../stand_ins/socket_callers.ts";
import {
  openCaller,
  postHead,
  respondWithEvents,
} from "../stand_ins/stopping_callers.ts";

/** A slow stream lasts longer than the grace time of the gateways. */
const DURATIONS_MILLISECONDS: Readonly<Record<string, number>> = {
  quick: 100,
  medium: 2_200,
  slow: 6_000,
};
/** When a server refuses a request that it was sent. */
const REFUSAL_MILLISECONDS = 900;
/** Grace time of the gateways that a bench starts, and some for their end. */
const ENDED_MILLISECONDS = 4_200;

test.after.always(stopBenches);

/** The head of a request whose body comes in chunks. */
function chunkedHead(path: string, id: string): string {
  return postHead(path, id, "transfer-encoding: chunked");
}

const LAST_CHUNK = "4\r\nlast\r\n0\r\n\r\n";

/** Responds with events until a time that the path names has passed. */
function streamEvents(backend: RawBackend): void {
  backend.script(({ id, path }, response) => {
    const [, , speed = "quick"] = path.split("/");
    const milliseconds = DURATIONS_MILLISECONDS[speed] ?? 0;
    respondWithEvents(response, id, milliseconds);
  });
}

/** Runs a stream, so that the router expects further ones to take as long. */
async function streamOnce(
  bench: Bench,
  path = "/single/quick",
): Promise<void> {
  const caller = openCaller(bench);
  caller.socket.write(chunkedHead(path, "first") + LAST_CHUNK);
  while (!caller.text.endsWith("0\r\n\r\n")) await sleep(20);
  caller.socket.destroy();
}

function isWhole(text: string): boolean {
  if (text.includes("transfer-encoding: chunked")) {
    return text.endsWith("\r\n0\r\n\r\n");
  }
  const [head = "", body = ""] = text.split("\r\n\r\n", 2);
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  return length !== undefined && body.length === Number(length);
}

function outcomeOf(caller: SocketCaller, bench: Bench, id: string) {
  return {
    status: caller.text.slice(9, 12),
    isWhole: isWhole(caller.text),
    ran: received(bench).some((request) => request.id === id),
  };
}

const REJECTED = { status: "503", isWhole: true, ran: false };

test.serial("guards against passing on a request whose body is whole too late for its server to finish in a planned stop", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  streamEvents(backend);
  await streamOnce(bench);
  const stopped = bench.gateways[0]!.gateway.stop();
  await sleep(500);
  const caller = openCaller(bench);
  caller.socket.write(chunkedHead("/single/slow", "late"));
  await sleep(2_600);
  caller.socket.write(LAST_CHUNK);
  const ended = await Promise.race([
    caller.closed.then(() => "closed"),
    sleep(ENDED_MILLISECONDS, "open"),
  ]);
  await stopped;
  t.is(ended, "closed");
  t.deepEqual(outcomeOf(caller, bench, "late"), REJECTED);
});

test.serial("guards against passing on a request that its router may not finish although another router serves", async (t) => {
  const bench = await startBench({ gateways: 2, backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  streamEvents(backend);
  await streamOnce(bench, "/single/medium");
  const stopped = bench.gateways[0]!.gateway.stop();
  await sleep(200);
  const caller = openCaller(bench);
  caller.socket.write(chunkedHead("/single/slow", "tail") + LAST_CHUNK);
  await Promise.race([caller.closed, sleep(ENDED_MILLISECONDS)]);
  await stopped;
  t.deepEqual(outcomeOf(caller, bench, "tail"), REJECTED);
});

test.serial("guards against a retry at another server that cannot be finished in a planned stop", async (t) => {
  const bench = await startBench({ backends: 2 });
  for (const backend of bench.backends) {
    backend.script((request, response) => {
      setTimeout(() => refuse(request, response), REFUSAL_MILLISECONDS);
    });
  }
  const caller = openCaller(bench);
  caller.socket.write(chunkedHead("/single/slow", "retry") + LAST_CHUNK);
  await sleep(100);
  const stopped = bench.gateways[0]!.gateway.stop();
  await caller.closed;
  const attempts = received(bench).filter(({ id }) => id === "retry").length;
  t.is(attempts, 1);
  const { status, isWhole } = outcomeOf(caller, bench, "retry");
  t.deepEqual({ status, isWhole }, { status: "503", isWhole: true });
  await stopped;
});
test.serial("guards against an upload that waits for the end of a planned stop, or is reset, instead of being rejected at once", async (t) => {
  const bench = await startBench({ backends: 1 });
  const caller = openCaller(bench);
  caller.socket.write(chunkedHead("/single/slow", "upload"));
  await sleep(100);
  const startedAt = performance.now();
  const stopped = bench.gateways[0]!.gateway.stop();
  // The caller goes on sending, as one does that reads when it has sent all.
  caller.socket.pause();
  for (let chunk = 0; chunk < 10; chunk++) {
    caller.socket.write(`400\r\n${"x".repeat(1024)}\r\n`);
    await sleep(20);
  }
  caller.socket.resume();
  await caller.closed;
  const milliseconds = performance.now() - startedAt;
  t.deepEqual(outcomeOf(caller, bench, "upload"), REJECTED);
  t.true(milliseconds < 1_000, `${milliseconds} ms`);
  await stopped;
});
