import test from "ava";
import {
  type SimulatedGateway,
  SimulatedGatewayFleet,
  startRequests,
} from "../stand_ins/gateway_peer_fleet.ts";
import { testConfiguration, testRoute } from "../stand_ins/gateway_fleet.ts";
import { testServer } from "../stand_ins/registered_servers.ts";
import {
  loadsSeen,
  reportsOf,
  SETTLED_SERVER,
  startSettledFleet,
} from "../stand_ins/settled_fleet.ts";
import { partKeyOf } from "./core/prompt_directory.ts";

/** Five reports a second to each of two collectors. */
const MAXIMUM_MEMBER_MESSAGES = 10;
/** Time within which a change at one router must reach all others. */
const PROPAGATION_MILLISECONDS = 1_000;
/** Time within which a change must reach all routers after a failure. */
const RECOVERY_MILLISECONDS = 3_000;

function collectorsOf(
  fleet: SimulatedGatewayFleet,
  dataCentre: string,
): SimulatedGateway[] {
  const localRouters = fleet.alive().filter(({ identity }) =>
    identity.dataCentre === dataCentre
  );
  const member = localRouters.at(-1) as SimulatedGateway;
  const chosen = reportsOf(member).filter(({ reports }) => reports === "own");
  return localRouters.filter(({ identity }) =>
    chosen.some(({ address }) => address === identity.address)
  );
}

test("guards against routers of a large fleet that go on sending a prompt part that crashed servers elsewhere", async (t) => {
  const fleet = await startSettledFleet(t, { routers: 36, dataCentres: 3 });
  const parts = [partKeyOf({ id: "deadly", tokens: 400 })];
  for (let index = 0; index < 3; index++) {
    const router = fleet.routers[11 * index] as SimulatedGateway;
    const { clock } = fleet.timers;
    const server = testServer(`crashed-${index}`);
    router.crashes.recordCrash(server, parts, clock.monotonicMilliseconds());
    await fleet.advance(PROPAGATION_MILLISECONDS);
  }
  const now = fleet.timers.clock.monotonicMilliseconds();
  t.deepEqual(
    fleet.routers.filter(({ crashes }) => !crashes.findQuarantine(parts, now)),
    [],
  );
});

test("guards against routers of a large fleet seeing different or partial loads", async (t) => {
  const fleet = await startSettledFleet(t, { routers: 36, dataCentres: 3 });
  startRequests(fleet.routers, SETTLED_SERVER);
  await fleet.advance(PROPAGATION_MILLISECONDS);
  t.deepEqual([...loadsSeen(fleet.routers)], [36]);
  for (const { load } of fleet.routers.slice(0, 24)) {
    load.requestEnded(SETTLED_SERVER);
  }
  await fleet.advance(PROPAGATION_MILLISECONDS);
  t.deepEqual([...loadsSeen(fleet.routers)], [12]);
});

test("guards against routers of a large fleet that do not know of the prompts which others have under way", async (t) => {
  const fleet = await startSettledFleet(t, { routers: 36, dataCentres: 3 });
  const { clock } = fleet.timers;
  const server = testServer(SETTLED_SERVER);
  const stated = { running: 1, waiting: 0, slots: 4, pace: 100 };
  const ends: (() => void)[] = [];
  for (const { promptReads, loadNotices } of fleet.routers) {
    loadNotices.record(server, stated, clock.monotonicMilliseconds());
    ends.push(promptReads.start(SETTLED_SERVER, 1_000));
  }
  startRequests(fleet.routers, SETTLED_SERVER);
  await fleet.advance(PROPAGATION_MILLISECONDS);

  function tokensSeen(): Set<number> {
    return new Set(
      fleet.routers.map(({ load, promptReads }) =>
        load.remotePromptTokens(SETTLED_SERVER) +
        promptReads.tokensAt(SETTLED_SERVER)
      ),
    );
  }
  t.deepEqual(tokensSeen(), new Set([36_000]));
  t.deepEqual([...loadsSeen(fleet.routers)], [36]);
  for (const end of ends.slice(0, 24)) end();
  startRequests(fleet.routers, SETTLED_SERVER);
  await fleet.advance(PROPAGATION_MILLISECONDS);
  t.deepEqual(tokensSeen(), new Set([12_000]));
});

