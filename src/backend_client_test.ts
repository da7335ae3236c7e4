import test, { type ExecutionContext } from "ava";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { startEngine } from "../stand_ins/engine.ts";
import { outputText } from "../stand_ins/engine_text.ts";
import { startPlainService } from "../stand_ins/plain_service.ts";
import type { ChatStreamEvent } from "./backend_client.ts";
import { createHttpBackendClient } from "./http_backend_client.ts";
import type { ErrorKind } from "./core/errors.ts";
import { brandId, type SocketAddress } from "./core/ids.ts";
import { createSystemTimerService } from "./timer_service.ts";

const MESSAGES = [{
  role: "user",
  content: "where are the shoes of slot four",
}];

function createFixture(t: ExecutionContext, maximumResumes = 3) {
  const timers = createSystemTimerService();
  const client = createHttpBackendClient({ timers, maximumResumes });
  t.teardown(() => client.stop());
  function now(): number {
    return timers.clock.monotonicMilliseconds();
  }
  return { client, now };
}

async function postJson(address: string, path: string, body: unknown) {
  await fetch(`http://${address}${path}`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
}

async function readCounters(address: string) {
  const response = await fetch(`http://${address}/counters`);
  return await response.json() as {
    runs: Record<string, number>;
    doubles: unknown;
  };
}

/** Starts a TCP server that calls listeners on connections and on bytes. */
async function startTcpServer(
  t: ExecutionContext,
  onBytes: (socket: Socket) => void,
  onConnect: (socket: Socket) => void = () => {},
) {
  const seen = { connections: 0 };
  const server = createServer((socket) => {
    seen.connections++;
    socket.on("error", () => {});
    socket.on("data", () => onBytes(socket));
    onConnect(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { seen, address: brandId<SocketAddress>(`127.0.0.1:${port}`) };
}

for (const fault of ["close_after_body", "drop_replies"]) {
  test(`guards against a second run when the response is lost (${fault})`, async (t) => {
    const service = await startPlainService();
    t.teardown(() => service.stop());
    const { client, now } = createFixture(t);
    await postJson(service.address, "/faults", { [fault]: 1 });
    const result = await client.call({
      address: brandId<SocketAddress>(service.address),
      method: "POST",
      path: "/slots/4/release",
      headers: { "x-request-id": "r1" },
      idempotent: false,
      deadline: now() + 2_000,
    });
    t.is(result._unsafeUnwrapErr().kind, "outcome_unknown");
    const expected = fault === "drop_replies" ? { r1: 1 } : {};
    t.deepEqual((await readCounters(service.address)).runs, expected);
  });
}

test("guards against a second connection for a non-idempotent call", async (t) => {
  // HTTP clients reconnect when a connection closes before the request is sent.
  for (const closeAt of ["bytes", "connect", "reset"]) {
    let bytesArrived = false;
    const server = await startTcpServer(t, (socket) => {
      bytesArrived = true;
      socket.destroy();
    }, (socket) => {
      if (closeAt === "connect") socket.end();
      if (closeAt === "reset") socket.resetAndDestroy();
    });
    const { client, now } = createFixture(t);
    const result = await client.call({
      address: server.address,
      method: "POST",
      path: "/slots/4/release",
      body: "x".repeat(100_000),
      idempotent: false,
      deadline: now() + 2_000,
    });
    const { kind } = result._unsafeUnwrapErr();
    t.is(server.seen.connections, 1, closeAt);
    if (closeAt === "bytes") t.is(kind, "outcome_unknown");
    // A reset may arrive before the client sees the connection as established.
    else if (kind !== "outcome_unknown") {
      t.deepEqual([kind, bytesArrived], ["backend_unreachable", false]);
    }
  }
});

test("guards against a service call that returns a response whose status is none of HTTP", async (t) => {
  const { client, now } = createFixture(t);
  for (const status of ["000", "600", "999"]) {
    const { address } = await startTcpServer(t, (socket) => {
      socket.end(`HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\nok`);
    });
    for (const idempotent of [true, false]) {
      const result = await client.call({
        address,
        method: "GET",
        path: "/slots/4",
        idempotent,
        deadline: now() + 2_000,
      });
      t.is(result._unsafeUnwrapErr().kind, "outcome_unknown", status);
    }
  }
});

test("guards against reporting an unknown outcome when nothing was sent", async (t) => {
  const server = await startTcpServer(t, () => t.fail("a byte was sent"));
  const service = await startPlainService();
  await service.stop();
  const { client, now } = createFixture(t);
  const base = { method: "POST", path: "/slots/4/release" };
  const refusingAddress = brandId<SocketAddress>(service.address);
  const kinds: ErrorKind[] = [];
  for (const idempotent of [true, false]) {
    const refused = await client.call({
      ...base,
      address: refusingAddress,
      idempotent,
      deadline: now() + 2_000,
    });
    const expired = await client.call({
      ...base,
      address: server.address,
      idempotent,
      deadline: now() - 1,
    });
    const aborted = await client.call({
      ...base,
      address: server.address,
      idempotent,
      deadline: now() + 2_000,
      signal: AbortSignal.abort(),
    });
    for (const result of [refused, expired, aborted]) {
      kinds.push(result._unsafeUnwrapErr().kind);
    }
  }
  const kindsPerMode: ErrorKind[] = [
    "backend_unreachable",
    "deadline_exceeded",
    "deadline_exceeded",
  ];
  t.deepEqual(kinds, [...kindsPerMode, ...kindsPerMode]);
});

test("guards against responses of unbounded size or duration", async (t) => {
  const server = await startTcpServer(t, (socket) => {
    socket.write("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(10_000));
  });
  const { client, now } = createFixture(t);
  const call = {
    address: server.address,
    method: "GET",
    path: "/",
    idempotent: true,
  };
  const large = await client.call({
    ...call,
    deadline: now() + 2_000,
    maximumResponseBytes: 5_000,
  });
  t.regex(large._unsafeUnwrapErr().detail, /larger than 5000 bytes/);
  const started = now();
  const slow = await client.call({ ...call, deadline: now() + 100 });
  t.is(slow._unsafeUnwrapErr().kind, "outcome_unknown");
  t.true(now() - started < 1_000);
});

test("guards against treating an error status as a lost response", async (t) => {
  const service = await startPlainService({ key: "secret" });
  t.teardown(() => service.stop());
  const { client, now } = createFixture(t);
  const result = await client.call({
    address: brandId<SocketAddress>(service.address),
    method: "POST",
    path: "/slots/4/release",
    idempotent: false,
    deadline: now() + 2_000,
  });
  t.is(result._unsafeUnwrap().status, 401);
});

async function readChat(
  t: ExecutionContext,
  faults: Record<string, number>,
  maximumResumes = 3,
) {
  const engine = await startEngine({ timeScale: 10 });
  t.teardown(() => engine.stop());
  const { client, now } = createFixture(t, maximumResumes);
  await postJson(engine.address, "/faults", faults);
  const opened = await client.streamChat({
    address: brandId<SocketAddress>(engine.address),
    requestId: "r1",
    body: { model: "m", messages: MESSAGES, max_tokens: 20 },
    deadline: now() + 5_000,
  });
  const opening = opened._unsafeUnwrap();
  const events: ChatStreamEvent[] = [];
  let failure: ErrorKind | undefined;
  if (opening.kind === "stream") {
    for await (const event of opening.events) {
      if (event.isOk()) events.push(event.value);
      else failure = event.error.kind;
    }
  }
  const { runs } = await readCounters(engine.address);
  const text = events.map((event) => event.text).join("");
  return { text, events, failure, runs };
}

test("guards against missing or duplicate tokens after a truncated stream", async (t) => {
  for (const truncateAfter of [0, 1, 7, 19]) {
    const faults = {
      truncate_streams: 3,
      truncate_after_tokens: truncateAfter,
    };
    const { text, events, failure, runs } = await readChat(t, faults);
    t.is(failure, undefined);
    t.is(text, outputText(MESSAGES, 20));
    t.deepEqual(
      events.slice(0, -1).map((event) => event.offset),
      Array.from({ length: 20 }, (_unused, index) => index + 1),
    );
    t.true(events.at(-1)?.done);
    t.is(events.at(-1)?.usage?.completionTokens, 20);
    t.deepEqual(runs, { r1: 1 });
  }
});

test("guards against ending a truncated stream as if it were complete", async (t) => {
  const faults = { truncate_streams: 3, truncate_after_tokens: 5 };
  const { text, events, failure } = await readChat(t, faults, 2);
  t.is(failure, "answer_truncated");
  t.is(text, outputText(MESSAGES, 15));
  t.false(events.some((event) => event.done));
});

function chunk(id: string, offset: number): string {
  const choices = [{ delta: { content: "a " } }];
  return `data: ${JSON.stringify({ id, offset, choices })}\n\n`;
}

test("guards against accepting tokens of another stream or after a gap", async (t) => {
  for (const second of [chunk("other", 2), chunk("s", 3)]) {
    const server = await startTcpServer(t, (socket) => {
      const head = "HTTP/1.1 200 OK\r\nx-stream-id: s\r\n\r\n";
      socket.end(head + chunk("s", 1) + second + "data: [DONE]\n\n");
    });
    const { client, now } = createFixture(t, 0);
    const opened = await client.streamChat({
      address: server.address,
      requestId: "r1",
      body: {},
      deadline: now() + 2_000,
    });
    const opening = opened._unsafeUnwrap();
    const seen: string[] = [];
    if (opening.kind === "stream") {
      for await (const event of opening.events) {
        seen.push(event.isOk() ? event.value.text : event.error.kind);
      }
    }
    t.deepEqual(seen, ["a ", "answer_truncated"]);
  }
});

test("guards against the router and the engine reading a control message differently", async (t) => {
  const engine = await startEngine({
    timeScale: 50,
    loadLagMilliseconds: 0,
    eventLagMilliseconds: 0,
    loadMilliseconds: 1,
    checksFencing: true,
    models: ["m@1"],
  });
  const nextEngine = await startEngine({ eventLagMilliseconds: 0 });
  t.teardown(() => Promise.all([engine.stop(), nextEngine.stop()]));
  const { client, now } = createFixture(t);
  const address = brandId<SocketAddress>(engine.address);
  const nextAddress = brandId<SocketAddress>(nextEngine.address);
  await client.call({
    address,
    method: "POST",
    path: "/v1/chat/completions",
    headers: { "content-type": "application/json", "x-request-id": "r1" },
    body: JSON.stringify({ model: "m", messages: MESSAGES, chat: "c1" }),
    idempotent: false,
    deadline: now() + 2_000,
  });
  t.is((await client.readLoad(address))._unsafeUnwrap().tokensInFlight, 0);
  const { events } = (await client.readCacheEvents(address, 0))._unsafeUnwrap();
  t.is(events[0]?.chat, "c1");
  const exported = await client.exportCache(address, ["c1"], 1_000_000);
  await client.importCache(nextAddress, exported._unsafeUnwrap());
  const imported = await client.readCacheEvents(nextAddress, 0);
  t.deepEqual(imported._unsafeUnwrap().events[0]?.blocks, events[0]?.blocks);

  const order = {
    kind: "load",
    target: { model: "m", version: "2" },
    fencingNumber: 5,
    notAfterMilliseconds: Date.now() + 5_000,
  } as const;
  t.true((await client.sendOrder(address, order)).isOk());
  const older = await client.sendOrder(address, { ...order, fencingNumber: 4 });
  const expired = await client.sendOrder(address, {
    ...order,
    notAfterMilliseconds: Date.now() - 1,
  });
  t.is(older._unsafeUnwrapErr().kind, "order_rejected");
  t.is(expired._unsafeUnwrapErr().kind, "order_rejected");
  await new Promise((resolve) => setTimeout(resolve, 20));
  const state = (await client.readState(address))._unsafeUnwrap();
  t.deepEqual(state.items, [
    { model: "m", version: "1", state: "serving" },
    { model: "m", version: "2", state: "standby" },
  ]);
  t.is(state.fencingNumber, 5);
});
