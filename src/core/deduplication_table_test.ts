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

const WORKSPACE = brandId<WorkspaceId>("temple");
const INCARNATION = brandId<IncarnationId>("router-1-abc");

function createTable(maximumEntries = 1_000): DeduplicationTable<string> {
  return createDeduplicationTable({ incarnation: INCARNATION, maximumEntries });
}

test("guards against a second run of an id that is running or finished", (t) => {
  const table = createTable();
  const id = table.issue("aaaaaaaa", 0);
  t.is(table.begin(id, WORKSPACE, 0).kind, "run");
  t.is(table.begin(id, WORKSPACE, 1).kind, "running");
  table.complete(id, { kind: "finished", answer: "done", answerBytes: 4 });
  t.deepEqual(table.begin(id, WORKSPACE, 2), {
    kind: "finished",
    answer: "done",
  });
});

test("guards against running an id after it was reported as not run", (t) => {
  const table = createTable();
  const id = table.issue("bbbbbbbb", 0);
  t.is(table.query(id, WORKSPACE, 0).kind, "refused");
  t.is(table.begin(id, WORKSPACE, 1).kind, "refused");
});

test("guards against running an id of another incarnation", (t) => {
  const other = formatRequestId(
    brandId<IncarnationId>("router-2-abc"),
    0,
    "cccccccc",
  );
  t.is(createTable().begin(other, WORKSPACE, 0).kind, "foreign");
});

interface Step {
  readonly action: "begin" | "query" | "finish" | "refuse" | "unknown" | "wait";
  readonly id: number;
  readonly waitMilliseconds: number;
}

const _step: fc.Arbitrary<Step> = fc.record({
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

test("guards against a second run, or a run after a refusal, in random histories with a small table", (t) => {
  fc.assert(
    fc.property(fc.array(_step, { maxLength: 120 }), (steps) => {
      const table = createTable(4);
      const ids: RequestId[] = [];
      const runs = new Map<RequestId, number>();
      const refused = new Set<RequestId>();
      let now = 0;
      for (const step of steps) {
        const id = ids[step.id] ??= table.issue(`random-${step.id}-xx`, now);
        if (step.action === "wait") now += step.waitMilliseconds;
        if (
          step.action === "begin" &&
          table.begin(id, WORKSPACE, now).kind === "run"
        ) {
          runs.set(id, (runs.get(id) ?? 0) + 1);
          if (refused.has(id)) return false;
        }
        if (
          step.action === "query" &&
          table.query(id, WORKSPACE, now).kind === "refused"
        ) refused.add(id);
        if (step.action === "finish") {
          table.complete(id, { kind: "finished", answer: "x", answerBytes: 1 });
        }
        if (step.action === "unknown") table.complete(id, { kind: "unknown" });
      }
      return [...runs.values()].every((count) => count === 1);
    }),
    { numRuns: 5_000, seed: 20_261_204 },
  );
  t.pass();
});

test("guards against memory that grows with the total number of requests", (t) => {
  const table = createTable(500);
  for (let index = 0; index < 5_000; index++) {
    const now = index * 100;
    const id = table.issue(`random-${index}`, now);
    t.is(table.begin(id, WORKSPACE, now).kind, "run");
    table.complete(id, { kind: "finished", answer: "x", answerBytes: 1 });
  }
  const counts = table.counts();
  t.true((counts.finished ?? 0) <= 500, JSON.stringify(counts));
});

test("guards against one workspace reading or refusing another workspace's request", (t) => {
  const table = createTable();
  const id = table.issue("dddddddd", 0);
  table.begin(id, WORKSPACE, 0);
  table.complete(id, { kind: "finished", answer: "private", answerBytes: 7 });
  t.deepEqual(table.query(id, brandId<WorkspaceId>("market"), 1), {
    kind: "forbidden",
  });
});

test("guards against refusing new requests when one epoch fills the table", (t) => {
  const table = createTable(10);
  for (let index = 0; index < 100; index++) {
    const id = table.issue(`random-${index}`, 0);
    t.is(table.begin(id, WORKSPACE, 0).kind, "run");
    table.complete(id, { kind: "finished", answer: "x", answerBytes: 1 });
  }
});
