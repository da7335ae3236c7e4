import test from "ava";
import {
  createWatchSchedule,
  WATCH_SPACING_MILLISECONDS,
} from "./watch_schedule.ts";

const MAXIMUM_MILLISECONDS = 15_000;
const OBSERVED_MILLISECONDS = 60_000;
/** Time that a call takes beside its wait. */
const ROUND_TRIP_MILLISECONDS = 8;

/** Returns when the calls of a fleet end after a change at time 0, in order. */
function endsOfFleet(watchers: number, delays: (rank: number) => number) {
  const ends: number[] = [];
  for (let rank = 0; rank < watchers; rank++) {
    const schedule = createWatchSchedule(MAXIMUM_MILLISECONDS);
    schedule.recordChange(delays(rank));
    let now = delays(rank) + 400;
    while (now < OBSERVED_MILLISECONDS) {
      const wait = schedule.nextWait({ rank, watchers }, now);
      if (wait <= 0 || wait > MAXIMUM_MILLISECONDS) return undefined;
      now += wait + ROUND_TRIP_MILLISECONDS;
      if (now <= OBSERVED_MILLISECONDS) ends.push(now);
    }
  }
  return ends.sort((left, right) => left - right);
}

for (const watchers of [1, 2, 3, 4, 14, 15, 40]) {
  test(`guards against watches of a fleet that end together: ${watchers} watchers`, (t) => {
    const ends = endsOfFleet(watchers, (rank) => (rank * 37) % 90) ?? [];
    t.true(ends.length > 0, "all waits are within their range");
    let longest = 0;
    ends.forEach((end, index) => {
      longest = Math.max(longest, end - (ends[index - 1] ?? 0));
    });
    t.true(longest <= 1.25 * WATCH_SPACING_MILLISECONDS, `${longest} ms`);
    const callsPerSecond = ends.length * 1_000 / OBSERVED_MILLISECONDS;
    // Beyond as many watchers as the longest wait has slots, several share one.
    const perSlot = Math.ceil(watchers / 15);
    t.true(callsPerSecond <= 1.1 * perSlot, `${callsPerSecond} calls a second`);
  });
}

test("guards against a wait without end or without length after ranks have changed", (t) => {
  const schedule = createWatchSchedule(MAXIMUM_MILLISECONDS);
  schedule.recordChange(1_000);
  for (let now = 1_000; now < 100_000; now += 313) {
    for (const watchers of [1, 3, 14, 200]) {
      const rank = now % watchers;
      const wait = schedule.nextWait({ rank, watchers }, now);
      t.true(wait >= 100 && wait <= MAXIMUM_MILLISECONDS + 200, `${wait}`);
    }
  }
});
