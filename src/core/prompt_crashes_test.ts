import test from "ava";
import fc from "fast-check";
import { testServer } from "../../stand_ins/registered_servers.ts";
import type { PromptPart } from "./prompt.ts";
import { createPromptCrashes, type PromptCrashes } from "./prompt_crashes.ts";
import { type PartKey, partKeyOf } from "./prompt_directory.ts";

const MINUTE_MILLISECONDS = 60_000;
const SYSTEM: PromptPart = { id: "system", tokens: 600 };
const DEADLY: PromptPart = { id: "deadly", tokens: 400 };

/** Distinct parts of which a head of 16 KiB has room for the entries. */
const MOST_PARTS = 2_700;

/** Returns the shared parts of a prompt, as they are recorded. */
function prompt(...shared: PromptPart[]): PartKey[] {
  return shared.map(partKeyOf);
}

/** Returns parts that no other prompt has. */
function partsOf(name: string, count: number): PromptPart[] {
  return Array.from(
    { length: count },
    (_, index) => ({ id: `${name}-${index}`, tokens: 1 }),
  );
}

function crash(
  crashes: PromptCrashes,
  index: number,
  now: number,
  ...shared: PromptPart[]
): void {
  crashes.recordCrash(testServer(`s${index}`), prompt(...shared), now);
}

test("guards against a part that crashes one server after the other, whatever else its requests hold", (t) => {
  const crashes = createPromptCrashes();
  crashes.recordCompleted(prompt(SYSTEM), 0);
  crash(crashes, 0, 1_000, SYSTEM, DEADLY);
  crash(crashes, 1, 2_000, SYSTEM, { id: "other", tokens: 9 }, DEADLY);
  t.is(crashes.findQuarantine(prompt(DEADLY), 2_000), undefined);
  crash(crashes, 2, 3_000, DEADLY);
  const quarantine = crashes.findQuarantine(prompt(SYSTEM, DEADLY), 3_000);
  t.is(quarantine?.crashes, 3);
  t.is(quarantine?.remainingMilliseconds, 10 * MINUTE_MILLISECONDS);
  t.is(crashes.findQuarantine(prompt(SYSTEM), 3_000), undefined);
  t.is(crashes.quarantines(3_000).length, 1);
});

test("guards against rejecting sound parts after servers crashed together, or because they were read during crashes", (t) => {
  const crashes = createPromptCrashes();
  for (let index = 0; index < 8; index++) {
    crash(crashes, index, 1_000 + 40 * index, DEADLY);
  }
  t.is(crashes.findQuarantine(prompt(DEADLY), 2_000), undefined);
  const busy = createPromptCrashes();
  for (let index = 0; index < 8; index++) {
    crash(busy, index, 1_000 * index, SYSTEM);
    busy.recordCompleted(prompt(SYSTEM), 1_000 * index + 500);
  }
  t.is(busy.findQuarantine(prompt(SYSTEM), 8_000), undefined);
  t.is(busy.nextSequence, 2);
});

test("guards against rejecting a sound part that was only read beside the one that crashes servers, and against sparing the latter", (t) => {
  const beside: PromptPart = { id: "beside", tokens: 300 };
  const crashes = createPromptCrashes();
  for (let index = 0; index < 3; index++) {
    crash(crashes, index, 1_000 * index, beside, DEADLY);
  }
  t.not(crashes.findQuarantine(prompt(beside, DEADLY), 3_000), undefined);
  t.is(crashes.findQuarantine(prompt(beside), 3_000), undefined);
  crash(crashes, 3, 3_000, DEADLY);
  t.not(crashes.findQuarantine(prompt(DEADLY), 3_000), undefined);
  t.is(crashes.findQuarantine(prompt(beside), 3_000), undefined);
  crashes.recordCompleted(prompt(beside), 3_500);
  t.not(crashes.findQuarantine(prompt(beside, DEADLY), 3_500), undefined);
});

test("guards against counting one crash several times, and against keeping a quarantine that a completed request disproved or that ended", (t) => {
  const cleared: number[] = [];
  const crashes = createPromptCrashes({
    onCleared: (part) => cleared.push(part),
  });
  for (let index = 0; index < 5; index++) {
    crash(crashes, 0, 1_000 * index, DEADLY);
  }
  t.is(crashes.quarantines(5_000).length, 0);
  for (let index = 1; index < 4; index++) {
    crash(crashes, index, 5_000 + 1_000 * index, DEADLY);
  }
  t.is(crashes.quarantines(9_000).length, 1);
  crashes.recordCompleted(prompt(DEADLY), 9_000);
  t.is(crashes.quarantines(9_000).length, 0);
  t.is(cleared.length, 1);
  const other = createPromptCrashes();
  for (let index = 1; index < 4; index++) {
    crash(other, index, 1_000 * index, DEADLY);
  }
  const end = 3_000 + 10 * MINUTE_MILLISECONDS;
  t.is(other.quarantines(end - 1).length, 1);
  t.is(other.quarantines(end).length, 0);
  // A further crash quarantines the part again at once.
  crash(other, 9, end + 1_000, DEADLY);
  t.is(other.quarantines(end + 1_000).length, 1);
  other.expire(end + 21 * MINUTE_MILLISECONDS);
  crash(other, 10, end + 21 * MINUTE_MILLISECONDS, DEADLY);
  t.is(other.quarantines(end + 21 * MINUTE_MILLISECONDS).length, 0);
});

