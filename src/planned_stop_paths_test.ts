/** Further paths from a whole request to its answer while its router stops. */
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import {
  type Bench,
  received,
  registerForCleanup,
  requestText,
  ROUTES,
  startBench,
  stopBenches,
  waitUntil,
} from "../stand_ins/gateway_test_bench.ts";
import {
  startGateways,
  testConfiguration,
} from "../stand_ins/gateway_fleet.ts";
import { stall, startLeavingCallers } from "../stand_ins/leaving_callers.ts";
import { MemoryFleet } from "../stand_ins/memory_fleet_store.ts";
import { responseHeaders, startRawBackend } from "../stand_ins/raw_backend.ts";
import { readReceived } from "../stand_ins/received_response.ts";
import type { SocketCaller } from "../stand_ins/socket_callers.ts";
import {
  openCaller,
  postHead,
  respondWithEvents,
} from "../stand_ins/stopping_callers.ts";

/** Longer than the time after which a server of the bench's routes is suspect. */
const SILENT_WORK_MILLISECONDS = 1_400;
/** More than is buffered, so that the body is sent on while it arrives. */
const STREAMED_BODY_BYTES = 300 * 1024;
/** When a bench's gateway has been killed, and some more. */
const ENDED_MILLISECONDS = 4_200;
/** Shorter than the time for which a stopping router accepts connections. */
const SHORT_GRACE_MILLISECONDS = 2_000;

test.after.always(stopBenches);

function statusOf({ text }: SocketCaller): string {
  return text.slice(9, 12);
}

function hasRun(bench: Bench, id: string): boolean {
  return received(bench).some((request) => request.id === id);
}

/** Streams events for the time that the path ends with, in milliseconds. */
function streamEvents(bench: Bench): void {
  for (const backend of bench.backends) {
    backend.script(({ id, path }, response) => {
      const milliseconds = Number(path.split("/").at(-1));
      respondWithEvents(response, id, milliseconds);
    });
  }
}

test.serial("guards against cancelling a request at a slow server for a retry that a stopping router does not send", async (t) => {
  const bench = await startBench({ backends: 2 });
  for (const backend of bench.backends) {
    backend.script(({ id }, response) => {
      setTimeout(() => {
        response.writeHead(200, responseHeaders(id));
        response.end("done");
      }, SILENT_WORK_MILLISECONDS);
    });
  }
  const caller = openCaller(bench);
  caller.socket.write(
    postHead("/safe/x", "silent", "content-length: 1") + "x",
  );
  await waitUntil(() => hasRun(bench, "silent"), "the request runs");
  const stopped = bench.gateways[0]!.gateway.stop();
  await Promise.race([caller.closed, sleep(ENDED_MILLISECONDS)]);
  await stopped;
  t.is(statusOf(caller), "200");
});

test.serial("guards against discarding a server's error for a retry that a stopping router does not send", async (t) => {
  const bench = await startBench({ backends: 2 });
  for (const backend of bench.backends) {
    backend.script(({ id }, response) => {
      setTimeout(() => {
        response.writeHead(500, responseHeaders(id));
        response.end("failed");
      }, 300);
    });
  }
  const caller = openCaller(bench);
  caller.socket.write(postHead("/safe/x", "error", "content-length: 1") + "x");
  await waitUntil(() => hasRun(bench, "error"), "the request runs");
  const stopped = bench.gateways[0]!.gateway.stop();
  await Promise.race([caller.closed, sleep(ENDED_MILLISECONDS)]);
  await stopped;
  t.is(statusOf(caller), "500");
});

test.serial("guards against cutting a stream whose long body was still arriving when it was sent on in a planned stop", async (t) => {
  const bench = await startBench({ backends: 1 });
  streamEvents(bench);
  const first = openCaller(bench);
  first.socket.write(postHead("/single/100", "first", "content-length: 0"));
  await waitUntil(() => first.text.endsWith("0\r\n\r\n"), "the first ends");
  first.socket.destroy();
  const stopped = bench.gateways[0]!.gateway.stop();
  await sleep(500);
  const caller = openCaller(bench);
  const framing = `content-length: ${STREAMED_BODY_BYTES + 1}`;
  caller.socket.write(postHead("/single/6000", "long", framing));
  caller.socket.write("x".repeat(STREAMED_BODY_BYTES));
  await sleep(2_600);
  if (!caller.socket.destroyed) caller.socket.write("x");
  await Promise.race([caller.closed, sleep(ENDED_MILLISECONDS)]);
  await stopped;
  const isCut = statusOf(caller) === "200" &&
    !caller.text.endsWith("\r\n0\r\n\r\n");
  t.deepEqual({ isCut, hasResponse: caller.text !== "" }, {
    isCut: false,
    hasResponse: true,
  });
});

test.serial("guards against a planned stop that accepts connections for longer than its grace time and leaves requests without a response", async (t) => {
  const fleet = new MemoryFleet();
  fleet.setConfiguration(testConfiguration(1, ROUTES));
  const backend = await startRawBackend();
  backend.script(() => undefined);
  fleet.setServer(backend.registration("s0"));
  const gateways = await startGateways(fleet, 1, SHORT_GRACE_MILLISECONDS);
  const bench = { fleet, gateways, backends: [backend] };
  registerForCleanup(bench);
  await waitUntil(
    () => gateways[0]!.lines.join("").includes("registry.changed"),
    "the gateway is ready",
  );
  const caller = openCaller(bench);
  caller.socket.write(postHead("/once/x", "short", "content-length: 1") + "x");
  await waitUntil(() => hasRun(bench, "short"), "the request runs");
  const stopped = gateways[0]!.gateway.stop();
  await Promise.race([caller.closed, sleep(SHORT_GRACE_MILLISECONDS)]);
  const status = statusOf(caller);
  await stopped;
  t.is(status, "502");
});

