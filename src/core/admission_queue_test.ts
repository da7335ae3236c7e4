import test from "ava";
import fc from "fast-check";
import { createAdmissionQueue, type QueuedRequest } from "./admission_queue.ts";
import { PRIORITIES, type Priority } from "./fleet_schema.ts";
import { brandId, type WorkspaceId } from "./ids.ts";

let nextRequestNumber = 0;

function queued(
  priority: Priority,
  workspace: string,
  weightTokens = 100,
  deadlineMilliseconds = 1_000,
): QueuedRequest {
  return {
    grantId: `request-${nextRequestNumber++}`,
    workspace: brandId<WorkspaceId>(workspace),
    priority,
    weightTokens,
    deadlineMilliseconds,
  };
}

test("guards against a queue that loses requests, exceeds its limit or evicts a higher priority", (t) => {
  const step = fc.record({
    take: fc.boolean(),
    priority: fc.constantFrom(...PRIORITIES),
    workspace: fc.constantFrom("a", "b", "c"),
    weight: fc.integer({ min: 1, max: 5_000 }),
    deadline: fc.integer({ min: 0, max: 200 }),
  });
  fc.assert(fc.property(fc.array(step, { maxLength: 150 }), (steps) => {
    const queue = createAdmissionQueue<QueuedRequest>(6);
    const expected = new Set<QueuedRequest>();
    // The index of a step serves as the time in milliseconds.
    for (const [now, { take, ...next }] of steps.entries()) {
      for (const late of queue.takeExpired(now)) t.true(expected.delete(late));
      if (take) {
        const first = queue.peek();
        t.is(queue.take(), first);
        t.is(first !== undefined, expected.size > 0);
        if (first) expected.delete(first);
      } else {
        const { priority, workspace, weight, deadline } = next;
        const request = queued(priority, workspace, weight, deadline);
        const { added, evicted } = queue.add(request);
        const rank = PRIORITIES.indexOf(priority);
        if (evicted) {
          t.true(expected.delete(evicted));
          t.true(PRIORITIES.indexOf(evicted.priority) >= rank);
        }
        if (added) expected.add(request);
        else {
          t.is(expected.size, 6);
          for (const kept of expected) {
            t.true(PRIORITIES.indexOf(kept.priority) <= rank);
          }
        }
      }
      t.is(queue.length(), expected.size);
      t.true(expected.size <= 6);
    }
    t.is(queue.removeAll().length, expected.size);
    t.is(queue.tokensAhead("low"), 0);
  }));
});

test("guards against high-priority requests starving lower priorities or losing more than one removal in eight", (t) => {
  const queue = createAdmissionQueue<QueuedRequest>(1_000);
  for (let index = 0; index < 100; index++) {
    for (const priority of PRIORITIES) queue.add(queued(priority, "a"));
  }
  const served = { high: 0, normal: 0, low: 0 };
  for (let index = 0; index < 80; index++) {
    const { priority } = queue.take() as QueuedRequest;
    served[priority]++;
  }
  t.deepEqual(served, { high: 70, normal: 5, low: 5 });
});

test("guards against a workspace exceeding its share with many requests, large requests or by rejoining the queue", (t) => {
  const queue = createAdmissionQueue<QueuedRequest>(1_000);
  queue.setShare(brandId<WorkspaceId>("double"), 2);
  const served = new Map<string, number>();
  for (let index = 0; index < 300; index++) {
    queue.add(queued("normal", "flood", 400));
    queue.add(queued("normal", "double", 100));
    queue.add(queued("normal", "double", 100));
  }
  queue.add(queued("normal", "single", 100));
  for (let index = 0; index < 200; index++) {
    const { workspace, weightTokens } = queue.take() as QueuedRequest;
    served.set(workspace, (served.get(workspace) ?? 0) + weightTokens);
    if (workspace === brandId<WorkspaceId>("single")) {
      queue.add(queued("normal", "single", 100));
    }
  }
  const flood = served.get("flood") ?? 0;
  // Each tolerance is the weight of one request of both workspaces; in the
  // second, a request of "flood" counts twice.
  t.true(Math.abs((served.get("single") ?? 0) - flood) <= 500, `${flood}`);
  t.true(Math.abs((served.get("double") ?? 0) - 2 * flood) <= 900);
});

test("guards against a flooding workspace keeping others out of a full queue", (t) => {
  const queue = createAdmissionQueue<QueuedRequest>(8);
  for (let index = 0; index < 8; index++) queue.add(queued("normal", "flood"));
  t.false(queue.add(queued("normal", "flood")).added);
  t.false(queue.add(queued("low", "quiet")).added);
  const { added, evicted } = queue.add(queued("normal", "quiet"));
  t.true(added);
  t.is(evicted?.workspace, brandId<WorkspaceId>("flood"));
});
