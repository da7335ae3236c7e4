import test from "ava";
import { Disturbances } from "./disturbances.ts";
import { findGuaranteeViolations, type SoakRecord } from "./guarantees.ts";
import {
  eventText,
  responseText,
  type Run,
  STREAM_EVENTS,
} from "./soak_backends.ts";
import type { Attempt } from "./soak_callers.ts";

const KINDS = {
  safe: "idempotent",
  once: "non_idempotent",
  stream: "streaming",
} as const;

function attemptOf(
  name: keyof typeof KINDS,
  options: Partial<Attempt> = {},
): Attempt {
  const path = `/${name}/1`;
  const text = name === "stream"
    ? Array.from(
      { length: STREAM_EVENTS },
      (_, index) => eventText(path, index + 1),
    ).join("")
    : responseText(path, "b");
  return {
    requestId: "id",
    route: {
      name,
      kind: KINDS[name],
      maximumBackendServers: name === "once" ? 1 : 2,
    },
    method: "POST",
    path,
    body: "b",
    key: "key-0",
    router: "entry-0",
    sentAt: 20_000,
    endedAt: 20_050,
    status: 200,
    isSigned: true,
    answeredId: "id",
    text,
    isComplete: true,
    wasRefused: false,
    ...options,
  };
}

function runOf(attempt: Attempt, options: Partial<Run> = {}): Run {
  return {
    requestId: attempt.requestId,
    server: "s0-1",
    at: attempt.sentAt + 10,
    method: attempt.method,
    path: attempt.path,
    body: attempt.body,
    workspace: "temple",
    hasKey: false,
    ...options,
  };
}

function check(
  attempt: Attempt,
  runs: readonly Run[],
  options: Partial<SoakRecord> = {},
): string[] {
  return findGuaranteeViolations({
    // Enough good requests that one failure is within what is tolerated.
    attempts: [
      attempt,
      ...Array.from(
        { length: 200 },
        (_, index) =>
          attemptOf("safe", {
            requestId: `good-${index}`,
            answeredId: `good-${index}`,
          }),
      ),
    ],
    runs,
    disturbances: new Disturbances(),
    revokedKeys: new Map(),
    drainedServers: new Map(),
    unexpectedEnds: [],
    ...options,
  });
}

test("guards against kept promises being called broken", (t) => {
  for (const name of ["safe", "once", "stream"] as const) {
    const attempt = attemptOf(name);
    t.deepEqual(check(attempt, [runOf(attempt)]), [], name);
  }
});

const broken:
  readonly (readonly [string, Attempt, readonly Partial<Run>[], RegExp])[] = [
    ["a second run", attemptOf("once"), [{}, {}], /ran 2 times/],
    ["too many servers", attemptOf("safe"), [{}, {}, {}], /ran at 3 servers/],
    [
      "a false not run",
      attemptOf("once", { status: 503 }),
      [{}],
      /503 and has run/,
    ],
    [
      "a missing signature",
      attemptOf("safe", { isSigned: false }),
      [{}],
      /no signature/,
    ],
    [
      "another answer",
      attemptOf("safe", { answeredId: "other" }),
      [{}],
      /another id/,
    ],
    [
      "a short answer",
      attemptOf("safe", { text: "ran" }),
      [{}],
      /looks complete/,
    ],
    [
      "a missing event",
      attemptOf("stream", { text: eventText("/stream/1", 2) }),
      [{}],
      /missing, doubled/,
    ],
    [
      "a short stream",
      attemptOf("stream", { text: eventText("/stream/1", 1) }),
      [{}],
      /stream that looks/,
    ],
    ["a changed body", attemptOf("safe"), [{ body: "c" }], /changed/],
    [
      "a forged workspace",
      attemptOf("safe"),
      [{ workspace: "market" }],
      /workspace/,
    ],
    ["a key passed on", attemptOf("safe"), [{ hasKey: true }], /its key/],
    [
      "a request that nobody sent",
      attemptOf("safe"),
      [{ requestId: "x" }],
      /nobody sent/,
    ],
    [
      "a cut answer in calm time",
      attemptOf("once", { isComplete: false, status: undefined }),
      [{}],
      /was cut/,
    ],
    ["a late answer", attemptOf("safe", { endedAt: 24_000 }), [], /in time/],
  ];

for (const [name, attempt, runs, pattern] of broken) {
  test(`guards against the soak missing ${name}`, (t) => {
    const found = check(attempt, runs.map((run) => runOf(attempt, run)));
    t.true(found.some((line) => pattern.test(line)), found.join("\n"));
  });
}

test("guards against the soak missing work for a drained server or a revoked key", (t) => {
  const attempt = attemptOf("safe");
  const told = 17_000;
  const drained = check(attempt, [runOf(attempt)], {
    drainedServers: new Map([["s0-1", told]]),
  });
  const revoked = check(attempt, [runOf(attempt)], {
    revokedKeys: new Map([["key-0", told]]),
  });
  t.regex(drained.join(), /taken away/);
  t.regex(revoked.join(), /taken away/);
});

test("guards against a disturbance being blamed on the routers", (t) => {
  const disturbances = new Disturbances();
  disturbances.begin("entry-0", false, 19_000)(19_500);
  const attempt = attemptOf("once", { isComplete: false, status: undefined });
  t.deepEqual(check(attempt, [runOf(attempt)], { disturbances }), []);
});

test("guards against the soak missing failures while nothing is disturbed", (t) => {
  const attempts = Array.from(
    { length: 50 },
    (_, index) =>
      attemptOf("safe", {
        requestId: `r${index}`,
        status: index < 2 ? 502 : 200,
        answeredId: `r${index}`,
      }),
  );
  const found = findGuaranteeViolations({
    attempts,
    runs: [],
    disturbances: new Disturbances(),
    revokedKeys: new Map(),
    drainedServers: new Map(),
    unexpectedEnds: [],
  });
  t.regex(found.join(), /2 of 50 requests failed/);
});