test("guards against a quarantine that is forgotten when the routers restart in turn", (t) => {
  let known = createPromptCrashes();
  for (let index = 0; index < 3; index++) {
    crash(known, index, 1_000 * index, DEADLY);
  }
  for (let restart = 1; restart <= 3; restart++) {
    const now = 3_000 + 1_000 * restart;
    const started = createPromptCrashes();
    for (const evidence of known.announcementsSince(0)) {
      started.addEvidence(evidence, now);
    }
    known = started;
  }
  t.not(known.findQuarantine(prompt(DEADLY), 7_000), undefined);
});

test("guards against unbounded growth of the suspects", (t) => {
  const crashes = createPromptCrashes();
  for (let index = 0; index < 70_000; index++) {
    for (let server = 0; server < 3; server++) {
      const part = { id: `part-${index}`, tokens: 1 };
      crash(crashes, server, 1_000 * server, part);
    }
  }
  const { length } = crashes.quarantines(3_000);
  t.true(length <= 65_536 && length >= 61_440, `${length}`);
});

test("guards against a part that is never quarantined because the other parts of its prompts fill what is kept of suspects or announced", (t) => {
  const own = createPromptCrashes();
  const peer = createPromptCrashes();
  let announced = 0;
  for (let index = 0; index < 3; index++) {
    const others = partsOf(`prompt-${index}`, MOST_PARTS);
    crash(own, index, 1_000 * index, DEADLY, ...others);
    for (let inFlight = 0; inFlight < 3; inFlight++) {
      const read = partsOf(`beside-${index}-${inFlight}`, 1_000);
      crash(own, index, 1_000 * index, ...read);
    }
    for (const evidence of own.announcementsSince(announced)) {
      peer.addEvidence(evidence, 1_000 * index);
    }
    announced = own.nextSequence;
  }
  for (const crashes of [own, peer]) {
    t.deepEqual(
      crashes.quarantines(3_000).map(({ part }) => part),
      [partKeyOf(DEADLY)],
    );
    const prompts = partsOf("prompt-0", MOST_PARTS);
    t.not(crashes.findQuarantine(prompt(...prompts, DEADLY), 3_000), undefined);
    t.is(crashes.findQuarantine(prompt(...prompts), 3_000), undefined);
  }
});

test("guards against a search for quarantined parts whose work grows with the square of the parts", (t) => {
  const crashes = createPromptCrashes();
  const parts = prompt(...partsOf("part", MOST_PARTS));
  const few = parts.slice(0, 100);
  for (let index = 0; index < 3; index++) {
    crashes.recordCrash(testServer(`s${index}`), parts, 1_000 * index);
    crashes.recordCrash(
      testServer(`s${index}`),
      prompt(...partsOf(`other-${index}`, 20_000)),
      1_000 * index,
    );
  }
  function measure(read: readonly PartKey[]): number {
    const startedAt = performance.now();
    for (let round = 0; round < 20; round++) {
      crashes.findQuarantine(read, 3_000);
    }
    return performance.now() - startedAt;
  }
  measure(parts);
  // 27 times as many parts may take 27 times as long, and some more for the maps.
  const ratio = measure(parts) / Math.max(0.01, measure(few));
  t.true(ratio < 27 * 4, `${ratio}`);
  t.not(crashes.findQuarantine(parts, 3_000), undefined);
});

test("guards against a router that acts on its own crashes alone, and against one that lets a peer's crashes stand against a part that it knows to be sound", (t) => {
  const crashes = createPromptCrashes();
  const peer = createPromptCrashes();
  crash(crashes, 0, 1_000, DEADLY, SYSTEM);
  crash(peer, 1, 2_000, DEADLY, SYSTEM);
  crash(peer, 2, 3_000, DEADLY, SYSTEM);
  crashes.recordCompleted(prompt(SYSTEM), 2_500);
  for (const evidence of peer.announcementsSince(0)) {
    crashes.addEvidence(evidence, 3_000);
  }
  t.deepEqual(
    crashes.quarantines(3_000).map(({ crashes: count }) => count),
    [3],
  );
  t.is(crashes.findQuarantine(prompt(SYSTEM), 3_000), undefined);
  for (const evidence of crashes.announcementsSince(0)) {
    peer.addEvidence(evidence, 3_100);
  }
  t.is(peer.findQuarantine(prompt(SYSTEM), 3_100), undefined);
  t.not(peer.findQuarantine(prompt(DEADLY), 3_100), undefined);
});

test("guards against quarantining a part of which a request completed within the last minute, in any history", (t) => {
  const event = fc.record({
    after: fc.integer({ min: 0, max: 20_000 }),
    server: fc.nat(9),
    completes: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(event, { maxLength: 40 }), (events) => {
      const crashes = createPromptCrashes();
      let now = 0;
      let completedAt = Number.NEGATIVE_INFINITY;
      for (const { after, server, completes } of events) {
        now += after;
        if (completes) {
          crashes.recordCompleted(prompt(DEADLY), now);
          completedAt = now;
        } else crash(crashes, server, now, DEADLY);
        const isQuarantined = crashes.quarantines(now).length > 0;
        if (isQuarantined && now - completedAt < MINUTE_MILLISECONDS) {
          return false;
        }
      }
      return true;
    }),
    { seed: 24 },
  );
  t.pass();
});
