/** Store calls of whole fleets over a calm day, in simulated time. */
import test from "ava";
import type { StoreOperation } from "./fleet_store.ts";
import { testConfiguration, testRoute } from "../stand_ins/gateway_fleet.ts";
import { SimulatedGatewayFleet } from "../stand_ins/gateway_peer_fleet.ts";
import { testServer } from "../stand_ins/registered_servers.ts";

const ROUTERS = 98;
const SERVERS = 60;
/** Backend servers that start with the fleet register one after the other. */
const REGISTRATION_PAUSE_MILLISECONDS = 100;
const CALM_MILLISECONDS = 20_000;
/** Time in which the routers of a small fleet agree on those that watch. */
const AGREEMENT_MILLISECONDS = 1_500;
/** Longer than the first watch calls of a router. */
const FIRST_WATCHES_MILLISECONDS = 8_000;
const MAXIMUM_WATCHING_ROUTERS = 4;
const RELEASED_SERVERS = 6;
const RELEASE_PAUSE_MILLISECONDS = 1_000;
const MAXIMUM_CALLS_PER_ROUTER = 8;
const STORM_VERSIONS = 40;
const STORM_PAUSE_MILLISECONDS = 200;
const STORM_ROUTES = 1_000;
/** Latest application of a version, as the users' bounds have it. */
const APPLY_MILLISECONDS = 3_000;
/** Copies of a large configuration that a host's link may carry each second. */
const MAXIMUM_COPIES_PER_SECOND = 1.5;
const ROUTES = Array.from({ length: 130 }, (_, index) => `r${index}`);

type _Calls = Map<StoreOperation, number>;

function countCalls(fleet: SimulatedGatewayFleet): _Calls {
  const calls: _Calls = new Map();
  for (const { store } of fleet.routers) {
    store.onCall = (operation) =>
      void calls.set(operation, (calls.get(operation) ?? 0) + 1);
  }
  return calls;
}

function publish(
  fleet: SimulatedGatewayFleet,
  version: number,
  routes: readonly string[] = ROUTES,
): void {
  fleet.memory.setConfiguration(
    testConfiguration(version, routes.map((name) => testRoute(name))),
  );
}

/** Plays a start, a calm time, a release of servers and two new versions. */
async function playDay(fleet: SimulatedGatewayFleet): Promise<void> {
  publish(fleet, 1);
  await fleet.start();
  for (let index = 0; index < SERVERS; index++) {
    fleet.memory.setServer(testServer(`s${index}`));
    await fleet.advance(REGISTRATION_PAUSE_MILLISECONDS);
  }
  await fleet.advance(CALM_MILLISECONDS);
  publish(fleet, 2);
  for (let index = 0; index < RELEASED_SERVERS; index++) {
    const old = testServer(`s${index}`, { isDraining: true });
    fleet.memory.setServer(testServer(`new-${index}`));
    fleet.memory.setServer(old);
    await fleet.advance(RELEASE_PAUSE_MILLISECONDS);
    fleet.memory.removeServer(old.id);
  }
  publish(fleet, 3);
  await fleet.advance(CALM_MILLISECONDS);
}

test.serial("guards against store calls that grow with the fleet: a start, a release and two versions", async (t) => {
  const fleet = new SimulatedGatewayFleet({
    routers: ROUTERS,
    dataCentres: 6,
  });
  const calls = countCalls(fleet);
  t.teardown(() => fleet.stop());
  await playDay(fleet);
  const sum = [...calls.values()].reduce((total, count) => total + count, 0);
  t.log(`${(sum / ROUTERS).toFixed(1)} calls a router`, [...calls]);
  const versions = fleet.routers.map(({ state }) =>
    state.versions().configurationVersion
  );
  t.deepEqual([...new Set(versions)], [3]);
  t.true(sum / ROUTERS <= MAXIMUM_CALLS_PER_ROUTER);
});

test.serial("guards against further routers watching the registry while the first watches of the preferred ones wait", async (t) => {
  const fleet = new SimulatedGatewayFleet({ routers: 8, dataCentres: 1 });
  t.teardown(() => fleet.stop());
  publish(fleet, 1);
  await fleet.start();
  await fleet.advance(AGREEMENT_MILLISECONDS);
  const step = 100;
  for (let time = 0; time < FIRST_WATCHES_MILLISECONDS; time += step) {
    await fleet.advance(step);
    const { length } = fleet.routers.filter(({ store }) =>
      store.waitingServerWatches > 0
    );
    t.true(length > 0 && length <= MAXIMUM_WATCHING_ROUTERS, `${length}`);
  }
});

for (const routers of [8, 24]) {
  test.serial(`guards against reading every version of a large configuration while versions come in quick succession: ${routers} routers`, async (t) => {
    const fleet = new SimulatedGatewayFleet({ routers, dataCentres: 4 });
    t.teardown(() => fleet.stop());
    publish(fleet, 1);
    await fleet.start();
    await fleet.advance(CALM_MILLISECONDS);
    const large = Array.from(
      { length: STORM_ROUTES },
      (_, index) => `r${index}`,
    );
    for (const { store } of fleet.routers) store.configurationCopies = 0;
    fleet.configurationCopies = 0;
    for (let version = 2; version < 2 + STORM_VERSIONS; version++) {
      publish(fleet, version, large);
      await fleet.advance(STORM_PAUSE_MILLISECONDS);
    }
    await fleet.advance(APPLY_MILLISECONDS);
    const seconds =
      (STORM_VERSIONS * STORM_PAUSE_MILLISECONDS + APPLY_MILLISECONDS) / 1_000;
    for (const { state, store } of fleet.routers) {
      t.is(state.versions().configurationVersion, 1 + STORM_VERSIONS);
      t.true(
        store.configurationCopies <= MAXIMUM_COPIES_PER_SECOND * seconds,
        `${store.configurationCopies} copies`,
      );
    }
    const fetched = fleet.configurationCopies / routers;
    t.true(fetched <= 1, `${fetched} copies a router from peers`);
  });
}
