import test from "ava";
import { decideStopAdmission, type StopProgress } from "./stop_admission.ts";

const EARLY: StopProgress = {
  sinceSignalMilliseconds: 500,
  remainingMilliseconds: 7_000,
  hasOtherRouters: true,
};

test("guards against taking a request on an estimate once callers know of the stop", (t) => {
  const request = {
    timeoutMilliseconds: 15_000,
    longestRecentMilliseconds: 100,
  };
  t.is(decideStopAdmission(EARLY, request), "within_estimate");
  for (const sinceSignalMilliseconds of [2_001, 3_000, 6_000]) {
    const late = { ...EARLY, sinceSignalMilliseconds };
    t.is(decideStopAdmission(late, request), "too_long");
  }
});

test("guards against rejecting a request that ends in time by its own time limit", (t) => {
  const request = { timeoutMilliseconds: 900, longestRecentMilliseconds: 0 };
  const late = {
    ...EARLY,
    sinceSignalMilliseconds: 6_600,
    remainingMilliseconds: 1_000,
  };
  t.is(decideStopAdmission(late, request), "within_timeout");
  const over = { ...late, remainingMilliseconds: 899 };
  t.is(decideStopAdmission(over, request), "too_long");
  const ended = { ...late, remainingMilliseconds: 0 };
  t.is(
    decideStopAdmission(ended, { ...request, timeoutMilliseconds: 0 }),
    "too_long",
  );
});

test("guards against an estimate without a margin where another router could serve, and against rejecting what no other router serves", (t) => {
  const request = {
    timeoutMilliseconds: 15_000,
    longestRecentMilliseconds: 3_600,
  };
  t.is(decideStopAdmission(EARLY, request), "too_long");
  const alone = { ...EARLY, hasOtherRouters: false };
  t.is(decideStopAdmission(alone, request), "within_estimate");
});

test("guards against taking requests of a route of which no duration is known", (t) => {
  const request = { timeoutMilliseconds: 15_000, longestRecentMilliseconds: 0 };
  t.is(decideStopAdmission(EARLY, request), "too_long");
});
