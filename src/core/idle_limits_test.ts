import test from "ava";
import { createIdleLimits } from "./idle_limits.ts";

const DROPPED = { idleMilliseconds: 400, sentMilliseconds: 3 };

test("guards against connections that a server dropped being used again and again", (t) => {
  const limits = createIdleLimits();
  t.is(limits.limit("desk", 0), Infinity);
  t.is(limits.recordReset("desk", DROPPED, 0), 200);
  t.is(limits.limit("desk", 1), 200);
  t.is(limits.limit("pool", 1), Infinity);
  const shorter = { ...DROPPED, idleMilliseconds: 150 };
  t.is(limits.recordReset("desk", shorter, 2), 75);
  t.is(limits.recordReset("desk", DROPPED, 3), 75);
});

test("guards against a crash of a server being taken for dropped connections", (t) => {
  const limits = createIdleLimits();
  t.is(
    limits.recordReset("desk", { ...DROPPED, sentMilliseconds: 60 }, 0),
    undefined,
  );
  t.is(
    limits.recordReset("desk", { ...DROPPED, idleMilliseconds: 10 }, 0),
    undefined,
  );
  t.is(limits.limit("desk", 0), Infinity);
});

test("guards against a limit that outlives its cause", (t) => {
  const limits = createIdleLimits();
  limits.recordReset("desk", DROPPED, 0);
  t.is(limits.limit("desk", 19_999), 200);
  t.is(limits.limit("desk", 20_000), Infinity);
});
