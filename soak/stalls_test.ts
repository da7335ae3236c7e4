import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { recordStalls, type Stall, stillnessWithin } from "./stalls.ts";

const BUSY_MILLISECONDS = 200;
/** Timers of an idle process are late by no more on a busy machine. */
const TOLERANCE_MILLISECONDS = 60;

test("guards against the soak overlooking that its own process stood still", async (t) => {
  const stalls: Stall[] = [];
  function now(): number {
    return performance.now();
  }

  const stop = recordStalls(now, stalls);
  await sleep(2 * TOLERANCE_MILLISECONDS);
  const from = now();
  while (now() < from + BUSY_MILLISECONDS);
  const until = now();
  await sleep(2 * TOLERANCE_MILLISECONDS);
  stop();
  const stillness = stillnessWithin(stalls, from, until);
  t.true(stillness >= BUSY_MILLISECONDS - TOLERANCE_MILLISECONDS);
  t.true(stillness <= until - from);
});

test("guards against the soak counting stalls outside of a request", (t) => {
  const stalls = [{ from: 100, until: 200 }, { from: 300, until: 400 }];
  t.is(stillnessWithin(stalls, 150, 350), 100);
  t.is(stillnessWithin(stalls, 200, 300), 0);
});
