import test from "ava";
import { createLoadBoundCheck } from "./load_bound_check.ts";

const LIMITS = { ratio: 1.25, requestTokens: 1_000 };
/** Recorded in a run of the demo: two requests of 985 tokens at one engine. */
const RECORDED = { first: 310, second: 1_970, third: 624 };

test("guards against an engine that a new request takes above the bound", (t) => {
  const check = createLoadBoundCheck(LIMITS);
  check.add({ atMilliseconds: 0, loads: { ...RECORDED, second: 985 } });
  check.add({ atMilliseconds: 20, loads: RECORDED });
  t.is(check.observation.violations.length, 1);
});

test("guards against a fall of the mean being taken for a wrong grant", (t) => {
  const check = createLoadBoundCheck(LIMITS);
  check.add({ atMilliseconds: 0, loads: { ...RECORDED, first: 900 } });
  check.add({ atMilliseconds: 20, loads: RECORDED });
  t.is(check.observation.violations.length, 0);
  t.is(check.observation.samplesAfterMeanFell, 1);
});

test("guards against a mean from before the grant excusing a wrong grant", (t) => {
  const check = createLoadBoundCheck(LIMITS);
  check.add({ atMilliseconds: 0, loads: { ...RECORDED, first: 2_000 } });
  check.add({ atMilliseconds: 200, loads: { ...RECORDED, second: 985 } });
  check.add({ atMilliseconds: 220, loads: RECORDED });
  t.is(check.observation.violations.length, 1);
});

test("guards against the first sample being left out", (t) => {
  const check = createLoadBoundCheck(LIMITS);
  check.add({ atMilliseconds: 0, loads: RECORDED });
  t.is(check.observation.violations.length, 1);
});
