/**
 * Rule CONFIG: open connections to the store fall silent, and a later version of
 * the configuration is not in force in time.
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
const HOST = "shop.example";
/** Time from the silence to the new version: `contactMs` and a second more. */
const CHANGE_AFTER_MILLISECONDS = BOUNDS.contactMs + 1_000;
const OBSERVE_MILLISECONDS = 20_000;
const REQUEST_PERIOD_MILLISECONDS = 100;

const ROUTE = {
  name: "orders",
  host: HOST,
  pathPrefix: "/orders/",
  routeType: "idempotent",
};
const OTHER = {
  name: "other",
  host: HOST,
  pathPrefix: "/other/",
  routeType: "idempotent",
  service: "desk-old",
};
const BOTH_KEYS = [{ name: "temple", apiKeys: ["key-kept", "key-withdrawn"] }];
const ONE_KEY = [{ name: "temple", apiKeys: ["key-kept"] }];
const SERVICES = ["desk-old", "desk-new"];

await runCase(import.meta.url, async ({ record, isTrouble, defer }) => {
  const store = new Store();
  const link = new Link();
  const storeAddress = await link.start(await store.start());
  defer(() => store.stop());
  defer(() => link.stop());
  const runs = [];
  for (const service of SERVICES) {
    const runner = new Runner({
      id: `i-${service}`,
      service,
      onRun: (run) => runs.push(run),
    });
    await runner.start();
    defer(() => runner.stop());
    store.put("servers", runner.id, runner.entry());
  }
  function change(version, routes, tenants) {
    store.put(
      "config",
      "main",
      createConfiguration({ version, routes, services: SERVICES, tenants }),
    );
    record.note(`the store acknowledges version ${version}`);
    return Date.now();
  }
  const first = [{ ...ROUTE, service: "desk-old" }];
  change(10, first, BOTH_KEYS);
  const fleet = new Fleet();
  defer(() => fleet.stop());
  await fleet.start(ROUTERS, storeAddress, record);
  record.note("all routers are ready");
  await sleep(3_000);
  change(20, [...first, OTHER], BOTH_KEYS);
  await sleep(1_500);
  if (isTrouble) {
    record.note(
      `${link.silence()} open connections to the store fall silent; new ones work`,
    );
  }
  await sleep(CHANGE_AFTER_MILLISECONDS);
  // The route moves to another service, and a key is withdrawn.
  const acknowledgedAt = change(
    30,
    [{ ...ROUTE, service: "desk-new" }, OTHER],
    ONE_KEY,
  );

  const agent = createKeptConnections();
  defer(() => agent.destroy());
  const calls = [];
  while (Date.now() < acknowledgedAt + OBSERVE_MILLISECONDS) {
    for (const { name, front } of fleet.nodes) {
      for (const key of BOTH_KEYS[0].apiKeys) {
        const call = {
          host: HOST,
          path: "/orders/1",
          key,
          id: createId(),
          agent,
        };
        calls.push(
          send(front, call).then((result) => ({ ...result, key, name })),
        );
      }
    }
    await sleep(REQUEST_PERIOD_MILLISECONDS);
  }
  let violations = 0;
  let latest = 0;
  const runById = new Map(runs.map((run) => [run.id, run]));
  for (
    const { id, sentAt, endedAt, status, key, name } of await Promise.all(calls)
  ) {
    const run = runById.get(id);
    const late = sentAt - acknowledgedAt;
    const isOldService = run?.service === "desk-old";
    const isOldKey = run !== undefined && key === "key-withdrawn";
    const isBroken = late > BOUNDS.configApplyMs && (isOldService || isOldKey);
    if (isBroken) violations++;
    if (isBroken) latest = Math.max(latest, late);
    record.note(
      `${name}: request ${id} with ${key}, sent ${late} ms after the acknowledgement, ` +
        `got ${status} after ${endedAt - sentAt} ms` +
        (run ? `; run by ${run.service}` : "; not run") +
        (isBroken ? "; BROKEN: only versions before 30 allow this" : ""),
      sentAt,
    );
  }
  record.note(
    `${violations} of ${calls.length} requests were handled as only an older version allows, ` +
      `the last ${latest} ms after the acknowledgement (bound ${BOUNDS.configApplyMs} ms)`,
  );
  return violations;
});
