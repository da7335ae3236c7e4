import test from "ava";
import { NAIVE_POLICIES } from "./naive_routing.ts";
import { runNaivePolicy, runServerOwners } from "./skew.ts";
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
 * Seeds that violated the load bound: 10 through a mean that was not refreshed,
 * 3 through requests that ended when their router crashed. The causes for 7, 20
 * and 30 were not analysed individually.
 */
const FAILED_SEEDS = [3, 7, 10, 20, 30];

for (const seed of FAILED_SEEDS) {
  test(`guards against grants above the load bound while aggregators change, seed ${seed}`, (t) => {
    const trace = createTrace(SMALL_FLEET, seed);
    const { measure } = runServerOwners(SMALL_FLEET, trace, seed);
    t.true(measure.worstOverAllowed <= 1, `${measure.worstOverAllowed}`);
  });
}

test("guards against a load bound check that naive policies pass", (t) => {
  const trace = createTrace(SMALL_FLEET, 1);
  for (const policy of NAIVE_POLICIES) {
    const measure = runNaivePolicy(policy, SMALL_FLEET, trace, 1);
    t.true(measure.worstOverAllowed > 1, policy);
  }
});
