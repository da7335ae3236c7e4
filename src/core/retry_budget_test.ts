import test from "ava";
import { ERROR_RESPONSES, type ErrorKind } from "./errors.ts";
import { createSeededRandom } from "./random.ts";
import { createRetryBudget, isSafeToRetry } from "./retry_budget.ts";

const KINDS = Object.keys(ERROR_RESPONSES) as ErrorKind[];

test("guards against retrying non-idempotent work that may have run", (t) => {
  for (const kind of KINDS) {
    const { runState, retryable } = ERROR_RESPONSES[kind];
    const safe = isSafeToRetry(kind, false);
    t.is(safe, runState === "not_run" && retryable, kind);
  }
  t.true(isSafeToRetry("outcome_unknown", true));
  t.false(isSafeToRetry("malformed_request", true));
});

test("guards against retries multiplying the traffic during an outage", (t) => {
  const random = createSeededRandom(1);
  const budget = createRetryBudget({ ratio: () => 0.1, random });
  let retries = 0;
  for (let now = 0; now < 60_000; now += 10) {
    budget.recordRequest(now);
    if (budget.tryTake("backend_unreachable", true, now)) retries++;
  }
  t.true(retries <= 600, `${retries}`);
  t.true(retries >= 540, `${retries}`);
  t.true(budget.tryTake("overloaded", true, 120_000));
  t.false(budget.tryTake("overloaded", true, 120_001));
});

test("guards against simultaneous retries", (t) => {
  const budget = createRetryBudget({
    ratio: () => 0.1,
    random: createSeededRandom(2),
  });
  const delays = Array.from(
    { length: 1_000 },
    () => budget.delayMilliseconds(3),
  );
  const inFirstHalf = delays.filter((delay) => delay < 100).length;
  t.true(delays.every((delay) => delay >= 0 && delay < 200));
  t.true(inFirstHalf > 400 && inFirstHalf < 600, `${inFirstHalf}`);
});
