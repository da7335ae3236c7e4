import test from "ava";
import { setImmediate } from "node:timers/promises";
import { prepareChunks } from "./chunk_preparation.ts";
import { ChunkReader, splitFleet } from "./core/configuration_chunks.ts";
import { safeParseFleet } from "./core/fleet_file.ts";

function createFleet(workspaces: number) {
  const sections = Array.from(
    { length: workspaces },
    (_unused, index) =>
      `[workspace w-${index}]\nkey_hash = ${`${index}`.padStart(64, "0")}\n`,
  );
  return safeParseFleet(sections.join(""))._unsafeUnwrap();
}

test("guards against blocking the event loop on a first join, and against prepared chunks giving a different fleet", async (t) => {
  const fleet = createFleet(3_000);
  const { digests, texts } = splitFleet(fleet);
  const reader = new ChunkReader();
  let [turns, done] = [0, false];
  const prepared = prepareChunks(reader, [...texts.values()]).then(() =>
    done = true
  );
  while (!done) {
    await setImmediate();
    turns++;
  }
  await prepared;
  t.true(turns > 4, `the event loop turned ${turns} times`);
  t.deepEqual(reader.read(digests, new Map())._unsafeUnwrap(), fleet);
});

test("guards against accepting a malformed chunk when it is prepared", async (t) => {
  const { digests, texts } = splitFleet(createFleet(1));
  const reader = new ChunkReader();
  await prepareChunks(reader, ["not JSON", ...texts.values()]);
  t.true(reader.read([...digests, "0"], texts).isErr());
  t.true(reader.read(digests, texts).isOk());
});
