import test from "ava";
import { createFleetSize, type FleetSize } from "./fleet_size.ts";

const STEP_MILLISECONDS = 50;

/** Updates the estimate every step; returns the time of the last update. */
function advance(
  size: FleetSize,
  live: number,
  from: number,
  milliseconds: number,
): number {
  let now = from;
  for (; now <= from + milliseconds; now += STEP_MILLISECONDS) {
    size.update(live, now);
  }
  return now - STEP_MILLISECONDS;
}

test("guards against a router that was paused taking the allowance of the whole fleet", (t) => {
  for (const pause of [3_000, 8_000, 20_000]) {
    const size = createFleetSize();
    const pausedAt = advance(size, 20, 0, 1_000);
    // After the pause all others seem silent until their reports are read.
    advance(size, 1, pausedAt + pause, 500);
    t.true(size.size > 15, `${pause} ms: ${size.size}`);
  }
});

test("guards against a router that keeps a small share after others are lost", (t) => {
  const size = createFleetSize();
  const lostAt = advance(size, 20, 0, 1_000);
  advance(size, 10, lostAt, 10_000);
  t.true(size.size < 10.5);
  t.true(size.size >= 10);
});

test("guards against a share that stays too large while a fleet grows", (t) => {
  const size = createFleetSize();
  size.update(4, 0);
  size.update(20, 1);
  t.is(size.size, 20);
});
