import test from "ava";
import { setImmediate } from "node:timers/promises";
import { prepareChunks } from "./chunk_preparation.ts";
import { ChunkReader, splitFleet } from "./core/configuration_chunks.ts";
import { safeParseFleet } from "./core/fleet_file.ts";

function fleetOf(workspaces: number) {
  const sections = Array.from(
    { length: workspaces },
    (_unused, index) =>
      `[workspace w-${index}]\nkey_hash = ${`${index}`.padStart(64, "0")}\n`,
  );
  return safeParseFleet(sections.join(""))._unsafeUnwrap();
}

test("guards against a first join that blocks timers, and against prepared chunks that are read differently", async (t) => {
  const fleet = fleetOf(3_000);
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

test("guards against a malformed chunk that is taken over when it is prepared", async (t) => {
  const { digests, texts } = splitFleet(fleetOf(1));
  const reader = new ChunkReader();
  await prepareChunks(reader, ["not JSON", ...texts.values()]);
  t.true(reader.read([...digests, "0"], texts).isErr());
  t.true(reader.read(digests, texts).isOk());
});
