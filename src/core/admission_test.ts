import test from "ava";
import fc from "fast-check";
import { type Admission, createAdmission } from "./admission.ts";
import { brandId, type HostId, type WorkspaceId } from "./ids.ts";

const HOLDER = brandId<HostId>("host-1");
const WORKSPACE = brandId<WorkspaceId>("temple");
const CAPACITY_TOKENS = 100_000;
const SETTINGS = {
  loadBoundRatio: 1.25,
  capacityTokens: CAPACITY_TOKENS,
  accepting: true,
};
const POOL = {
  totalTokens: 40_000,
  totalCapacityTokens: 4 * CAPACITY_TOKENS,
  engineCount: 4,
};

function reading(tokensInFlight: number, ageMilliseconds = 0) {
  return {
    tokensInFlight,
    requestsInFlight: 1,
    capacityTokens: CAPACITY_TOKENS,
    ageMilliseconds,
  };
}

function requestGrant(
  admission: Admission,
  id: string,
  weight: number,
  now: number,
) {
  return admission.tryGrant({
    grantId: id,
    holder: HOLDER,
    workspace: WORKSPACE,
    weightTokens: weight,
  }, now);
}

test("guards against grants above the bound or capacity and wrong estimates of the load", (t) => {
  const operation = fc.record({
    kind: fc.constantFrom("grant", "release", "read"),
    weight: fc.integer({ min: 1, max: 20_000 }),
    age: fc.integer({ min: 0, max: 400 }),
    wait: fc.integer({ min: 0, max: 300 }),
  });
  fc.assert(fc.property(fc.array(operation, { maxLength: 120 }), (steps) => {
    const admission = createAdmission(SETTINGS);
    admission.setPool(POOL, 0);
    admission.recordLoad(reading(0), 0);
    const loadHistory: { at: number; tokens: number }[] = [{
      at: 0,
      tokens: 0,
    }];
    const activeGrants: { id: string; weight: number }[] = [];
    let now = 0;
    let tokens = 0;
    for (const [index, step] of steps.entries()) {
      now += step.wait;
      if (step.kind === "grant") {
        const before = tokens;
        if (
          requestGrant(admission, `${index}`, step.weight, now) === undefined
        ) {
          tokens += step.weight;
          activeGrants.push({ id: `${index}`, weight: step.weight });
          const mean = (POOL.totalTokens + step.weight) / 4;
          t.true(tokens <= 1.25 * mean || before <= mean);
          t.true(tokens <= CAPACITY_TOKENS);
        }
      } else if (step.kind === "release") {
        const first = activeGrants.shift();
        if (first) {
          tokens -= first.weight;
          admission.release(first.id, now);
        }
      } else {
        const measured = loadHistory.findLast((entry) =>
          entry.at <= now - step.age
        );
        admission.recordLoad(reading(measured?.tokens ?? 0, step.age), now);
      }
      loadHistory.push({ at: now, tokens });
      t.true(
        admission.loadTokens() >= tokens,
        "the upper bound of the load is too low",
      );
      t.true(
        admission.minimumLoadTokens() <= tokens,
        "the lower bound of the load is too high",
      );
    }
  }));
});

test("guards against a new owner ignoring load that it has no grants for", (t) => {
  const admission = createAdmission(SETTINGS);
  admission.setPool(POOL, 0);
  t.is(requestGrant(admission, "a", 1, 0), "load_unknown");
  admission.recordLoad(reading(12_400), 0);
  t.is(requestGrant(admission, "a", 500, 0), "above_bound");
  admission.renew(HOLDER, [{
    grantId: "old",
    workspace: WORKSPACE,
    weightTokens: 6_000,
    heldMilliseconds: 4_000,
  }], 200);
  t.is(admission.loadTokens(), 12_400, "a re-registered grant is counted once");
  admission.release("old", 300);
  t.is(requestGrant(admission, "a", 500, 300), undefined);
  t.is(admission.loadTokens(), 6_900);
});

test("guards against two owners exceeding the bound by more than the grants of one report lag", (t) => {
  const owners = [createAdmission(SETTINGS), createAdmission(SETTINGS)];
  let tokens = 0;
  for (let now = 0; now < 5_000; now += 10) {
    for (const [index, owner] of owners.entries()) {
      owner.setPool(POOL, now);
      if (now % 250 === 0) owner.recordLoad(reading(tokens), now);
      if (requestGrant(owner, `${now}/${index}`, 500, now) === undefined) {
        tokens += 500;
      }
    }
  }
  t.true(tokens <= 2 * 1.25 * 10_125, `${tokens}`);
  for (const owner of owners) owner.recordLoad(reading(tokens), 5_200);
  t.is(requestGrant(owners[0] as Admission, "late", 500, 5_201), "above_bound");
});

test("guards against equal shares for servers of different capacity", (t) => {
  const admission = createAdmission(SETTINGS);
  const pool = { ...POOL, totalCapacityTokens: 1_000_000 };
  for (const at of [0, 1]) admission.setPool(pool, at);
  admission.recordLoad(reading(5_000), 0);
  t.is(admission.meanTokens(1), 4_000);
  t.is(requestGrant(admission, "a", 100, 0), "above_bound");
});

test("guards against grants based on the mean of a pool load that is no longer refreshed", (t) => {
  const admission = createAdmission(SETTINGS);
  for (const at of [0, 1]) admission.setPool(POOL, at);
  admission.recordLoad(reading(9_500), 3_000);
  t.is(
    admission.meanTokens(750),
    10_000,
    "a recent load of a rising pool does not decay",
  );
  t.true(admission.meanTokens(3_001) < 7_500);
  t.is(requestGrant(admission, "a", 500, 3_001), "above_bound");
});

test("guards against grants that outlive their holder, and grants for a leaving server", (t) => {
  const admission = createAdmission(SETTINGS);
  admission.setPool(POOL, 0);
  admission.recordLoad(reading(0), 0);
  t.is(requestGrant(admission, "a", 100, 0), undefined);
  t.is(admission.expire(15_000), 0);
  t.is(admission.expire(15_001), 1);
  admission.recordLoad(reading(0), 15_001);
  admission.configure({ ...SETTINGS, accepting: false });
  t.is(requestGrant(admission, "b", 100, 15_001), "leaving");
});
