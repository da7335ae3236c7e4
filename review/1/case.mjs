/**
 * Rule REFUSED: a process is suspended for some seconds while clients that have just
 * connected send their requests. Afterwards it answers them with 408, which promises
 * that they have not run, and passes them on to a runner.
 */
import { connect } from "node:net";
import { Link } from "../support/link.mjs";
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
const CLIENTS = 3;
const ROUNDS = 12;
/** One way between clients and routers, as on the sheet of the site. */
const CLIENT_DELAY_MILLISECONDS = 1;
/** From connecting to sending; the pages allow `headerTimeoutMs`, 3,000 ms. */
const CONNECTED_MILLISECONDS = 100;
/** The bench's usual length of a freeze is 5 s. */
const FREEZE_MILLISECONDS = 3_500;
const DEADLINE_MILLISECONDS = 12_000;
/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

/** A client that connects, and sends one request when it is told to. */
async function openClient(front) {
  const [host, port] = front.split(":");
  const socket = connect(Number(port), host);
  const client = { id: createId(), text: "", socket };
  socket.setEncoding("latin1");
  socket.on("data", (text) => client.text += text);
  socket.on("error", () => undefined);
  client.closed = new Promise((resolve) => socket.once("close", resolve));
  await new Promise((resolve) => socket.once("connect", resolve));
  client.connectedAt = Date.now();
  return client;
}

function sendRequest(client) {
  client.sentAt = Date.now();
  client.socket.write(
    "POST /desk/release HTTP/1.1\r\n" +
      `Host: ${HOST}\r\n` +
      `X-Sapphirecart-Request-Id: ${client.id}\r\n` +
      `X-Sapphirecart-Deadline-Ms: ${DEADLINE_MILLISECONDS}\r\n` +
      "Authorization: Bearer key\r\n" +
      "Content-Length: 7\r\n\r\n" +
      "release",
  );
}

/** Ordinary traffic, after which the router has idle connections to the runners. */
async function serveSomeRequests(front, { record, defer }) {
  const agent = createKeptConnections();
  defer(() => agent.destroy());
  const calls = [];
  for (let index = 0; index < 2 * CLIENTS; index++) {
    calls.push(
      send(front, {
        host: HOST,
        path: "/desk/other",
        key: "key",
        id: createId(),
        method: "POST",
        body: "x",
        agent,
      }),
    );
  }
  const served = (await Promise.all(calls)).filter(({ status }) =>
    status === 200
  );
  record.note(
    `${served.length} of ${calls.length} requests are served before the freeze`,
  );
}

/** Suspends one router while clients send; returns the number of broken promises. */
async function playRound(node, { record, isTrouble, defer, runs }) {
  const link = new Link({ delayMilliseconds: CLIENT_DELAY_MILLISECONDS });
  const front = await link.start(node.front);
  defer(() => link.stop());
  await serveSomeRequests(front, { record, defer });
  const clients = [];
  for (let index = 0; index < CLIENTS; index++) {
    clients.push(await openClient(front));
  }
  defer(() => clients.forEach(({ socket }) => socket.destroy()));
  await sleep(CONNECTED_MILLISECONDS);
  if (isTrouble) {
    node.child.kill("SIGSTOP");
    record.note(`${node.name} is suspended (SIGSTOP)`);
  }
  for (const client of clients) sendRequest(client);
  await sleep(FREEZE_MILLISECONDS);
  if (isTrouble) {
    node.child.kill("SIGCONT");
    record.note(`${node.name} goes on (SIGCONT)`);
  }
  await sleep(1_000);
  let violations = 0;
  for (const { id, connectedAt, sentAt, text } of clients) {
    const run = runs.get(id);
    const status = Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0);
    const isBroken = PROMISES.has(status) && run !== undefined;
    if (isBroken) violations++;
    record.note(
      `${node.name}: request ${id}, sent ${
        sentAt - connectedAt
      } ms after its client had connected: ` +
        `answered with ${status || "nothing"}; ` +
        (run
          ? `run by ${run.runner} ${run.at - sentAt} ms after it was sent`
          : "not run") +
        (isBroken ? "; BROKEN: the status promises that it has not run" : ""),
      sentAt,
    );
  }
  return violations;
}

await runCase(import.meta.url, async ({ record, isTrouble, defer }) => {
  const store = new Store();
  const storeAddress = await store.start();
  defer(() => store.stop());
  const runs = new Map();
  for (const id of ["i-1", "i-2"]) {
    const runner = new Runner({
      id,
      service: "desk",
      workMilliseconds: () => 50,
      onRun: (run) => runs.set(run.id, run),
    });
    await runner.start();
    defer(() => runner.stop());
    store.put("servers", id, runner.entry());
  }
  store.put(
    "config",
    "main",
    createConfiguration({
      version: 10,
      routes: [{
        name: "desk",
        host: HOST,
        pathPrefix: "/desk/",
        routeType: "non_idempotent",
        service: "desk",
        timeoutMs: DEADLINE_MILLISECONDS,
      }],
      services: ["desk"],
      tenants: [{ name: "temple", apiKeys: ["key"] }],
    }),
  );
  const fleet = new Fleet();
  defer(() => fleet.stop());
  await fleet.start(ROUTERS, storeAddress, record);
  record.note("all routers are ready");
  await sleep(4_000);

  let violations = 0;
  for (let round = 0; round < ROUNDS; round++) {
    const node = fleet.nodes[round % ROUTERS];
    violations += await playRound(node, { record, isTrouble, defer, runs });
  }
  return violations;
});
