import test from "ava";
import fastCheck from "fast-check";
import loadXxhash from "xxhash-wasm";
import { hash32 } from "./hash32.ts";

test("guards against a hash that differs from xxHash, which would move keys between versions", async (t) => {
  const xxhash = await loadXxhash();
  fastCheck.assert(
    fastCheck.property(
      fastCheck.string({ unit: "binary", maxLength: 80 }),
      (value) => hash32(value) === xxhash.h32(value),
    ),
    { seed: 1, numRuns: 2_000 },
  );
  t.is(hash32(""), xxhash.h32(""));
});
