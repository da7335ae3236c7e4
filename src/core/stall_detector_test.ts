import test from "ava";
import { createStallDetector } from "./stall_detector.ts";

test("guards against missing a stall, and against reporting a call that is only a little late", (t) => {
  const detector = createStallDetector(250);
  t.is(detector.observe(10_000), undefined);
  t.is(detector.observe(10_250), undefined);
  t.is(detector.observe(10_800), undefined);
  t.is(detector.observe(12_300), 1_250);
  t.is(detector.observe(12_550), undefined);
});
