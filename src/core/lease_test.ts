import test from "ava";
import { Lease, type LeaseAction } from "./lease.ts";

const TERMS = { durationMilliseconds: 15_000, notAfterSpanMilliseconds: 3_000 };

function createInput(now: number, attempt = `attempt-${now}`, generation = 1) {
  return { now, wanted: true, generation, attempt };
}

function serializeRecord(action: LeaseAction | undefined): string {
  return action?.kind === "write" ? JSON.stringify(action.record) : "";
}

/** Acquires the lease at time 0; its holder may act from time 18,000. */
function acquireLease(holder = "a") {
  const lease = new Lease(holder, TERMS);
  lease.nextAction(createInput(0));
  lease.onRead(0, undefined);
  const value = serializeRecord(lease.nextAction(createInput(0)));
  lease.onWritten("attempt-0", 1);
  return { lease, value };
}

/** Returns the first time at which a lease lets its holder act. */
function findFirstActingTime(lease: Lease, renewEvery = 5_000): number {
  let version = 100;
  for (let now = 0; now < 60_000; now += 100) {
    if (lease.actingEpoch(now, 1) !== undefined) return now;
    const action = lease.nextAction(createInput(now));
    if (action?.kind !== "write" || now % renewEvery !== 0) continue;
    lease.onWritten(`attempt-${now}`, version++);
  }
  return Infinity;
}

test("guards against acting before the previous holder's lease and orders have expired", (t) => {
  t.true(findFirstActingTime(acquireLease().lease) >= 18_000);
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
      const action = lease.nextAction(createInput(now));
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

test("guards against acting past two thirds of the lease duration, measured from before the write", (t) => {
  const { lease } = acquireLease();
  for (let now = 5_000; now <= 15_000; now += 5_000) {
    t.is(lease.nextAction(createInput(now))?.kind, "write");
    lease.onWritten(`attempt-${now}`, now);
  }
  lease.nextAction(createInput(20_000));
  // The lease runs from 20,000 although the reply arrives late.
  lease.onWritten("attempt-20000", 30_000);
  t.is(lease.actingEpoch(29_999, 1), 1);
  t.is(lease.actingEpoch(30_000, 1), undefined);
  t.is(lease.actingEpoch(29_999, 2), undefined);
});

test("guards against dropping a lease when the reply to a write was lost, or extending it when the write was", (t) => {
  const { lease, value } = acquireLease();
  const renewal = serializeRecord(lease.nextAction(createInput(17_000)));
  lease.onFailed(19_000, "platform_outcome_unknown");
  t.is(lease.nextAction(createInput(20_000))?.kind, "read");
  lease.onRead(20_100, { version: 2, value: renewal });
  t.is(lease.actingEpoch(26_900, 1), 1);
  t.is(lease.actingEpoch(27_000, 1), undefined);

  const other = acquireLease();
  other.lease.nextAction(createInput(17_000));
  other.lease.onFailed(19_000, "platform_outcome_unknown");
  other.lease.onRead(20_100, { version: 1, value });
  // The write did not take effect, so the lease was not extended.
  t.is(other.lease.actingEpoch(20_200, 1), undefined);
});

test("guards against acting after another holder has taken over", (t) => {
  const { lease, value } = acquireLease();
  lease.nextAction(createInput(17_000));
  lease.onFailed(17_100, "platform_conflict");
  t.is(lease.actingEpoch(18_000, 1), undefined);
  const taken = value.replace('"holder":"a"', '"holder":"b"');
  lease.onRead(17_200, { version: 9, value: taken });
  t.is(lease.actingEpoch(18_000, 1), undefined);
  t.is(lease.nextAction(createInput(18_000)), undefined);
});

test("guards against writing an epoch below a fencing number that an engine has seen", (t) => {
  const { lease } = acquireLease();
  lease.recordFencingNumber(41);
  const action = lease.nextAction(createInput(100));
  t.is(action?.kind === "write" && action.record.epoch, 42);
});
