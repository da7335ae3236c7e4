import test from "ava";
import fc from "fast-check";
import { planExport } from "./export_plan.ts";
import {
  type BackendServerId,
  brandId,
  type ChatId,
  type WorkspaceId,
} from "./ids.ts";

const _chats = fc.array(
  fc.record({
    workspace: fc.constantFrom("a", "b"),
    tokens: fc.integer({ min: 0, max: 300 }),
  }),
  { maxLength: 30 },
);
const _capacities = fc.array(fc.integer({ min: 0, max: 2_000 }), {
  maxLength: 5,
});

test("guards against an export over its budget, out of order, or into a full cache while another server has free space", (t) => {
  fc.assert(
    fc.property(
      _chats,
      _capacities,
      fc.integer({ max: 20_000 }),
      (given, capacities, bytes) => {
        const chats = given.map(({ workspace, tokens }, index) => ({
          workspace: brandId<WorkspaceId>(workspace),
          chat: brandId<ChatId>(`c${index}`),
          prefixTokens: 100 + tokens,
          sharedTokens: 100,
        }));
        const targets = capacities.map((freeTokens, index) => ({
          backendServer: brandId<BackendServerId>(`s${index}`),
          freeTokens,
          holdsShared: () => false,
        }));
        const steps = planExport(chats, targets, { bytes, bytesPerToken: 10 });
        const moved = steps.reduce((total, step) => total + step.bytes, 0);
        t.true(moved <= Math.max(0, bytes));
        t.deepEqual(
          steps.map((step) => step.chat),
          chats.slice(0, steps.length),
        );
        const used = new Map<string, number>();
        for (const step of steps) {
          const tokens = step.bytes / 10;
          const needed = step.chat.prefixTokens;
          t.true(tokens === needed || tokens === needed - 100);
          const freeTokens = targets.map((target) =>
            target.freeTokens - (used.get(target.backendServer) ?? 0)
          );
          used.set(step.to, (used.get(step.to) ?? 0) + tokens);
          const isOver = (used.get(step.to) ?? 0) >
            (capacities[Number(step.to.slice(1))] ?? 0);
          if (isOver) t.true(freeTokens.every((free) => free < needed));
        }
      },
    ),
  );
});
