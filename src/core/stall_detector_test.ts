import test from "ava";
import { createStallDetector } from "./stall_detector.ts";

const PERIOD_MILLISECONDS = 250;

test("guards against missing a stall, and against reporting a call that is only a little late", (t) => {
  const detector = createStallDetector(PERIOD_MILLISECONDS);
  t.is(detector.observe(10_000), undefined);
  t.is(detector.observe(10_250), undefined);
  t.is(detector.observe(10_800), undefined);
  t.is(detector.observe(12_300), 1_250);
  t.is(detector.observe(12_550), undefined);
});

test("guards against a signal that is handled after a pause being taken for a punctual one", (t) => {
  const detector = createStallDetector(PERIOD_MILLISECONDS);
  detector.observe(0);
  detector.observe(PERIOD_MILLISECONDS);
  t.is(detector.recentStillness(PERIOD_MILLISECONDS + 10), 10);
  // The pause ends at 2,000; the periodic call comes first, or does not.
  t.is(detector.recentStillness(2_000), 2_000 - PERIOD_MILLISECONDS);
  detector.observe(2_000);
  t.is(detector.recentStillness(2_001), 2_001 - 2 * PERIOD_MILLISECONDS);
});
