import test from "ava";
import { err, ok } from "neverthrow";
import { request } from "undici";
import {
  type GatewayInTest,
  startGateways,
  testConfiguration,
  testRoute,
} from "../stand_ins/gateway_fleet.ts";
import {
  type Bench,
  call,
  received,
  registerForCleanup,
  ROUTES,
  startBench,
  stopBenches,
  waitUntil,
} from "../stand_ins/gateway_test_bench.ts";
import { MemoryFleet } from "../stand_ins/memory_fleet_store.ts";
import {
  type RawBackend,
  refuse,
  responseHeaders,
} from "../stand_ins/raw_backend.ts";
import { createError } from "./core/errors.ts";

test.after.always(stopBenches);

test.serial("guards against sending requests to a draining server, and against responding 404 from a router that has no configuration yet", async (t) => {
  const bench = await startBench();
  const [first] = bench.backends as [RawBackend];
  bench.fleet.setServer(first.registration("s0", { isDraining: true }));
  await new Promise((resolve) => setTimeout(resolve, 100));
  for (let index = 0; index < 10; index++) await call(bench);
  t.is(first.received.length, 0);
  const empty = await startGateways(new MemoryFleet(), 1);
  const lone: Bench = { fleet: bench.fleet, gateways: empty, backends: [] };
  registerForCleanup(lone);
  t.is((await call(lone, { path: "/none/x" })).status, 503);
});

test.serial("guards against a router keeping outdated routes or servers while its store requests fail", async (t) => {
  const bench = await startBench({ gateways: 2 });
  bench.gateways[1]!.store.setFailing(true);
  bench.fleet.setConfiguration(
    testConfiguration(2, [...ROUTES, testRoute("added")]),
  );
  bench.fleet.removeServer(bench.backends[0]!.registration("s0").id);
  const start = Date.now();
  let status = 0;
  while (status !== 200 && Date.now() - start < 5_000) {
    ({ status } = await call(bench, { path: "/added/x", gateway: 1 }));
  }
  t.true(Date.now() - start < 2_000, `routed after ${Date.now() - start} ms`);
  const before = bench.backends[0]!.received.length;
  for (let index = 0; index < 10; index++) await call(bench, { gateway: 1 });
  t.is(bench.backends[0]!.received.length, before);
});

test.serial("guards against every router watching the registry, and against no router replacing watchers whose store requests fail", async (t) => {
  const bench = await startBench({ gateways: 8, backends: 3 });
  function watching(): GatewayInTest[] {
    return bench.gateways.filter(({ store }) => store.waitingServerWatches > 0);
  }
  async function avoids(index: number, draining: RawBackend) {
    const before = draining.received.length;
    for (let count = 0; count < 6; count++) {
      await call(bench, { gateway: index });
    }
    return draining.received.length === before;
  }
  // Watches end at a change or at their timeout; then only four are renewed.
  async function waitUntilShared() {
    await waitUntil(() => {
      const { length } = watching();
      return length > 0 && length <= 4;
    }, "watches are shared");
  }
  // Routers begin to watch shortly after their start, once they know the others.
  await new Promise((resolve) => setTimeout(resolve, 1_000));
  await waitUntilShared();
  const [first, second] = bench.backends as [RawBackend, RawBackend];
  bench.fleet.setServer(first.registration("s0", { isDraining: true }));
  await new Promise((resolve) => setTimeout(resolve, 500));
  for (let index = 0; index < 8; index++) {
    t.true(await avoids(index, first), `router ${index}`);
  }
  // On a busy machine, routers that started late may only now begin to watch.
  await waitUntilShared();
  for (const { store } of watching()) store.setFailing(true);
  // The failed watches end at the next change without reporting it.
  bench.fleet.setServer(second.registration("s1", { isDraining: true }));
  await new Promise((resolve) => setTimeout(resolve, 2_000));
  for (let index = 0; index < 8; index++) {
    t.true(await avoids(index, second), `router ${index}`);
  }
});

test.serial("guards against accepting invalid settings in a running router, and against ignoring valid ones", async (t) => {
  const bench = await startBench();
  const [{ gateway, lines }] = bench.gateways as [GatewayInTest];
  gateway.reload(err(createError("invalid_settings", "not JSON")));
  t.regex(lines.join(""), /"detail":"not JSON".*settings.rejected/);
  for (const backend of bench.backends) backend.script(refuse);
  gateway.reload(ok({
    retries: { ratio: 0, fleetAllowance: 0 },
    loadBound: { factor: 1.5, slack: 2 },
    graceMilliseconds: 1_000,
  }));
  t.true(lines.join("").includes("settings.reloaded"));
  for (let index = 0; index < 10; index++) await call(bench);
  // Ten requests and the one retry that a router always has per window.
  t.true(received(bench).length <= 11, `${received(bench).length} attempts`);
});

test.serial("guards against a planned stop that interrupts a running request, and against announcing the stop late", async (t) => {
  const bench = await startBench({ gateways: 2 });
  const [leaving, staying] = bench.gateways as [GatewayInTest, GatewayInTest];
  async function addresses(entry: string): Promise<{ addresses: string[] }> {
    const response = await request(`http://${entry}/v1/entry-addresses`);
    return await response.body.json() as { addresses: string[] };
  }
  const start = Date.now();
  while ((await addresses(staying.entry)).addresses.length < 2) {
    if (Date.now() - start > 5_000) return t.fail("routers not connected");
  }
  for (const backend of bench.backends) {
    backend.script((entry, response) => {
      response.writeHead(200, responseHeaders(entry.id));
      response.write("id: 1\ndata: a\n\n");
      setTimeout(() => response.end("id: 2\ndata: b\n\n"), 3_200);
    });
  }
  const slow = call(bench, { path: "/single/x", method: "POST" });
  await waitUntil(() => received(bench).length > 0, "the request was sent");
  const stopped = leaving.gateway.stop();
  await new Promise((resolve) => setTimeout(resolve, 300));
  t.deepEqual((await addresses(staying.entry)).addresses, [staying.callers]);
  const ready = await request(`http://${leaving.status}/ready`);
  t.is(ready.statusCode, 503);
  t.is((await slow).text, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  await stopped;
});
