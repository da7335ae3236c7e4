import test from "ava";
import fc from "fast-check";
import { createResumeToken, safeParseResumeToken } from "./resume_token.ts";

const KEY = "a-fleet-key-for-tests";
const POSITION = {
  workspace: "temple",
  backendServer: "engine-1",
  stream: "s-1",
  offset: 7,
  model: "kami",
};

test("guards against a workspace resuming another workspace's stream", (t) => {
  const token = createResumeToken(POSITION, KEY);
  t.deepEqual(
    safeParseResumeToken(token, "temple", KEY)._unsafeUnwrap(),
    POSITION,
  );
  t.is(
    safeParseResumeToken(token, "market", KEY)._unsafeUnwrapErr().kind,
    "token_invalid",
  );
  t.is(
    safeParseResumeToken(token, "temple", `${KEY}x`)._unsafeUnwrapErr().kind,
    "token_invalid",
  );
});

test("guards against accepting modified or arbitrary tokens", (t) => {
  const token = createResumeToken(POSITION, KEY);
  const damaged = fc.tuple(
    fc.nat(token.length - 1),
    fc.constantFrom("A", "b", "9", ".", "é"),
  );
  fc.assert(fc.property(damaged, ([index, character]) => {
    const forged = token.slice(0, index) + character + token.slice(index + 1);
    return forged === token ||
      safeParseResumeToken(forged, "temple", KEY).isErr();
  }));
  fc.assert(
    fc.property(
      fc.string(),
      (text) => safeParseResumeToken(text, "temple", KEY).isErr(),
    ),
  );
  t.pass();
});
