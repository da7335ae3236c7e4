import test from "ava";
import {
  createError,
  ERROR_RESPONSES,
  errorResponseFor,
  toErrorBody,
} from "./errors.ts";

test("guards against marking an error as retryable when the outcome of the request is unknown", (t) => {
  for (const [kind, entry] of Object.entries(ERROR_RESPONSES)) {
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
  t.is(errorResponseFor(error).status, 429);
});
