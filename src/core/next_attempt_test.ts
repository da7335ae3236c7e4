import fc from "fast-check";
import test from "ava";
import {
  type AttemptFailure,
  type AttemptState,
  decideNextStep,
} from "./next_attempt.ts";

const FAILURES: readonly AttemptFailure[] = [
  "not_sent",
  "not_run",
  "unknown",
  "server_error",
  "broken",
];

const _states = fc.record({
  failure: fc.constantFrom(...FAILURES),
  isRepeatable: fc.boolean(),
  hasBody: fc.boolean(),
  runs: fc.integer({ min: 0, max: 3 }),
  maximumRuns: fc.integer({ min: 1, max: 3 }),
  attempts: fc.integer({ min: 1, max: 8 }),
  hasBegun: fc.boolean(),
  isResumable: fc.boolean(),
  remainingMilliseconds: fc.integer({ min: -100, max: 5_000 }),
  mayRetry: fc.boolean(),
}).map(({ mayRetry, ...state }): AttemptState => ({
  ...state,
  // Failures after which the server may have run the request count as a run.
  runs: state.failure === "not_sent" || state.failure === "not_run"
    ? state.runs
    : Math.max(1, state.runs),
  takeRetry: () => mayRetry,
}));

test("guards against a request that may have run being repeated or reported as not run", (t) => {
  fc.assert(
    fc.property(_states, (state) => {
      const step = decideNextStep(state);
      const mayHaveRun = state.runs > 0;
      if (mayHaveRun && step === "reject") return false;
      const runsAgain = step === "retry" && state.failure !== "not_sent" &&
        state.failure !== "not_run";
      if (!runsAgain) return true;
      return state.isRepeatable && state.runs < state.maximumRuns;
    }),
    { seed: 11, numRuns: 5_000 },
  );
  t.pass();
});

test("guards against starting a second response after part of the first was sent", (t) => {
  fc.assert(
    fc.property(_states, (state) => {
      if (!state.hasBegun || state.failure === "not_sent") return true;
      if (state.failure === "not_run") return true;
      const step = decideNextStep(state);
      return step === "cut" || (step === "retry" && state.isResumable);
    }),
    { seed: 12, numRuns: 5_000 },
  );
  t.pass();
});

test("guards against retries without retry budget, without a buffered body or without time left", (t) => {
  const state: AttemptState = {
    failure: "unknown",
    isRepeatable: true,
    hasBody: true,
    runs: 1,
    maximumRuns: 2,
    attempts: 1,
    hasBegun: false,
    isResumable: false,
    remainingMilliseconds: 1_000,
    takeRetry: () => true,
  };
  t.is(decideNextStep(state), "retry");
  t.is(decideNextStep({ ...state, takeRetry: () => false }), "fail");
  t.is(decideNextStep({ ...state, hasBody: false }), "fail");
  t.is(decideNextStep({ ...state, remainingMilliseconds: 5 }), "fail");
  t.is(
    decideNextStep({ ...state, failure: "server_error", runs: 2 }),
    "deliver",
  );
});

test("guards against charging the retry budget for an attempt that reached no server", (t) => {
  const step = decideNextStep({
    failure: "not_sent",
    isRepeatable: false,
    hasBody: true,
    runs: 0,
    maximumRuns: 1,
    attempts: 1,
    hasBegun: false,
    isResumable: false,
    remainingMilliseconds: 1_000,
    takeRetry: () => t.fail("the retry budget was charged"),
  });
  t.is(step, "retry");
});
