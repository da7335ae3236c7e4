/** Fleets whose open connections to the store fall silent, in simulated time. */
import test from "ava";
import { testConfiguration, testRoute } from "../stand_ins/gateway_fleet.ts";
import { SimulatedGatewayFleet } from "../stand_ins/gateway_peer_fleet.ts";
import { testServer } from "../stand_ins/registered_servers.ts";

/** Time until the routers of a started fleet know their places. */
const SETTLED_MILLISECONDS = 12_000;
/** Time after a disturbance from which on the users' bounds hold. */
const CONTACT_MILLISECONDS = 3_000;
/** Time in which a change must take effect after that. */
const APPLY_MILLISECONDS = 2_000;
const STEP_MILLISECONDS = 50;
const SERVERS = ["s0", "s1", "s2", "s3"];

/** When the connections fall silent after a change, and the next change after that. */
interface _Moment {
  readonly silentAfter: number;
  readonly changedAfter: number;
}

const MOMENTS: readonly _Moment[] = [
  { silentAfter: 100, changedAfter: CONTACT_MILLISECONDS },
  { silentAfter: 1_400, changedAfter: CONTACT_MILLISECONDS },
  { silentAfter: 4_700, changedAfter: 1_000 },
  { silentAfter: 11_000, changedAfter: 0 },
];
/** A large fleet takes long to play. */
const MOMENTS_OF_LARGE_FLEETS = MOMENTS.slice(2, 3);
const LARGE_FLEET_ROUTERS = 60;

interface _Change {
  readonly title: string;
  apply(fleet: SimulatedGatewayFleet): void;
  isKnown(router: SimulatedGatewayFleet["routers"][number]): boolean;
}

const CHANGES: readonly _Change[] = [
  {
    title: "a version",
    apply: ({ memory }) =>
      memory.setConfiguration(testConfiguration(9, [testRoute("b")])),
    isKnown: ({ state }) => state.versions().configurationVersion === 9,
  },
  {
    title: "a draining server",
    apply: ({ memory }) =>
      memory.setServer(testServer("s1", { isDraining: true })),
    isKnown: ({ state }) =>
      state.registry.list().servers.some(({ id, isDraining }) =>
        (id as string) === "s1" && isDraining
      ),
  },
  {
    title: "a removed server",
    apply: ({ memory }) => memory.removeServer(testServer("s2").id),
    isKnown: ({ state }) =>
      state.registry.get(testServer("s2").id) === undefined,
  },
];

/** Starts a fleet and changes its configuration and a server, as ordinary days do. */
async function startFleet(routers: number): Promise<SimulatedGatewayFleet> {
  const fleet = new SimulatedGatewayFleet({
    routers,
    dataCentres: Math.min(routers, 4),
  });
  fleet.memory.setConfiguration(testConfiguration(1, [testRoute("a")]));
  for (const id of SERVERS) fleet.memory.setServer(testServer(id));
  await fleet.start();
  await fleet.advance(SETTLED_MILLISECONDS);
  fleet.memory.setConfiguration(testConfiguration(2, [testRoute("a")]));
  fleet.memory.setServer(testServer("s9"));
  return fleet;
}

function isKnownToAll(fleet: SimulatedGatewayFleet, change: _Change): boolean {
  return fleet.routers.every((router) => change.isKnown(router));
}

for (const routers of [1, 3, 14, LARGE_FLEET_ROUTERS]) {
  const moments = routers < LARGE_FLEET_ROUTERS
    ? MOMENTS
    : MOMENTS_OF_LARGE_FLEETS;
  for (const change of CHANGES) {
    test.serial(`guards against missing ${change.title} while no open connection to the store carries anything: ${routers} routers`, async (t) => {
      for (const { silentAfter, changedAfter } of moments) {
        const fleet = await startFleet(routers);
        await fleet.advance(silentAfter);
        for (const { store } of fleet.routers) store.silence();
        await fleet.advance(changedAfter);
        change.apply(fleet);
        const bound = Math.max(
          APPLY_MILLISECONDS,
          CONTACT_MILLISECONDS - changedAfter,
        );
        let elapsed = 0;
        while (!isKnownToAll(fleet, change) && elapsed < 20_000) {
          await fleet.advance(STEP_MILLISECONDS);
          elapsed += STEP_MILLISECONDS;
        }
        await fleet.stop();
        const moment = `silent after ${silentAfter} ms, changed after ` +
          `${changedAfter} ms: known after ${elapsed} ms`;
        t.log(moment);
        t.true(elapsed <= bound, moment);
      }
    });
  }
}
