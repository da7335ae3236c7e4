import test from "ava";
import { type BackendServerId, brandId } from "./ids.ts";
import type { PromptPart } from "./prompt.ts";
import { createPromptDirectory, partKeyOf } from "./prompt_directory.ts";

const FIRST = brandId<BackendServerId>("s1");
const SECOND = brandId<BackendServerId>("s2");

function partsOf(...ids: string[]): PromptPart[] {
  return ids.map((id) => ({ id, tokens: 10 }));
}

test("guards against announcing known entries, and against announcing parts that no other request shares", (t) => {
  const directory = createPromptDirectory();
  directory.record(partsOf("system", "subject", "own-1"), FIRST);
  directory.record(partsOf("system", "subject", "own-2"), FIRST);
  t.is(directory.nextSequence, 2);
  t.is(directory.serversWith(partKeyOf({ id: "own-1", tokens: 10 })).size, 0);
  directory.record(partsOf("system", "subject", "own-3"), SECOND);
  t.is(directory.announcementsSince(2).length, 2);
  directory.add({ part: 7, server: FIRST });
  t.is(directory.nextSequence, 4);
});

test("guards against returning a server that was removed", (t) => {
  const directory = createPromptDirectory();
  directory.record(partsOf("system", "own"), FIRST);
  directory.record(partsOf("system", "own"), SECOND);
  directory.removeServer(FIRST);
  const key = partKeyOf({ id: "system", tokens: 10 });
  t.deepEqual([...directory.serversWith(key)], [SECOND]);
});

test("guards against unbounded growth of the directory", (t) => {
  const directory = createPromptDirectory();
  for (let index = 0; index < 50_000; index++) {
    directory.record(partsOf(`part-${index}`, "own"), FIRST);
  }
  t.true(directory.entries().length <= 20_000);
  t.true(directory.announcementsSince(0).length <= 4_096);
  const newest = partKeyOf({ id: "part-49999", tokens: 10 });
  t.true(directory.serversWith(newest).has(FIRST));
});
