/**
 * Rule DRAIN: open connections to the store fall silent, and a runner that reports
 * draining afterwards gets requests for seconds.
 */
import { Store } from "../support/store.mjs";
import { Link } from "../support/link.mjs";
import { Runner } from "../support/runner.mjs";
import {
  BOUNDS,
  createConfiguration,
  createId,
  createKeptConnections,
  Fleet,
  runCase,
  send,
  sleep,
} from "../support/fleet.mjs";

const ROUTERS = 3;
const RUNNERS = 3;
const HOST = "shop.example";
/** Time from the silence to the drain notice: `contactMs` and a little more. */
const DRAIN_AFTER_MILLISECONDS = BOUNDS.contactMs + 100;
const OBSERVE_MILLISECONDS = 8_000;
const REQUEST_PERIOD_MILLISECONDS = 20;

await runCase(import.meta.url, async ({ record, isTrouble, defer }) => {
  const store = new Store();
  const link = new Link();
  const storeAddress = await link.start(await store.start());
  defer(() => store.stop());
  defer(() => link.stop());
  const runs = [];
  async function startRunner(id) {
    const runner = new Runner({
      id,
      service: "desk",
      onRun: (run) => runs.push(run),
    });
    await runner.start();
    defer(() => runner.stop());
    store.put("servers", id, runner.entry());
    record.note(`${id} registers`);
    return runner;
  }
  const leaving = await startRunner("i-1");
  for (let index = 2; index <= RUNNERS; index++) {
    await startRunner(`i-${index}`);
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
  await startRunner(`i-${RUNNERS + 1}`);
  await sleep(500);
  if (isTrouble) {
    record.note(
      `${link.silence()} open connections to the store fall silent; new ones work`,
    );
  }
  await sleep(DRAIN_AFTER_MILLISECONDS);
  store.put("servers", leaving.id, leaving.entry("draining"));
  const acknowledgedAt = Date.now();
  record.note(`the store acknowledges that ${leaving.id} is draining`);

  const agent = createKeptConnections();
  defer(() => agent.destroy());
  const calls = [];
  while (Date.now() < acknowledgedAt + OBSERVE_MILLISECONDS) {
    for (const { name, front } of fleet.nodes) {
      const call = {
        host: HOST,
        path: "/desk/1",
        key: "key",
        id: createId(),
        method: "POST",
        body: "x",
        agent,
      };
      calls.push(send(front, call).then((result) => ({ ...result, name })));
    }
    await sleep(REQUEST_PERIOD_MILLISECONDS);
  }
  let violations = 0;
  let latest = 0;
  const runById = new Map(runs.map((run) => [run.id, run]));
  for (const { id, sentAt, status, name } of await Promise.all(calls)) {
    const run = runById.get(id);
    const late = run ? run.at - acknowledgedAt : 0;
    const isBroken = run?.runner === leaving.id && late > BOUNDS.drainMs;
    if (isBroken) violations++;
    if (isBroken) latest = Math.max(latest, late);
    record.note(
      `${name}: request ${id}, sent ${
        sentAt - acknowledgedAt
      } ms after the acknowledgement, got ${status}` +
        (run ? `; reached ${run.runner} at ${late} ms` : "; not run") +
        (isBroken ? "; BROKEN: the runner is leaving" : ""),
      sentAt,
    );
  }
  record.note(
    `${violations} of ${calls.length} requests reached the leaving runner too late, ` +
      `the last ${latest} ms after the acknowledgement (bound ${BOUNDS.drainMs} ms)`,
  );
  return violations;
});
