import test from "ava";
import { setImmediate } from "node:timers/promises";
import { parseChunksInSlices } from "./chunk_parsing.ts";
import { ChunkReader, splitFleet } from "./core/configuration_chunks.ts";
import { sha256 } from "./core/configuration_head.ts";
import { safeParseFleet } from "./core/fleet_file.ts";

function createFleet(workspaces: number) {
  const sections = Array.from(
    { length: workspaces },
    (_unused, index) =>
      `[workspace w-${index}]\nkey_hash = ${`${index}`.padStart(64, "0")}\n`,
  );
  return safeParseFleet(sections.join(""))._unsafeUnwrap();
}

test("guards against parsing a large configuration without yielding to the event loop, and parsed chunks that differ from the fleet", async (t) => {
  const fleet = createFleet(3_000);
  const { digests, texts } = splitFleet(fleet);
  const reader = new ChunkReader();
  let [turns, done] = [0, false];
  const prepared = parseChunksInSlices(reader, [...texts.values()]).then(() =>
    done = true
  );
  while (!done) {
    await setImmediate();
    turns++;
  }
  await prepared;
  t.true(
    turns > 4,
    `the event loop turned ${turns} times, expected more than 4`,
  );
  t.deepEqual(reader.read(digests, new Map())._unsafeUnwrap(), fleet);
});

const MALFORMED_CHUNKS = {
  "bytes that are no JSON": "not JSON",
  "another shape": JSON.stringify({ "workspace w-0": 1 }),
  "a section with a malformed value": JSON.stringify({
    "workspace w-0": { key_hash: "0" },
  }),
};

for (const [title, malformed] of Object.entries(MALFORMED_CHUNKS)) {
  test(`guards against a malformed chunk failing the parsing in slices, or accepted by a read that needs it: ${title}`, async (t) => {
    const { digests, texts } = splitFleet(createFleet(1));
    const reader = new ChunkReader();
    await parseChunksInSlices(reader, [malformed, ...texts.values()]);
    const digest = sha256(malformed);
    const withMalformed = new Map([...texts, [digest, malformed]]);
    const read = reader.read([...digests, digest], withMalformed);
    t.is(read._unsafeUnwrapErr().kind, "invalid_fleet_file");
    t.true(reader.read(digests, texts).isOk());
  });
}

test("guards against a read that accepts a missing chunk", async (t) => {
  const { digests, texts } = splitFleet(createFleet(1));
  const reader = new ChunkReader();
  await parseChunksInSlices(reader, [...texts.values()]);
  const read = reader.read([...digests, "0"], texts);
  t.is(read._unsafeUnwrapErr().kind, "not_found");
  t.true(reader.read(digests, texts).isOk());
});
