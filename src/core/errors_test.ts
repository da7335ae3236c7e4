import test from "ava";
import {
  answerFor,
  createError,
  ERROR_ANSWERS,
  toErrorBody,
} from "./errors.ts";

test("guards against telling a caller to retry work whose outcome is unknown", (t) => {
  for (const [kind, entry] of Object.entries(ERROR_ANSWERS)) {
    if (entry.runState === "unknown") {
      t.false(entry.retryable, kind);
    }
  }
});

test("guards against an error body that omits the path, the code or the run state", (t) => {
  const error = createError("rate_limited", "limit is 5 a second", [
    "workspaces",
    "temple",
  ]);
  const body = toErrorBody(error).error;
  t.is(body.code, "rate_limited");
  t.deepEqual(body.path, ["workspaces", "temple"]);
  t.is(body.run_state, "not_run");
  t.is(answerFor(error).status, 429);
});
