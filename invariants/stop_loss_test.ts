import test from "ava";
import {
  judgeRequest,
  type ObservedRequest,
  type ServerRun,
} from "./stop_loss.ts";

const SIGNALLED_AT = 100_000;
const STOP = { signalledAt: SIGNALLED_AT, graceMilliseconds: 8_000 };

function runUntil(endedAt: number): ServerRun {
  return {
    startedAt: SIGNALLED_AT,
    endedAt: SIGNALLED_AT + endedAt,
    hasBrokenOff: false,
  };
}

/** A request that was passed on and cut; times are relative to the signal. */
function cutRequest(
  times: { lastByte: number; cut: number },
  other: Partial<ObservedRequest> = {},
): ObservedRequest {
  return {
    isIdempotent: false,
    timeoutMilliseconds: 15_000,
    headAt: SIGNALLED_AT + times.lastByte - 50,
    lastByteAt: SIGNALLED_AT + times.lastByte,
    endedAt: SIGNALLED_AT + times.cut,
    status: 200,
    isComplete: false,
    runs: [runUntil(times.cut)],
    ...other,
  };
}

test("guards against excusing a cut of a request that was sent late", (t) => {
  const late = cutRequest({ lastByte: 3_001, cut: 7_600 });
  t.is(judgeRequest(late, STOP), "lost");
  const inTime = cutRequest({ lastByte: 3_000, cut: 7_600 });
  t.is(judgeRequest(inTime, STOP), "outlasted_grace");
});

test("guards against excusing a cut before the last sixth of the grace", (t) => {
  const early = cutRequest({ lastByte: 100, cut: 6_600 });
  t.is(judgeRequest(early, STOP), "lost");
  const late = cutRequest({ lastByte: 100, cut: 6_700 });
  t.is(judgeRequest(late, STOP), "outlasted_grace");
});

test("guards against excusing a response that its server had finished before the last sixth", (t) => {
  const request = cutRequest({ lastByte: 100, cut: 7_900 }, {
    runs: [runUntil(6_000)],
  });
  t.is(judgeRequest(request, STOP), "lost");
});

test("guards against counting what the server, the timeout or the caller ended", (t) => {
  const brokenOff = { ...runUntil(2_000), hasBrokenOff: true };
  const times = { lastByte: 100, cut: 2_000 };
  t.is(
    judgeRequest(cutRequest(times, { runs: [brokenOff] }), STOP),
    "server_broke_off",
  );
  t.is(
    judgeRequest(cutRequest(times, { timeoutMilliseconds: 1_900 }), STOP),
    "timed_out",
  );
  t.is(
    judgeRequest(cutRequest(times, { lastByteAt: undefined }), STOP),
    "not_sent_in_full",
  );
});

test("guards against excusing a request that waited and was never passed on", (t) => {
  const waited = cutRequest({ lastByte: 1_000, cut: 1_201 }, { runs: [] });
  t.is(judgeRequest(waited, STOP), "lost");
  const crossed = cutRequest({ lastByte: 1_000, cut: 1_200 }, { runs: [] });
  t.is(judgeRequest(crossed, STOP), "crossed_close");
});

test("guards against counting a cut outside the stop", (t) => {
  const before = cutRequest({ lastByte: -500, cut: -1 });
  t.is(judgeRequest(before, STOP), "outside_stop");
  const after = cutRequest({ lastByte: 4_000, cut: 9_001 });
  t.is(judgeRequest(after, STOP), "outside_stop");
  const killed = cutRequest({ lastByte: 4_000, cut: 9_000 });
  t.is(judgeRequest(killed, STOP), "lost");
});

test("guards against accepting a promise that a request has not run although it has", (t) => {
  const times = { lastByte: 1_000, cut: 1_500 };
  const refused = { status: 503, isComplete: true };
  t.is(judgeRequest(cutRequest(times, refused), STOP), "run_despite_promise");
  t.is(
    judgeRequest(cutRequest(times, { ...refused, runs: [] }), STOP),
    "answered",
  );
  t.is(
    judgeRequest(cutRequest(times, { ...refused, isIdempotent: true }), STOP),
    "answered",
  );
  for (const status of [200, 502, 504]) {
    const answer = cutRequest(times, { status, isComplete: true });
    t.is(judgeRequest(answer, STOP), "answered");
  }
});
