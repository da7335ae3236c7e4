import test from "ava";
import { createLoadBoundCheck } from "./load_bound_check.ts";

const LIMITS = { ratio: 1.25, requestTokens: 1_000 };
/** Loads recorded in a demo run: the second engine has two requests of 985 tokens. */
const RECORDED = { first: 310, second: 1_970, third: 624 };

test("guards against missing a new request that raises an engine above the bound", (t) => {
  const check = createLoadBoundCheck(LIMITS);
  check.add({ atMilliseconds: 0, loads: { ...RECORDED, second: 985 } });
  check.add({ atMilliseconds: 20, loads: RECORDED });
  t.is(check.observation.violations.length, 1);
});

test("guards against reporting a violation when only the mean fell", (t) => {
  const check = createLoadBoundCheck(LIMITS);
  check.add({ atMilliseconds: 0, loads: { ...RECORDED, first: 900 } });
  check.add({ atMilliseconds: 20, loads: RECORDED });
  t.is(check.observation.violations.length, 0);
  t.is(check.observation.samplesAfterMeanFell, 1);
});

test("guards against comparing a load with a mean from before the admission", (t) => {
  const check = createLoadBoundCheck(LIMITS);
  check.add({ atMilliseconds: 0, loads: { ...RECORDED, first: 2_000 } });
  check.add({ atMilliseconds: 200, loads: { ...RECORDED, second: 985 } });
  check.add({ atMilliseconds: 220, loads: RECORDED });
  t.is(check.observation.violations.length, 1);
});

test("guards against leaving out the first sample", (t) => {
  const check = createLoadBoundCheck(LIMITS);
  check.add({ atMilliseconds: 0, loads: RECORDED });
  t.is(check.observation.violations.length, 1);
});
