import test from "ava";
import { createSeededRandom } from "./random.ts";
import { retryAfterSeconds } from "./retry_after.ts";

test("guards against rejected callers retrying together or too late", (t) => {
  const random = createSeededRandom(1);
  const delays = Array.from(
    { length: 1_000 },
    () => retryAfterSeconds("full", 3_000, random),
  );
  const [shortest, longest] = [Math.min(...delays), Math.max(...delays)];
  t.true(longest - shortest > 0.3, `${shortest} to ${longest}`);
  t.true(longest <= 1);
  for (let index = 0; index < 100; index++) {
    t.true(retryAfterSeconds("starting", 600, random) <= 0.2);
  }
  t.is(retryAfterSeconds("full", -5, random), 0);
});
