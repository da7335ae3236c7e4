import test from "ava";
import { createIdleLimits } from "./idle_limits.ts";

const DROPPED = { idleMilliseconds: 400, sentMilliseconds: 3 };

test("guards against repeated use of connections that a server has already dropped", (t) => {
  const limits = createIdleLimits();
  t.is(limits.limit("desk", 0), Infinity);
  t.is(limits.recordReset("desk", DROPPED, 0), 200);
  t.is(limits.limit("desk", 1), 200);
  t.is(limits.limit("pool", 1), Infinity);
  const shorter = { ...DROPPED, idleMilliseconds: 150 };
  t.is(limits.recordReset("desk", shorter, 2), 75);
  t.is(limits.recordReset("desk", DROPPED, 3), 75);
});

test("guards against mistaking a server crash for dropped idle connections", (t) => {
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

test("guards against an idle limit that never expires", (t) => {
  const limits = createIdleLimits();
  limits.recordReset("desk", DROPPED, 0);
  t.is(limits.limit("desk", 19_999), 200);
  t.is(limits.limit("desk", 20_000), Infinity);
});