test.serial("guards against closing a connection after the first of two pipelined responses although the second request runs", async (t) => {
  const bench = await startBench({ backends: 2 });
  for (const backend of bench.backends) {
    backend.script(({ id, path }, response) => {
      setTimeout(() => {
        response.writeHead(200, responseHeaders(id));
        response.end(id);
      }, path.endsWith("first") ? 300 : 600);
    });
  }
  const caller = openCaller(bench);
  caller.socket.write(
    requestText("/once/first", "one") + requestText("/once/second", "two"),
  );
  await waitUntil(() => hasRun(bench, "two"), "both requests run");
  const stopped = bench.gateways[0]!.gateway.stop();
  await Promise.race([caller.closed, sleep(ENDED_MILLISECONDS)]);
  await stopped;
  t.is(caller.text.match(/HTTP\/1\.1 200/g)?.length, 2);
});

test.serial("guards against a connection that stays open after its last response because the caller does not close it", async (t) => {
  const bench = await startBench({ backends: 1 });
  const caller = openCaller(bench, { allowHalfOpen: true });
  const startedAt = performance.now();
  caller.socket.write(requestText("/once/x", "last", "Connection: close\r\n"));
  await waitUntil(() => caller.text.includes("/once/x"), "the response came");
  const polls = setInterval(() => caller.socket.write("x"), 100);
  await caller.closed;
  clearInterval(polls);
  const milliseconds = performance.now() - startedAt;
  t.is(statusOf(caller), "200");
  t.true(milliseconds < 2_500, `${milliseconds} ms`);
});

test.serial("guards against marking a response without a length as complete when a planned stop cuts it, and against losing the end of a whole one", async (t) => {
  const bench = await startBench({ backends: 1 });
  bench.backends[0]!.script(({ id, path }, response) => {
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, { ...responseHeaders(id), Connection: "close" });
    response.write("begun");
    if (path.endsWith("whole")) setTimeout(() => response.end("end"), 800);
  });
  const [whole, cut] = [openCaller(bench), openCaller(bench)];
  whole.socket.write(requestText("/once/whole", "whole"));
  cut.socket.write(requestText("/once/cut", "cut"));
  await waitUntil(
    () => [whole, cut].every(({ text }) => text.includes("begun")),
    "both responses have begun",
  );
  const stopped = bench.gateways[0]!.gateway.stop();
  await Promise.all([whole.closed, cut.closed]);
  await stopped;
  const received = [whole, cut].map(({ text }) => readReceived(text));
  t.deepEqual(received.map(({ body }) => body), ["begunend", "begun"]);
  t.deepEqual(received.map(({ looksWhole }) => looksWhole), [true, false]);
});

test.serial("guards against a connection that a begun stream keeps open past a planned stop, and against a second request on it without a response", async (t) => {
  const bench = await startBench({ backends: 1 });
  streamEvents(bench);
  const caller = openCaller(bench);
  caller.socket.write(postHead("/single/600", "begun", "content-length: 0"));
  await waitUntil(() => caller.text.includes("data: x"), "it has begun");
  const stopped = bench.gateways[0]!.gateway.stop();
  await waitUntil(() => caller.text.endsWith("0\r\n\r\n"), "it has ended");
  caller.socket.write(requestText("/short/100", "second"));
  const ended = await Promise.race([
    caller.closed.then(() => "closed"),
    sleep(1_000, "open"),
  ]);
  await stopped;
  t.is(ended, "closed");
  t.is(caller.text.match(/HTTP\/1\.1 200/g)?.length, 2);
  t.true(caller.text.endsWith("0\r\n\r\n"), caller.text.slice(-20));
});

test.serial("guards against running a request without answering it when it arrives on a kept connection as the connections close", async (t) => {
  const bench = await startBench({ backends: 1 });
  bench.backends[0]!.script(({ id, path }, response) => {
    setTimeout(() => {
      response.writeHead(200, responseHeaders(id));
      response.end(path);
    }, 60);
  });
  const callers = Array.from({ length: 40 }, () => openCaller(bench));
  for (const [index, { socket }] of callers.entries()) {
    socket.write(requestText("/once/x", `kept-${index}`));
  }
  await waitUntil(
    () => callers.every(({ text }) => text.includes("/once/x")),
    "all connections are kept",
  );
  for (const caller of callers) caller.text = "";
  const stopped = bench.gateways[0]!.gateway.stop();
  await sleep(2_900);
  for (const [index, { socket }] of callers.entries()) {
    await sleep(5);
    socket.write(requestText("/short/x", `crossing-${index}`));
  }
  await Promise.all(callers.map(({ closed }) => closed));
  await stopped;
  const lost = callers.filter(({ text }, index) =>
    hasRun(bench, `crossing-${index}`) && !text.includes("/short/x")
  );
  const answered = callers.filter(({ text }) => text !== "").length;
  t.is(lost.length, 0);
  t.true(answered > 0 && answered < callers.length, `${answered} answered`);
});

test.serial("guards against resetting callers that connected while the process stood still, when it stops to accept connections", async (t) => {
  const bench = await startBench({ backends: 1 });
  const callers = await startLeavingCallers({
    callers: bench.gateways[0]!.callers,
    path: "/once/x",
    count: 20,
    connection: "new",
    end: "stay",
  });
  const stopped = bench.gateways[0]!.gateway.stop();
  await sleep(2_500);
  callers.send();
  // Until after the time for which a stopping router accepts connections.
  stall(800);
  await stopped;
  const statuses = (await callers.responses()).map((text) => text.slice(9, 12));
  t.deepEqual(statuses.filter((status) => status === ""), []);
  await callers.stop();
});
