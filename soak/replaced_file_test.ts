import { readFileSync } from "node:fs";
import { mkdtemp, readdir, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setImmediate as nextTurn } from "node:timers/promises";
import test from "ava";
import { replaceFile } from "./replaced_file.ts";

const REPLACEMENTS = 100;

test("guards against a router that starts during a change of its settings reading an empty file", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "sapphirecart-"));
  t.teardown(() => rm(folder, { recursive: true }));
  const path = join(folder, "settings.json");
  await replaceFile(path, "first");
  let isReplacing = true;
  async function replaceOften(): Promise<void> {
    for (let index = 0; index < REPLACEMENTS; index++) {
      await replaceFile(path, "later");
    }
    isReplacing = false;
  }
  const replaced = replaceOften();
  const texts = new Set<string>();
  while (isReplacing) {
    texts.add(readFileSync(path, "utf8"));
    await nextTurn();
  }
  await replaced;
  t.deepEqual([...texts].sort(), ["first", "later"]);
  t.deepEqual(await readdir(folder), ["settings.json"]);
});