test("guards against failures of a server being counted twice or not at all in a large fleet", async (t) => {
  const fleet = await startSettledFleet(t, { routers: 40, dataCentres: 2 });
  const servers = ["s0", "s1", "s2"].map((id) => testServer(id));
  for (const { outcomes } of fleet.routers.slice(0, 12)) {
    outcomes.record(
      SETTLED_SERVER,
      true,
      fleet.timers.clock.monotonicMilliseconds(),
    );
  }
  await fleet.advance(PROPAGATION_MILLISECONDS);
  const now = fleet.timers.clock.monotonicMilliseconds();
  for (const { outcomes, identity } of fleet.routers) {
    outcomes.evaluate("pool", servers, now);
    t.true(outcomes.isExcluded(SETTLED_SERVER, now), identity.host);
  }
});

test("guards against the number of reports growing with the square of the fleet size", async (t) => {
  const rates: number[] = [];
  for (const routers of [32, 96]) {
    const fleet = await startSettledFleet(t, { routers, dataCentres: 4 });
    const before = fleet.messagesSent();
    await fleet.advance(4_000);
    rates.push((fleet.messagesSent() - before) / 4 / routers);
  }
  const [small, large] = rates as [number, number];
  t.true(
    large < small * 1.5,
    `${small} and ${large} messages a second per router of 32 and of 96`,
  );
});

test("guards against routers disagreeing about the collectors because reports carry rounded capacities", async (t) => {
  const fleet = await startSettledFleet(t, {
    routers: 48,
    dataCentres: 2,
    capacity: () => 0.2274,
  });
  const before = fleet.routers.map(({ counters }) => counters.messagesSent);
  await fleet.advance(PROPAGATION_MILLISECONDS);
  // Most routers report only to the collectors of their data centre.
  const rates = fleet.routers
    .map(({ counters }, index) => counters.messagesSent - before[index]!)
    .sort((left, right) => left - right);
  const median = rates[rates.length / 2]!;
  t.true(median <= MAXIMUM_MEMBER_MESSAGES, `${median} messages a second`);
});

test("guards against choosing hosts of low capacity as collectors", async (t) => {
  const fleet = await startSettledFleet(t, {
    routers: 48,
    dataCentres: 2,
    capacity: (index) => index >= 10 && index < 14 ? 4 : 1,
  });
  const collectors = collectorsOf(fleet, "data-centre-0");
  t.deepEqual(
    collectors.map(({ identity }) => identity.host as string).sort(),
    ["entry-10", "entry-12"],
  );
});

test("guards against loads that stay partial after all collectors of a data centre fail", async (t) => {
  const fleet = await startSettledFleet(t, { routers: 36, dataCentres: 3 });
  const lost = collectorsOf(fleet, "data-centre-1");
  t.is(lost.length, 2);
  for (const collector of lost) fleet.kill(collector);
  startRequests(fleet.alive(), SETTLED_SERVER);
  fleet.memory.setServer(testServer("s0", { isDraining: true }));
  await fleet.advance(RECOVERY_MILLISECONDS);
  t.deepEqual([...loadsSeen(fleet.alive())], [34]);
  for (const { state, identity } of fleet.alive()) {
    t.true(state.registry.get(SETTLED_SERVER)?.isDraining, identity.host);
  }
});

test("guards against directing callers to a router that is stopping", async (t) => {
  const fleet = await startSettledFleet(t, { routers: 36, dataCentres: 3 });
  const [stopping] = fleet.routers.slice(-1) as [SimulatedGateway];
  stopping.isServing = false;
  stopping.peers.announce();
  await fleet.advance(PROPAGATION_MILLISECONDS);
  const callerAddress = "10.0.1.35:80";
  for (const { peers, identity } of fleet.routers) {
    const named = peers.servingRouters().map((router) => router.callerAddress);
    t.false(named.some((address) => address === callerAddress), identity.host);
    t.is(named.length, 35, identity.host);
  }
});

test("guards against stale state on routers of a large fleet that cannot reach the store", async (t) => {
  const fleet = await startSettledFleet(t, { routers: 36, dataCentres: 3 });
  const refused = [
    ...["data-centre-0", "data-centre-1", "data-centre-2"].flatMap((name) =>
      collectorsOf(fleet, name)
    ),
    ...fleet.routers.slice(0, 12),
  ];
  for (const { store } of refused) store.setFailing(true);
  await fleet.advance(RECOVERY_MILLISECONDS);
  fleet.memory.setServer(testServer("s0", { isDraining: true }));
  fleet.memory.setConfiguration(testConfiguration(2, [testRoute("a")]));
  await fleet.advance(PROPAGATION_MILLISECONDS + 1_000);
  for (const { state, identity } of fleet.routers) {
    t.true(state.registry.get(SETTLED_SERVER)?.isDraining, identity.host);
    t.is(state.versions().configurationVersion, 2, identity.host);
  }
});

