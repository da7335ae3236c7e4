/**
 * Rule CONFIG (requests unanswered at `timeoutMs`): one runner sends bytes that are not a
 * response, once, and the process that reads them stands still for seconds.
 */
import { createServer } from "node:net";
import { Store } from "../support/store.mjs";
import { Runner } from "../support/runner.mjs";
import {
  createConfiguration,
  createId,
  createKeptConnections,
  Fleet,
  runCase,
  send,
  sleep,
} from "../support/fleet.mjs";

const ROUTERS = 3;
const HOST = "shop.example";
/** As on the sheet of the site, for its short requests. */
const TIMEOUT_MILLISECONDS = 2_000;
/** The rule allows half a second after `timeoutMs`. */
const LATE_MILLISECONDS = 500;
const CLIENT_DEADLINE_MILLISECONDS = 12_000;
const REQUEST_PERIOD_MILLISECONDS = 50;
const CALM_MILLISECONDS = 3_000;
const OBSERVE_MILLISECONDS = 8_000;
/** No status of HTTP, so these bytes are not a response. */
const NO_RESPONSE = "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nok";
/** A few stragglers would prove little. */
const MINIMUM_UNANSWERED = 10;

/** A faulty runner: sends bytes that are not a response for one request, and ends. */
async function startFaultyRunner(isTrouble, record) {
  let hasFailed = false;
  const sockets = new Set();
  const server = createServer((socket) => {
    sockets.add(socket);
    let text = "";
    socket.on("error", () => undefined);
    socket.on("data", (bytes) => {
      text += String(bytes);
      const id = /x-sapphirecart-request-id: (\S+)/i.exec(text)?.[1];
      if (!id || !text.includes("\r\n\r\n")) return;
      text = "";
      if (isTrouble && !hasFailed) {
        hasFailed = true;
        record.note(`i-faulty sends bytes that are not a response to ${id}`);
        socket.write(NO_RESPONSE);
        return;
      }
      socket.write(
        "HTTP/1.1 200 OK\r\n" +
          `X-Sapphirecart-Request-Id: ${id}\r\n` +
          `X-Sapphirecart-Response-Signature: s.${id}\r\n` +
          "Content-Length: 2\r\n\r\nok",
      );
    });
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    stop() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

await runCase(import.meta.url, async ({ record, isTrouble, defer }) => {
  const store = new Store();
  const storeAddress = await store.start();
  defer(() => store.stop());
  for (const id of ["i-1", "i-2", "i-3"]) {
    const runner = new Runner({
      id,
      service: "desk",
      workMilliseconds: () => 20,
    });
    await runner.start();
    defer(() => runner.stop());
    store.put("servers", id, runner.entry());
  }
  const faulty = await startFaultyRunner(isTrouble, record);
  defer(() => faulty.stop());
  store.put(
    "config",
    "main",
    createConfiguration({
      version: 10,
      routes: [{
        name: "desk",
        host: HOST,
        pathPrefix: "/desk/",
        routeType: "idempotent",
        maxAttempts: 2,
        service: "desk",
        timeoutMs: TIMEOUT_MILLISECONDS,
        targetLatencyMs: 300,
      }],
      services: ["desk"],
      tenants: [{ name: "temple", apiKeys: ["key"] }],
    }),
  );
  const fleet = new Fleet();
  defer(() => fleet.stop());
  await fleet.start(ROUTERS, storeAddress, record);
  record.note("all routers are ready");

  const agent = createKeptConnections();
  defer(() => agent.destroy());
  const calls = [];
  const startedAt = Date.now();
  let isRegistered = false;
  while (Date.now() < startedAt + CALM_MILLISECONDS + OBSERVE_MILLISECONDS) {
    if (!isRegistered && Date.now() > startedAt + CALM_MILLISECONDS) {
      isRegistered = true;
      store.put("servers", "i-faulty", {
        service: "desk",
        address: faulty.address,
        zone: "a",
        version: "v1",
        slots: 64,
        state: "ready",
        coldRemainingMs: 0,
        sequence: 1,
        born: Date.now(),
      });
      record.note("i-faulty registers");
    }
    for (const { name, front } of fleet.nodes) {
      const call = {
        host: HOST,
        path: "/desk/1",
        key: "key",
        id: createId(),
        agent,
        deadlineMilliseconds: CLIENT_DEADLINE_MILLISECONDS,
      };
      calls.push(send(front, call).then((result) => ({ ...result, name })));
    }
    await sleep(REQUEST_PERIOD_MILLISECONDS);
  }
  let unanswered = 0;
  let late = 0;
  for (
    const { id, sentAt, endedAt, status, error, name } of await Promise.all(
      calls,
    )
  ) {
    const milliseconds = endedAt - sentAt;
    const isUnanswered = milliseconds > TIMEOUT_MILLISECONDS;
    const isLate = milliseconds > TIMEOUT_MILLISECONDS + LATE_MILLISECONDS;
    if (isUnanswered) unanswered++;
    if (isLate) late++;
    record.note(
      `${name}: request ${id} got ${status || error} after ${milliseconds} ms` +
        (isLate
          ? `; LATE: no answer at ${
            TIMEOUT_MILLISECONDS + LATE_MILLISECONDS
          } ms`
          : ""),
      sentAt,
    );
  }
  record.note(
    `${unanswered} of ${calls.length} requests had no answer at timeoutMs, ` +
      `and ${late} of these none half a second later (the rule is broken by more than half)`,
  );
  const isBroken = unanswered >= MINIMUM_UNANSWERED && late > unanswered / 2;
  return isBroken ? late : 0;
});
