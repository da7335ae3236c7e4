import test, { type ExecutionContext } from "ava";
import {
  type SimulatedGateway,
  SimulatedGatewayFleet,
} from "../stand_ins/gateway_peer_fleet.ts";
import { testConfiguration, testRoute } from "../stand_ins/gateway_fleet.ts";
import { testServer } from "../stand_ins/registered_servers.ts";

/**
 * Time until a started fleet's watchers no longer change. Routers first report
 * to all others; one that stops counts as lost for five seconds, during which
 * others watch in its place.
 */
const SETTLED_MILLISECONDS = 12_000;
/** Time within which connected routers must apply a version. */
const APPLY_MILLISECONDS = 3_000;
/** Routes of a configuration too large to be sent between routers. */
const LARGE_ROUTE_COUNT = 400;
/** Largest fraction of a large fleet's routers that may watch the configuration. */
const MAXIMUM_WATCHING_RATIO = 1 / 4;

function publish(
  fleet: SimulatedGatewayFleet,
  version: number,
  routes = 1,
): void {
  const names = Array.from({ length: routes }, (_, index) => `r${index}`);
  fleet.memory.setConfiguration(
    testConfiguration(version, names.map((name) => testRoute(name))),
  );
}

/** Starts a fleet with version 1 and publishes version 2 once it has settled. */
async function startFleet(
  t: ExecutionContext,
  routers: number,
): Promise<SimulatedGatewayFleet> {
  const fleet = new SimulatedGatewayFleet({ routers, dataCentres: 4 });
  publish(fleet, 1);
  fleet.memory.setServer(testServer("s0"));
  await fleet.start();
  t.teardown(() => fleet.stop());
  await fleet.advance(SETTLED_MILLISECONDS);
  publish(fleet, 2);
  await fleet.advance(APPLY_MILLISECONDS);
  return fleet;
}

function watchersOf(fleet: SimulatedGatewayFleet): SimulatedGateway[] {
  return fleet.alive().filter(({ store }) =>
    store.waitingConfigurationWatches > 0
  );
}

function versionsOf(fleet: SimulatedGatewayFleet): Set<number> {
  return new Set(
    fleet.alive().map(({ state }) => state.versions().configurationVersion),
  );
}

test.serial("guards against every router of a large fleet watching the configuration", async (t) => {
  const fleet = await startFleet(t, 96);
  t.deepEqual([...versionsOf(fleet)], [2]);
  const watchers = watchersOf(fleet).length;
  t.true(
    watchers > 0 && watchers <= 96 * MAXIMUM_WATCHING_RATIO,
    `${watchers} of 96 routers watch the configuration`,
  );
  publish(fleet, 3);
  await fleet.advance(1_000);
  t.deepEqual([...versionsOf(fleet)], [3]);
});

test.serial("guards against collectors sending a large configuration to every router", async (t) => {
  const fleet = await startFleet(t, 96);
  const copiesBefore = fleet.configurationCopies;
  publish(fleet, 3, LARGE_ROUTE_COUNT);
  await fleet.advance(APPLY_MILLISECONDS);
  t.deepEqual([...versionsOf(fleet)], [3]);
  t.is(fleet.configurationCopies - copiesBefore, 0);
});

test.serial("guards against missing a version when all watching routers fail", async (t) => {
  const fleet = await startFleet(t, 48);
  for (const router of watchersOf(fleet)) fleet.kill(router);
  publish(fleet, 3);
  await fleet.advance(APPLY_MILLISECONDS);
  t.deepEqual([...versionsOf(fleet)], [3]);
});

test.serial("guards against missing a version when the store fails the calls of all watching routers", async (t) => {
  const fleet = await startFleet(t, 48);
  for (const { store } of watchersOf(fleet)) store.setFailing(true);
  await fleet.advance(APPLY_MILLISECONDS);
  publish(fleet, 3);
  await fleet.advance(APPLY_MILLISECONDS);
  t.deepEqual([...versionsOf(fleet)], [3]);
});

test.serial("guards against a router missing a version while it cannot reach any other router", async (t) => {
  const fleet = await startFleet(t, 48);
  const [isolated, ...others] = fleet.routers as [
    SimulatedGateway,
    ...SimulatedGateway[],
  ];
  for (const { identity } of others) isolated.blocked.add(identity.address);
  publish(fleet, 3);
  await fleet.advance(APPLY_MILLISECONDS);
  t.is(isolated.state.versions().configurationVersion, 3);
});

test.serial("guards against a router of a small fleet not watching the configuration itself", async (t) => {
  const fleet = await startFleet(t, 6);
  t.is(watchersOf(fleet).length, 6);
  publish(fleet, 3);
  await fleet.advance(100);
  t.deepEqual([...versionsOf(fleet)], [3]);
});

test.serial("guards against the first routers of a restarting fleet having to send their state to all others", async (t) => {
  const fleet = new SimulatedGatewayFleet({ routers: 24, dataCentres: 4 });
  publish(fleet, 1, 130);
  fleet.memory.setServer(testServer("s0"));
  fleet.routers.forEach(({ store }, index) => {
    store.listDelayMilliseconds = 100 + 20 * index;
  });
  await fleet.start();
  t.teardown(() => fleet.stop());
  await fleet.advance(APPLY_MILLISECONDS);
  t.deepEqual([...versionsOf(fleet)], [1]);
  t.is(fleet.configurationCopies, 0);
});

test.serial("guards against a router that starts without the store waiting for it instead of asking a peer", async (t) => {
  const fleet = new SimulatedGatewayFleet({ routers: 24, dataCentres: 4 });
  publish(fleet, 1, 130);
  fleet.memory.setServer(testServer("s0"));
  const [refused, silent] = fleet.routers as [
    SimulatedGateway,
    SimulatedGateway,
  ];
  refused.store.setFailing(true);
  silent.store.listDelayMilliseconds = 60_000;
  await fleet.start();
  t.teardown(() => fleet.stop());
  await fleet.advance(1_000);
  t.is(refused.state.versions().configurationVersion, 1);
  await fleet.advance(1_000);
  t.is(silent.state.versions().configurationVersion, 1);
});

test.serial("guards against a restarted router using an outdated configuration or a removed server of a peer that is behind", async (t) => {
  const fleet = new SimulatedGatewayFleet({ routers: 6, dataCentres: 2 });
  publish(fleet, 1);
  fleet.memory.setServer(testServer("left"));
  const restarted = fleet.routers.pop() as SimulatedGateway;
  await fleet.start();
  t.teardown(() => fleet.stop());
  await fleet.advance(2_000);
  for (const { store } of fleet.routers) store.setWatchesBlocked(true);
  publish(fleet, 2);
  fleet.memory.removeServer(testServer("left").id);
  // The store answers after the peers' first reports have arrived.
  restarted.store.listDelayMilliseconds = 400;
  const versions: number[] = [];
  restarted.state.onConfiguration(({ version }) => void versions.push(version));
  let hasServed = false;
  restarted.state.onChange(() => {
    hasServed ||= restarted.state.registry.get(testServer("left").id) !==
      undefined;
  });
  await restarted.state.start();
  await restarted.peers.start();
  await fleet.advance(1_000);
  fleet.routers.push(restarted);
  t.deepEqual(versions, [2]);
  t.false(hasServed, "a server that had left was in use");
});
