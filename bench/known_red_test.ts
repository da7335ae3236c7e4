import test from "ava";
import { parseKnownFailures } from "./known_red.ts";

test("guards against ignoring a failing bound that the list does not name exactly", (t) => {
  const text = [
    'test: bench skew, bound "load, 6 engines", seed 1',
    "command: npm run bench -- skew",
    'seen: bench skew, bound "load, 13 engines", seed 1',
    'test: bench skew, bound "load, 13 engines"',
  ].join("\n");
  t.deepEqual(parseKnownFailures(text), [{
    bench: "skew",
    bound: "load, 6 engines",
    seed: 1,
  }]);
});
