import test from "ava";
import {
  MemoryFleet,
  MemoryFleetStore,
} from "../stand_ins/memory_fleet_store.ts";
import { createMemoryOutput } from "../stand_ins/memory_output.ts";
import {
  brandId,
  type DataCentreId,
  type HostId,
  type SocketAddress,
} from "./core/ids.ts";
import { createSeededRandom } from "./core/random.ts";
import { createDecisionLog } from "./decision_log.ts";
import type { RouterRecord } from "./fleet_store.ts";
import { RouterDiscovery } from "./router_discovery.ts";
import { createManualTimerService } from "./timer_service.ts";

function recordOf(name: string): RouterRecord {
  return {
    host: brandId<HostId>(name),
    dataCentre: brandId<DataCentreId>("north"),
    address: brandId<SocketAddress>(`${name}:1`),
    capacity: 1,
  };
}

async function flushMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve();
}

function startDiscovery() {
  const fleet = new MemoryFleet();
  const store = new MemoryFleetStore(fleet);
  const timers = createManualTimerService();
  const lines: string[] = [];
  const found: string[] = [];
  const discovery = new RouterDiscovery({
    store,
    timers,
    random: createSeededRandom(1),
    log: createDecisionLog({
      clock: timers.clock,
      output: createMemoryOutput(lines),
      base: {},
    }),
    self: recordOf("own"),
    onFound: ({ address }) => found.push(address),
  });
  return { fleet, store, timers, lines, found, discovery };
}

test("guards against a router staying unregistered after a peer removed its record", async (t) => {
  const { fleet, timers, found, discovery } = startDiscovery();
  fleet.routers.set(recordOf("other").host, recordOf("other"));
  await discovery.start();
  await flushMicrotasks();
  t.true(fleet.routers.has(recordOf("own").host));
  t.deepEqual(found, ["other:1"]);
  fleet.routers.delete(recordOf("own").host);
  for (let round = 0; round < 2; round++) {
    timers.advance(30_000);
    await flushMicrotasks();
  }
  t.true(fleet.routers.has(recordOf("own").host));
  await discovery.stop();
});

test("guards against retrying an unavailable store without delay or without a log entry", async (t) => {
  const { fleet, store, timers, lines, discovery } = startDiscovery();
  store.setFailing(true);
  await discovery.start();
  for (let round = 0; round < 100; round++) {
    timers.advance(100);
    await flushMicrotasks();
  }
  t.is(lines.filter((line) => line.includes("dependency.lost")).length, 1);
  store.setFailing(false);
  timers.advance(1_000);
  await flushMicrotasks();
  t.true(fleet.routers.has(recordOf("own").host));
  t.true(lines.join("").includes("dependency.returned"));
  await discovery.stop();
});
