import test from "ava";
import fc from "fast-check";
import {
  createDeduplicationTable,
  type DeduplicationTable,
  EPOCH_MILLISECONDS,
  RETAINED_EPOCHS,
} from "./deduplication_table.ts";
import {
  brandId,
  type IncarnationId,
  type RequestId,
  type WorkspaceId,
} from "./ids.ts";
import { formatRequestId } from "./request_id.ts";

const TEMPLE = brandId<WorkspaceId>("temple");
const INCARNATION = brandId<IncarnationId>("router-1-abc");

function createLedger(maximumEntries = 1_000): DeduplicationTable<string> {
  return createDeduplicationTable({ incarnation: INCARNATION, maximumEntries });
}

test("guards against a second run of the same id in any state", (t) => {
  const ledger = createLedger();
  const id = ledger.issue("aaaaaaaa", 0);
  t.is(ledger.begin(id, TEMPLE, 0).kind, "run");
  t.is(ledger.begin(id, TEMPLE, 1).kind, "running");
  ledger.settle(id, { kind: "finished", answer: "done", answerBytes: 4 });
  t.deepEqual(ledger.begin(id, TEMPLE, 2), {
    kind: "finished",
    answer: "done",
  });
});

test("guards against running an id after its caller was told that it was not run", (t) => {
  const ledger = createLedger();
  const id = ledger.issue("bbbbbbbb", 0);
  t.is(ledger.query(id, TEMPLE, 0).kind, "refused");
  t.is(ledger.begin(id, TEMPLE, 1).kind, "refused");
});

test("guards against running an id of another incarnation", (t) => {
  const other = formatRequestId(
    brandId<IncarnationId>("router-2-abc"),
    0,
    "cccccccc",
  );
  t.is(createLedger().begin(other, TEMPLE, 0).kind, "foreign");
});

interface Step {
  readonly action: "begin" | "query" | "finish" | "refuse" | "unknown" | "wait";
  readonly id: number;
  readonly waitMilliseconds: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  action: fc.constantFrom(
    "begin",
    "query",
    "finish",
    "refuse",
    "unknown",
    "wait",
  ),
  id: fc.integer({ min: 0, max: 11 }),
  waitMilliseconds: fc.integer({
    min: 0,
    max: EPOCH_MILLISECONDS * RETAINED_EPOCHS,
  }),
});

test("guards against a double run or a false refusal in random histories with little memory", (t) => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 120 }), (steps) => {
      const ledger = createLedger(4);
      const ids: RequestId[] = [];
      const runs = new Map<RequestId, number>();
      const refused = new Set<RequestId>();
      let now = 0;
      for (const step of steps) {
        const id = ids[step.id] ??= ledger.issue(`random-${step.id}-xx`, now);
        if (step.action === "wait") now += step.waitMilliseconds;
        if (
          step.action === "begin" &&
          ledger.begin(id, TEMPLE, now).kind === "run"
        ) {
          runs.set(id, (runs.get(id) ?? 0) + 1);
          if (refused.has(id)) return false;
        }
        if (
          step.action === "query" &&
          ledger.query(id, TEMPLE, now).kind === "refused"
        ) refused.add(id);
        if (step.action === "finish") {
          ledger.settle(id, { kind: "finished", answer: "x", answerBytes: 1 });
        }
        if (step.action === "unknown") ledger.settle(id, { kind: "unknown" });
      }
      return [...runs.values()].every((count) => count === 1);
    }),
    { numRuns: 5_000, seed: 20_261_204 },
  );
  t.pass();
});

test("guards against memory that grows with every request ever made", (t) => {
  const ledger = createLedger(500);
  for (let index = 0; index < 5_000; index++) {
    const now = index * 100;
    const id = ledger.issue(`random-${index}`, now);
    t.is(ledger.begin(id, TEMPLE, now).kind, "run");
    ledger.settle(id, { kind: "finished", answer: "x", answerBytes: 1 });
  }
  const counts = ledger.counts();
  t.true((counts.finished ?? 0) <= 500, JSON.stringify(counts));
});

test("guards against one workspace reading or sealing another workspace's request", (t) => {
  const ledger = createLedger();
  const id = ledger.issue("dddddddd", 0);
  ledger.begin(id, TEMPLE, 0);
  ledger.settle(id, { kind: "finished", answer: "private", answerBytes: 7 });
  t.deepEqual(ledger.query(id, brandId<WorkspaceId>("market"), 1), {
    kind: "forbidden",
  });
});

test("guards against refusing new requests when one epoch fills the table", (t) => {
  const ledger = createLedger(10);
  for (let index = 0; index < 100; index++) {
    const id = ledger.issue(`random-${index}`, 0);
    t.is(ledger.begin(id, TEMPLE, 0).kind, "run");
    ledger.settle(id, { kind: "finished", answer: "x", answerBytes: 1 });
  }
});
