import test from "ava";
import { Lease, type LeaseAction } from "./lease.ts";

const TERMS = { durationMilliseconds: 15_000, notAfterSpanMilliseconds: 3_000 };

function input(now: number, attempt = `attempt-${now}`, generation = 1) {
  return { now, wanted: true, generation, attempt };
}

function recordOf(action: LeaseAction | undefined): string {
  return action?.kind === "write" ? JSON.stringify(action.record) : "";
}

/** Holds the lease from time 0 and acts from time 18,000. */
function hold(holder = "a") {
  const lease = new Lease(holder, TERMS);
  lease.next(input(0));
  lease.onRead(0, undefined);
  const value = recordOf(lease.next(input(0)));
  lease.onWritten("attempt-0", 1);
  return { lease, value };
}

/** The first time at which a lease lets its holder act. */
function firstActing(lease: Lease, renewEvery = 5_000): number {
  let version = 100;
  for (let now = 0; now < 60_000; now += 100) {
    if (lease.actingEpoch(now, 1) !== undefined) return now;
    const action = lease.next(input(now));
    if (action?.kind !== "write" || now % renewEvery !== 0) continue;
    lease.onWritten(`attempt-${now}`, version++);
  }
  return Infinity;
}

test("guards against acting before the last holder's lease and orders have ended", (t) => {
  t.true(firstActing(hold().lease) >= 18_000);
  for (
    const [released, earliest] of [[false, 19_000], [true, 4_000]] as const
  ) {
    const lease = new Lease("b", TERMS);
    const record = {
      holder: "a",
      epoch: 7,
      attempt: "x",
      released,
      generation: 1,
      ...TERMS,
    };
    lease.onRead(1_000, { version: 3, value: JSON.stringify(record) });
    let version = 3;
    let first = Infinity;
    for (let now = 1_000; now < 40_000 && first === Infinity; now += 100) {
      if (lease.actingEpoch(now, 1) !== undefined) first = now;
      const action = lease.next(input(now));
      const value = JSON.stringify(record);
      if (action?.kind === "read") lease.onRead(now, { version: 3, value });
      if (action?.kind === "write") {
        t.is(action.record.epoch, 8);
        lease.onWritten(`attempt-${now}`, ++version);
      }
    }
    t.is(first, earliest);
  }
});

test("guards against acting after two thirds of the lease, counted from before the write", (t) => {
  const { lease } = hold();
  for (let now = 5_000; now <= 15_000; now += 5_000) {
    t.is(lease.next(input(now))?.kind, "write");
    lease.onWritten(`attempt-${now}`, now);
  }
  lease.next(input(20_000));
  // The reply is slow: the time counts from 20,000 all the same.
  lease.onWritten("attempt-20000", 30_000);
  t.is(lease.actingEpoch(29_999, 1), 1);
  t.is(lease.actingEpoch(30_000, 1), undefined);
  t.is(lease.actingEpoch(29_999, 2), undefined);
});

test("guards against giving up, or wrongly counting, a lease whose write reply was lost", (t) => {
  const { lease, value } = hold();
  const renewal = recordOf(lease.next(input(17_000)));
  lease.onFailed(19_000, "platform_outcome_unknown");
  t.is(lease.next(input(20_000))?.kind, "read");
  lease.onRead(20_100, { version: 2, value: renewal });
  t.is(lease.actingEpoch(26_900, 1), 1);
  t.is(lease.actingEpoch(27_000, 1), undefined);

  const other = hold();
  other.lease.next(input(17_000));
  other.lease.onFailed(19_000, "platform_outcome_unknown");
  other.lease.onRead(20_100, { version: 1, value });
  // The write did not take effect, so nothing was prolonged.
  t.is(other.lease.actingEpoch(20_200, 1), undefined);
});

test("guards against acting on once another holder has taken over", (t) => {
  const { lease, value } = hold();
  lease.next(input(17_000));
  lease.onFailed(17_100, "platform_conflict");
  t.is(lease.actingEpoch(18_000, 1), undefined);
  const taken = value.replace('"holder":"a"', '"holder":"b"');
  lease.onRead(17_200, { version: 9, value: taken });
  t.is(lease.actingEpoch(18_000, 1), undefined);
  t.is(lease.next(input(18_000)), undefined);
});

test("guards against a fencing number below one that an engine has seen", (t) => {
  const { lease } = hold();
  lease.noteFencingNumber(41);
  const action = lease.next(input(100));
  t.is(action?.kind === "write" && action.record.epoch, 42);
});
