import test from "ava";
import { createSeededRandom } from "./random.ts";

const SEEDS = Array.from({ length: 600 }, (_unused, index) => index);

test("guards against adjacent seeds that draw similar first numbers", (t) => {
  const counts = new Array<number>(6).fill(0);
  for (const seed of SEEDS) {
    const drawn = createSeededRandom(seed).integer(6);
    counts[drawn] = (counts[drawn] ?? 0) + 1;
  }
  for (const count of counts) t.true(count > 60 && count < 140, counts.join());
});

test("guards against a seed that does not reproduce its sequence", (t) => {
  const [left, right] = [createSeededRandom(5), createSeededRandom(5)];
  for (let draw = 0; draw < 100; draw++) t.is(left.next(), right.next());
});
