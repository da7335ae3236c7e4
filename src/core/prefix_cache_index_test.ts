import test from "ava";
import fc from "fast-check";
import {
  type CacheEvent,
  createPrefixCacheIndex,
} from "./prefix_cache_index.ts";
import { brandId, type ChatId, type WorkspaceId } from "./ids.ts";

const WORKSPACE = brandId<WorkspaceId>("w");
const CHATS = ["a", "b", "c"].map((chat) => brandId<ChatId>(chat));

const _delivery = fc.record({
  chat: fc.constantFrom(...CHATS, undefined),
  kind: fc.constantFrom("stored" as const, "evicted" as const),
  tokens: fc.integer({ min: 1, max: 9 }),
  lost: fc.integer({ min: 0, max: 9 }).map((draw) => draw === 0),
  repeated: fc.boolean(),
  delay: fc.integer({ min: 0, max: 4_000 }),
});

test("guards against a wrong present or absent state after late, lost, repeated or reordered events", (t) => {
  let [known, gaps] = [0, 0];
  fc.assert(
    fc.property(
      fc.array(_delivery, { minLength: 20, maxLength: 60 }),
      (deliveries) => {
        const cache = createPrefixCacheIndex();
        const events = deliveries.map((delivery, index): CacheEvent => ({
          workspace: WORKSPACE,
          chat: delivery.chat,
          kind: delivery.kind,
          tokens: delivery.tokens,
          sequence: index + 1,
        }));
        const arrivals = deliveries.flatMap((delivery, index) => {
          const at = index * 300 + delivery.delay;
          const arrival = { at, event: events[index] as CacheEvent };
          if (delivery.lost) return [];
          return delivery.repeated
            ? [arrival, { ...arrival, at: at + 50 }]
            : [arrival];
        }).sort((left, right) => left.at - right.at);
        for (const { at, event } of arrivals) {
          cache.apply("run", [event], at);
          for (const chat of [...CHATS, undefined]) {
            const state = cache.stateOf({ workspace: WORKSPACE, chat }, at);
            if (state.kind === "unknown") continue;
            known++;
            const last = events.slice(0, cache.appliedSequence())
              .findLast((past) => past.chat === chat);
            t.is(state.kind, last?.kind === "stored" ? "present" : "absent");
            if (state.kind === "present") t.is(state.tokens, last?.tokens ?? 0);
          }
        }
        gaps += cache.gaps();
      },
    ),
  );
  t.true(known > 100 && gaps > 100, `${known} known states, ${gaps} gaps`);
});

test("guards against cached prefixes that stay present after a restart of the engine", (t) => {
  const cache = createPrefixCacheIndex();
  const event: CacheEvent = {
    workspace: WORKSPACE,
    kind: "stored",
    tokens: 5,
    sequence: 7,
  };
  cache.apply("first", [event], 0);
  t.is(cache.stateOf(event, 0).kind, "present");
  cache.apply("second", [{ ...event, chat: CHATS[0], sequence: 1 }], 0);
  t.is(cache.stateOf(event, 0).kind, "unknown");
});
