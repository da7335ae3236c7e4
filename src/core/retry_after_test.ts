import test from "ava";
import { createSeededRandom } from "./random.ts";
import { retryAfterSeconds } from "./retry_after.ts";

test("guards against rejected callers that return together or too late", (t) => {
  const random = createSeededRandom(1);
  const times = Array.from(
    { length: 1_000 },
    () => retryAfterSeconds("full", 3_000, random),
  );
  const [least, most] = [Math.min(...times), Math.max(...times)];
  t.true(most - least > 0.3, `${least} to ${most}`);
  t.true(most <= 1);
  for (let index = 0; index < 100; index++) {
    t.true(retryAfterSeconds("starting", 600, random) <= 0.2);
  }
  t.is(retryAfterSeconds("full", -5, random), 0);
});