test("guards against stale state on a router that alone loses contact with both collectors", async (t) => {
  const fleet = await startSettledFleet(t, { routers: 36, dataCentres: 3 });
  const collectors = collectorsOf(fleet, "data-centre-0");
  const isolated = fleet.routers.find((router) =>
    router.identity.dataCentre === "data-centre-0" &&
    !collectors.includes(router)
  ) as SimulatedGateway;
  for (const { identity } of collectors) isolated.blocked.add(identity.address);
  startRequests(fleet.routers, SETTLED_SERVER);
  fleet.memory.setServer(testServer("s0", { isDraining: true }));
  await fleet.advance(RECOVERY_MILLISECONDS);
  t.true(isolated.state.registry.get(SETTLED_SERVER)?.isDraining);
  // The fleet sum no longer includes the isolated router's own request.
  t.true(isolated.load.inFlight(SETTLED_SERVER) >= 35);
});

test("guards against callers being offered few routers for seconds after a restart of the fleet", async (t) => {
  const fleet = new SimulatedGatewayFleet({ routers: 48, dataCentres: 3 });
  fleet.memory.setConfiguration(testConfiguration(1, [testRoute("a")]));
  fleet.memory.setServer(testServer("s0"));
  // The store still holds the records of the routers' previous processes.
  for (const { identity } of fleet.routers) {
    fleet.memory.routers.set(identity.host, { ...identity, capacity: 1 });
  }
  await fleet.start(75);
  t.teardown(() => fleet.stop());
  await fleet.advance(PROPAGATION_MILLISECONDS + 500);
  startRequests(fleet.routers, SETTLED_SERVER);
  for (const { peers, identity } of fleet.routers) {
    const near = peers.servingRouters().filter(({ dataCentre }) =>
      dataCentre === identity.dataCentre
    );
    t.is(near.length, 16, identity.host);
  }
  await fleet.advance(PROPAGATION_MILLISECONDS);
  t.deepEqual([...loadsSeen(fleet.routers)], [48]);
});

test.serial("guards against routers that start together each taking the allowance of the whole fleet", async (t) => {
  const fleet = new SimulatedGatewayFleet({ routers: 14, dataCentres: 4 });
  await fleet.start();
  t.teardown(() => fleet.stop());
  // The count is updated every 200 ms.
  await fleet.advance(300);
  for (const { peers } of fleet.routers) t.is(peers.sharingRouters(), 14);
});

test.serial("guards against a router that hears nobody for seconds taking the allowance of the whole fleet", async (t) => {
  const fleet = new SimulatedGatewayFleet({ routers: 14, dataCentres: 4 });
  await fleet.start();
  t.teardown(() => fleet.stop());
  await fleet.advance(6_000);
  const [paused, ...others] = fleet.routers as [
    SimulatedGateway,
    ...SimulatedGateway[],
  ];
  for (const { identity } of others) paused.blocked.add(identity.address);
  await fleet.advance(2_000);
  t.is(paused.peers.liveRouters(), 1);
  t.true(paused.peers.sharingRouters() > 7, `${paused.peers.sharingRouters()}`);
});

/** Two strong hosts in each of six data centres. */
function capacityOf(index: number): number {
  return index < 12 ? 1.35 : 0.3;
}

test.serial("guards against every router of a restarting fleet contacting every other one", async (t) => {
  const perRouter: number[] = [];
  for (const routers of [48, 96]) {
    const fleet = new SimulatedGatewayFleet({
      routers,
      dataCentres: 6,
      capacity: capacityOf,
    });
    t.teardown(() => fleet.stop());
    // The store still holds the records of the routers' previous processes.
    fleet.routers.forEach(({ identity }, index) => {
      const record = { ...identity, capacity: capacityOf(index) };
      fleet.memory.routers.set(identity.host, record);
    });
    await fleet.start();
    await fleet.advance(500);
    perRouter.push(fleet.messagesSent() / routers);
  }
  const [small = 0, large = 0] = perRouter;
  t.log(`${small.toFixed(1)} and ${large.toFixed(1)} messages a router`);
  t.true(large < 1.3 * small);
  t.true(large < 30);
});
