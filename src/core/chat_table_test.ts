import test from "ava";
import fc from "fast-check";
import { type ChatKey, createChatTable } from "./chat_table.ts";
import { type BackendServerId, brandId } from "./ids.ts";
import { hash32 } from "./hash32.ts";

function key(workspace: string, chat: string): ChatKey {
  return { workspace: brandId(workspace), chat: brandId(chat) };
}

function server(name: string): BackendServerId {
  return brandId<BackendServerId>(name);
}

const _step = fc.record({
  workspace: fc.constantFrom("a", "b", "a/x"),
  chat: fc.constantFrom("x", "x/1", "1", "2", "3", "4"),
  server: fc.constantFrom("s0", "s1", "s2", "s3"),
  tokens: fc.constantFrom(0, 100, 200),
});

test("guards against a lookup that returns other servers than the last three of that chat", (t) => {
  fc.assert(fc.property(fc.array(_step, { maxLength: 200 }), (steps) => {
    const table = createChatTable({ maximumChats: 18 });
    const model = new Map<string, { server: string; tokens: number }[]>();
    steps.forEach((step, index) => {
      const id = JSON.stringify([step.workspace, step.chat]);
      const others = (model.get(id) ?? [])
        .filter((known) => known.server !== step.server);
      if (step.tokens > 0) others.unshift(step);
      model.set(id, others.slice(0, 3));
      const chat = key(step.workspace, step.chat);
      table.remember(chat, {
        backendServer: server(step.server),
        cachedTokens: step.tokens,
      }, index * 1_000);
      const actual = table.lookup(chat, index * 1_000).map((known) => ({
        server: known.backendServer,
        tokens: known.cachedTokens,
      }));
      const expected = (model.get(id) ?? [])
        .map((known) => ({ server: known.server, tokens: known.tokens }));
      t.deepEqual(actual, expected);
    });
    const remembered = [...model.values()].filter((known) => known.length > 0);
    t.is(table.size(), remembered.length);
  }));
});

test("guards against a workspace reading a chat of another workspace when their hashes collide", (t) => {
  const byHash = new Map<number, string>();
  let pair: [string, string] | undefined;
  for (let index = 0; !pair; index++) {
    const hash = hash32(`w${index}/chat`);
    const other = byHash.get(hash);
    if (other) pair = [other, `w${index}`];
    byHash.set(hash, `w${index}`);
  }
  const table = createChatTable({ maximumChats: 10 });
  const [first, second] = [key(pair[0], "chat"), key(pair[1], "chat")];
  const served = { backendServer: server("s"), cachedTokens: 10 };
  table.remember(first, served, 0);
  t.deepEqual(table.lookup(second, 0), []);
  table.remember(second, { ...served, cachedTokens: 99 }, 0);
  t.is(table.lookup(first, 0)[0]?.cachedTokens, 10);
});

test("guards against a large workspace evicting the chats of a small one, and against growth beyond the maximum size", (t) => {
  const table = createChatTable({ maximumChats: 100 });
  const served = { backendServer: server("s"), cachedTokens: 10 };
  for (let chat = 0; chat < 40; chat++) {
    table.remember(key("small", `${chat}`), served, 0);
  }
  for (let chat = 0; chat < 5_000; chat++) {
    table.remember(key("large", `${chat}`), served, chat);
  }
  t.is(table.size(), 100);
  t.is(table.sizeOf(brandId("small")), 40);
  t.deepEqual(table.lookup(key("large", "4900"), 5_000), []);
  t.is(table.lookup(key("large", "4999"), 5_000).length, 1);
});

test("guards against expired chats of idle workspaces that are never evicted", (t) => {
  const table = createChatTable({
    maximumChats: 10,
    retentionMilliseconds: 60_000,
  });
  const served = { backendServer: server("s"), cachedTokens: 10 };
  table.remember(key("idle", "1"), served, 0);
  for (let chat = 0; chat < 30; chat++) {
    table.remember(key("busy", `${chat}`), served, 100_000 + chat);
  }
  t.is(table.sizeOf(brandId("idle")), 0);
});

test("guards against a merge that loses entries or overwrites newer ones", (t) => {
  const from = createChatTable({ maximumChats: 100 });
  const to = createChatTable({ maximumChats: 100 });
  const chat = key("w", "c");
  from.remember(chat, { backendServer: server("s1"), cachedTokens: 5 }, 1_000);
  from.remember(chat, { backendServer: server("s2"), cachedTokens: 6 }, 9_000);
  // The clocks of the two routers are 50 s apart.
  to.remember(chat, { backendServer: server("s1"), cachedTokens: 9 }, 55_000);
  to.merge(from.entries(10_000), 60_000);
  const expected = [
    { backendServer: server("s2"), cachedTokens: 6, ageMilliseconds: 1_000 },
    { backendServer: server("s1"), cachedTokens: 9, ageMilliseconds: 5_000 },
  ];
  t.deepEqual(to.lookup(chat, 60_000), expected);
});
