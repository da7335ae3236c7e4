import test from "ava";
import { NAIVE_VERSIONS } from "./naive_routing.ts";
import { runNaiveVersion, runServerOwners } from "./skew.ts";
import { createTrace, type SkewSize } from "./skew_workload.ts";

const SMALL_FLEET: SkewSize = {
  engines: 6,
  routers: 13,
  dataCentres: 4,
  workspaces: 10,
  seconds: 90,
  mixedCapacity: false,
};

/**
 * Seeds that broke the bound: 10 by a mean that was not refreshed, 3 by requests
 * that ended with a crashed router; 7, 20 and 30 were not traced one by one.
 */
const FAILED_SEEDS = [3, 7, 10, 20, 30];

for (const seed of FAILED_SEEDS) {
  test(`guards against grants above the load bound while aggregators change, seed ${seed}`, (t) => {
    const trace = createTrace(SMALL_FLEET, seed);
    const { measure } = runServerOwners(SMALL_FLEET, trace, seed);
    t.true(measure.worstOverAllowed <= 1, `${measure.worstOverAllowed}`);
  });
}

test("guards against a check of the load bound that no version breaks", (t) => {
  const trace = createTrace(SMALL_FLEET, 1);
  for (const version of NAIVE_VERSIONS) {
    const measure = runNaiveVersion(version, SMALL_FLEET, trace, 1);
    t.true(measure.worstOverAllowed > 1, version);
  }
});
