/** Fleets whose store returns from an older copy, in simulated time. */
import test, { type ExecutionContext } from "ava";
import {
  type SimulatedGateway,
  SimulatedGatewayFleet,
} from "../stand_ins/gateway_peer_fleet.ts";
import { testConfiguration, testRoute } from "../stand_ins/gateway_fleet.ts";
import { testServer } from "../stand_ins/registered_servers.ts";
import { startSettledFleet } from "../stand_ins/settled_fleet.ts";
import { type BackendServerId, brandId } from "./core/ids.ts";
import { createSeededRandom, type RandomSource } from "./core/random.ts";
import { REREGISTRATION_GRACE_MILLISECONDS } from "./core/server_registry.ts";
import { eraOf } from "./core/store_revision.ts";

const START_MILLISECONDS = 7_000;
const AWAY_MILLISECONDS = 2_000;
/** Time within which every router must know what is written after the return. */
const RETURN_MILLISECONDS = 5_000;

/** The `drainMs` of the rules: from the acknowledgement to the last new request. */
const DRAIN_MILLISECONDS = 2_000;
/** An entry that is missing two seconds after the store's return is gone. */
const REMOVAL_MILLISECONDS = REREGISTRATION_GRACE_MILLISECONDS +
  DRAIN_MILLISECONDS;
const STEP_MILLISECONDS = 25;
const HISTORIES = 40;

function startFleet(
  t: ExecutionContext,
  routers: number,
): Promise<SimulatedGatewayFleet> {
  const servers = ["staying", "leaving", "removed"];
  return startSettledFleet(t, { routers, dataCentres: 3, servers });
}

function setStoreFailing(
  fleet: SimulatedGatewayFleet,
  isFailing: boolean,
  routers: readonly SimulatedGateway[] = fleet.routers,
): void {
  for (const { store } of routers) store.setFailing(isFailing);
  fleet.memory.wake();
}

function serversOf({ state }: SimulatedGateway): string {
  return state.registry.list().servers.map(({ id }) => id).sort().join(" ");
}

for (const routers of [13, 36]) {
  test.serial(`guards against a fleet of ${routers} routers that keeps servers of the old era, with one router that never reaches the store again`, async (t) => {
    const fleet = await startFleet(t, routers);
    const { memory } = fleet;
    const copy = memory.takeCopy();
    memory.setServer(testServer("come"));
    memory.removeServer(brandId<BackendServerId>("removed"));
    memory.setConfiguration(testConfiguration(4, [testRoute("b")]));
    for (let index = 0; index < 30; index++) {
      memory.setServer(testServer("staying", { slots: 5 + index }));
    }
    await fleet.advance(2_000);
    t.deepEqual([...new Set(fleet.routers.map(serversOf))], [
      "come leaving staying",
    ]);
    setStoreFailing(fleet, true);
    await fleet.advance(AWAY_MILLISECONDS);
    memory.restore(copy);
    // Changes in the gap that no router has seen.
    memory.setServer(testServer("gap"));
    memory.removeServer(brandId<BackendServerId>("leaving"));
    const cutOff = fleet.routers.at(-1) as SimulatedGateway;
    setStoreFailing(
      fleet,
      false,
      fleet.routers.filter((router) => router !== cutOff),
    );
    await fleet.advance(500);
    memory.setServer(testServer("come"));
    memory.removeServer(brandId<BackendServerId>("removed"));
    memory.setConfiguration(testConfiguration(4, [testRoute("b")]));
    await fleet.advance(RETURN_MILLISECONDS);
    t.deepEqual([...new Set(fleet.routers.map(serversOf))], [
      "come gap staying",
    ]);
    for (const { state } of fleet.routers) {
      t.is(state.versions().configurationVersion, 4);
      t.is(eraOf(state.versions().registryRevision), 1);
    }
    memory.setConfiguration(testConfiguration(6, [testRoute("c")]));
    memory.setServer(testServer("late"));
    await fleet.advance(2_000);
    t.deepEqual([...new Set(fleet.routers.map(serversOf))], [
      "come gap late staying",
    ]);
    for (const { state } of fleet.routers) {
      t.is(state.versions().configurationVersion, 6);
    }
  });
}

test.serial("guards against routers whose records the store has lost and that nobody could discover", async (t) => {
  const fleet = new SimulatedGatewayFleet({ routers: 13, dataCentres: 3 });
  fleet.memory.setConfiguration(testConfiguration(1, [testRoute("a")]));
  fleet.memory.setServer(testServer("s0"));
  const copy = fleet.memory.takeCopy();
  await fleet.start();
  t.teardown(() => fleet.stop());
  await fleet.advance(START_MILLISECONDS);
  t.is(fleet.memory.routers.size, 13);
  setStoreFailing(fleet, true);
  await fleet.advance(AWAY_MILLISECONDS);
  fleet.memory.restore(copy);
  t.is(fleet.memory.routers.size, 0);
  setStoreFailing(fleet, false);
  await fleet.advance(RETURN_MILLISECONDS);
  t.is(fleet.memory.routers.size, 13);
});

function chooseTime(random: RandomSource, maximumMilliseconds: number): number {
  const steps = maximumMilliseconds / STEP_MILLISECONDS;
  return STEP_MILLISECONDS * Math.floor(random.next() * steps);
}

/** The server is removed while the routers reach the store one after the other. */
async function runRemoval(t: ExecutionContext, seed: number): Promise<void> {
  const random = createSeededRandom(seed);
  const fleet = await startFleet(t, 3);
  const { memory, routers } = fleet;
  const removedAt = chooseTime(random, 1_000);
  const reachedAt = routers.map(() => chooseTime(random, 500));
  const copy = memory.takeCopy();
  setStoreFailing(fleet, true);
  await fleet.advance(AWAY_MILLISECONDS);
  memory.restore(copy);
  for (let slots = 5; slots < 20; slots++) {
    memory.setServer(testServer("staying", { slots }));
  }
  memory.setServer(testServer("gap"));
  for (let time = 0; time < 1_000; time += STEP_MILLISECONDS) {
    for (const [index, { store }] of routers.entries()) {
      if (reachedAt[index] === time) store.setFailing(false);
    }
    if (removedAt === time) {
      memory.removeServer(brandId<BackendServerId>("removed"));
    }
    await fleet.advance(STEP_MILLISECONDS);
  }
  await fleet.advance(600);
  // Raises the revision without a change of a server.
  memory.setConfiguration(testConfiguration(2, [testRoute("a")]));
  await fleet.advance(REMOVAL_MILLISECONDS + removedAt - 1_600);
  t.deepEqual(
    [...new Set(routers.map(serversOf))],
    ["gap leaving staying"],
    `seed ${seed}: removed at ${removedAt}, reached at ${reachedAt.join(" ")}`,
  );
  await fleet.stop();
}

test.serial("guards against a removal after the return that routers undo by taking each other's list for newer", async (t) => {
  for (let seed = 0; seed < HISTORIES; seed++) await runRemoval(t, seed);
});
