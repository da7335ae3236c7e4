/** Requests to a server that is removed at the store while it returns from a copy. */
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { testConfiguration } from "../stand_ins/gateway_fleet.ts";
import {
  type Bench,
  call,
  ROUTES,
  startBench,
  stopBenches,
} from "../stand_ins/gateway_test_bench.ts";
import { type BackendServerId, brandId } from "./core/ids.ts";

const START_MILLISECONDS = 3_500;
const AWAY_MILLISECONDS = 1_000;
/** From the return to one gateway until the others reach the store. */
const LATER_MILLISECONDS = 300;
/** `drainMs` of the rules and the two seconds after the store's return. */
const REMOVAL_MILLISECONDS = 4_000;
const REQUESTS = 45;
const REMOVED = 3;
const REMOVED_ID = brandId<BackendServerId>(`s${REMOVED}`);

test.after.always(() => stopBenches());

async function countRequestsToRemoved(bench: Bench): Promise<number> {
  const { received } = bench.backends[REMOVED]!;
  const before = received.length;
  for (let index = 0; index < REQUESTS; index++) {
    await call(bench, { gateway: index % bench.gateways.length });
  }
  return received.length - before;
}

for (const first of [0, 1, 2]) {
  test(`guards against requests to a server removed while the store returned from a copy, which gateway ${first} reads first`, async (t) => {
    t.timeout(60_000);
    const bench = await startBench({ gateways: 3, backends: 4 });
    const { fleet, backends, gateways } = bench;
    await sleep(START_MILLISECONDS);
    const copy = fleet.takeCopy();
    for (const { store } of gateways) store.setFailing(true);
    fleet.wake();
    await sleep(AWAY_MILLISECONDS);
    fleet.restore(copy);
    // The revisions grow past those of before.
    for (let slots = 9; slots < 20; slots++) {
      fleet.setServer(backends[0]!.registration("s0", { slots }));
    }
    fleet.setServer(backends[0]!.registration("gap"));
    fleet.removeServer(REMOVED_ID);
    gateways[first]!.store.setFailing(false);
    await sleep(LATER_MILLISECONDS);
    for (const { store } of gateways) store.setFailing(false);
    await sleep(LATER_MILLISECONDS);
    // Raises the revision without a change of a server.
    fleet.setConfiguration(testConfiguration(2, ROUTES));
    await sleep(REMOVAL_MILLISECONDS - LATER_MILLISECONDS);
    t.is(await countRequestsToRemoved(bench), 0);
  });
}
