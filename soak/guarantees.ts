/** Checks the guarantees of the gateways against what callers and servers saw. */
import { guaranteesNotRun } from "../stand_ins/request_guarantees.ts";
import { findColdServerViolations } from "./cold_server_guarantees.ts";
import { findEvacuationViolations } from "./evacuation_guarantees.ts";
import { findMemoryViolations } from "./memory_guarantees.ts";
import { findNoticeViolations } from "./notice_guarantees.ts";
import { findRateLimitViolations } from "./rate_limit_guarantees.ts";
import {
  eventText,
  responseText,
  type Run,
  STREAM_EVENTS,
} from "./soak_backends.ts";
import type { Attempt } from "./soak_callers.ts";
import { groupRunsById, type SoakRecord } from "./soak_record.ts";
import { deadlineOf, mustRunOnce, timeoutOf } from "./soak_routes.ts";
import { type Stall, stillnessWithin } from "./stalls.ts";
import { findStopViolations, isExcusedByStop } from "./stop_guarantees.ts";

/** Time for which a disturbance still excuses failures after it has ended. */
const RECOVERY_MILLISECONDS = 3_000;
/** Time within which every router applies a change of keys or servers. */
const PROPAGATION_MILLISECONDS = 2_000;
/** Time by which a response may miss the deadline of its request. */
const MAXIMUM_LATENESS_MILLISECONDS = 500;
/** Ratio of requests that may fail while no disturbance is recorded. */
const TOLERATED_FAILURE_RATIO = 0.01;

/** Requests without an answer, or denied ones, that may occur in a run. */
const TOLERATED_REQUESTS = 5;
/** Ratio of requests that may be denied in addition. */
const TOLERATED_DENIAL_RATIO = 1 / 500;
/** Ratio of the requests not answered by their timeout that may stay so. */
const TOLERATED_SILENCE_RATIO = 1 / 2;

function _isSuccess({ status, isComplete }: Attempt): boolean {
  return status !== undefined && status < 300 && isComplete;
}

function _checkResponse(attempt: Attempt): string | undefined {
  const { status, path, body, text, requestId } = attempt;
  if (status === undefined || status >= 300) return undefined;
  if (!attempt.isSigned) return "a successful response has no signature";
  if (attempt.responseId !== requestId) return "the response has another id";
  if (attempt.route.kind !== "streaming") {
    const isExpected = text === responseText(path, body);
    return attempt.isComplete && !isExpected
      ? "a response that looks complete is truncated or altered"
      : undefined;
  }
  const expected = Array.from(
    { length: STREAM_EVENTS },
    (_, index) => eventText(path, index + 1),
  ).join("");
  if (!expected.startsWith(text)) return "has missing, doubled or wrong events";
  return attempt.isComplete && text !== expected
    ? "a stream that looks complete lacks events"
    : undefined;
}

function _checkRuns(
  attempt: Attempt,
  runs: readonly Run[],
): string | undefined {
  if (mustRunOnce(attempt.route) && runs.length > 1) {
    return `ran ${runs.length} times, but must run at most once`;
  }
  if (runs.length > attempt.route.maximumBackendServers) {
    return `ran at ${runs.length} servers, more than its route allows`;
  }
  if (guaranteesNotRun(attempt.status) && runs.length > 0) {
    return `got the not-run status ${attempt.status} and has run`;
  }
  for (const run of runs) {
    const isUnchanged = run.method === attempt.method &&
      run.path === attempt.path &&
      run.body === attempt.body;
    if (!isUnchanged) return "has a changed method, path or body at a server";
    if (run.workspace !== "temple") return "ran in the wrong workspace";
    if (run.hasKey) return "was forwarded to a server with its key";
  }
  return undefined;
}

/**
 * Whether the caller gave up at its deadline before its router had had the time of the
 * route, since caller, servers and proxies stood still meanwhile.
 */
function _isGivenUpEarly(
  { route, sentAt, endedAt }: Attempt,
  stalls: readonly Stall[],
): boolean {
  const milliseconds = endedAt - sentAt;
  const usable = milliseconds - stillnessWithin(stalls, sentAt, endedAt);
  return milliseconds >= deadlineOf(route) && usable < timeoutOf(route);
}

function _checkContinuity(
  attempt: Attempt,
  runs: readonly Run[],
  { disturbances, stalls, stops }: SoakRecord,
): string | undefined {
  const from = attempt.sentAt - RECOVERY_MILLISECONDS;
  const scopes = [attempt.router, "backends", "store"];
  if (!disturbances.isStable(scopes, from, attempt.endedAt)) return undefined;
  const { route, sentAt, endedAt } = attempt;
  const milliseconds = endedAt - sentAt;
  const stillness = stillnessWithin(stalls, sentAt, endedAt);
  const isCut = !attempt.isComplete && runs.length > 0 &&
    !isExcusedByStop(attempt, runs, stops) &&
    !_isGivenUpEarly(attempt, stalls);
  const times = `after ${Math.round(milliseconds)} ms, in ${
    Math.round(stillness)
  } ms of which the soak stood still`;
  if (isCut) return `was cut off without an unplanned disturbance ${times}`;
  const lateness = milliseconds - stillness - deadlineOf(route);
  return lateness > MAXIMUM_LATENESS_MILLISECONDS
    ? `got no response in time, ${times}`
    : undefined;
}

function _checkRevocations(
  attempt: Attempt,
  runs: readonly Run[],
  record: SoakRecord,
): string | undefined {
  const revokedAt = record.revokedKeys.get(attempt.key);
  const { disturbances } = record;
  for (const run of runs) {
    const drainedAt = record.drainedServers.get(run.server);
    for (const changedAt of [revokedAt, drainedAt]) {
      const since = changedAt === undefined ? Infinity : changedAt;
      if (attempt.sentAt < since + PROPAGATION_MILLISECONDS) continue;
      const scopes = [attempt.router, "store"];
      const from = since - RECOVERY_MILLISECONDS;
      if (!disturbances.isStable(scopes, from, run.at)) continue;
      return `ran at ${run.server} ${
        Math.round(run.at - since)
      } ms after its key or server was taken away`;
    }
  }
  return undefined;
}

/**
 * Returns the attempts during which, and shortly before, nothing was disturbed. Those
 * of the cold service are left out: its servers may have no room for them.
 */
export function listUndisturbed(
  { attempts, disturbances }: Pick<SoakRecord, "attempts" | "disturbances">,
): readonly Attempt[] {
  return attempts.filter(({ route, router, sentAt, endedAt }) =>
    route.service === undefined &&
    disturbances.isUndisturbed(
      [router, "backends", "store", "fleet"],
      sentAt - RECOVERY_MILLISECONDS,
      endedAt,
    )
  );
}

function _checkUndisturbedTime(record: SoakRecord): string[] {
  const undisturbed = listUndisturbed(record);
  const failed = undisturbed.filter((attempt) => !_isSuccess(attempt));
  if (failed.length <= undisturbed.length * TOLERATED_FAILURE_RATIO) return [];
  return [
    `${failed.length} of ${undisturbed.length} requests failed while nothing was disturbed; the first is ${
      failed[0]?.requestId ?? ""
    }`,
  ];
}

/** Lists the attempts at routers and times without unplanned disturbances. */
function _listStable(
  { attempts, disturbances }: SoakRecord,
  scopes: readonly string[],
): Attempt[] {
  return attempts.filter(({ router, sentAt, endedAt }) =>
    disturbances.isStable(
      [router, ...scopes],
      sentAt - RECOVERY_MILLISECONDS,
      endedAt,
    )
  );
}

/** Checks that proper requests are not rejected as improper or not allowed. */
function _checkDenials(record: SoakRecord): string[] {
  const denied = _listStable(record, ["store"]).filter((attempt) =>
    attempt.status !== undefined && attempt.status >= 300 &&
    attempt.status < 500 && !attempt.isSigned &&
    !guaranteesNotRun(attempt.status) &&
    attempt.endedAt < (record.revokedKeys.get(attempt.key) ?? Infinity)
  );
  const tolerated = TOLERATED_REQUESTS +
    record.attempts.length * TOLERATED_DENIAL_RATIO;
  if (denied.length <= tolerated) return [];
  return [
    `${denied.length} of ${record.attempts.length} proper requests were denied; the first is ${
      denied[0]?.requestId ?? ""
    } with ${denied[0]?.status}`,
  ];
}

/** Checks that requests whose time has run out are answered all the same. */
function _checkTimeouts(record: SoakRecord): string[] {
  const late = _listStable(record, ["backends", "store"]).filter((
    { route, sentAt, bodySentAt, endedAt, hasReachedRouter },
  ) =>
    hasReachedRouter && bodySentAt < endedAt &&
    endedAt - sentAt >= timeoutOf(route)
  );
  const silent = late.filter(({ status }) => status === undefined);
  const tolerated = Math.max(
    TOLERATED_REQUESTS,
    late.length * TOLERATED_SILENCE_RATIO,
  );
  if (silent.length <= tolerated) return [];
  return [
    `${silent.length} of ${late.length} requests whose time had run out got no answer; the first is ${
      silent[0]?.requestId ?? ""
    }`,
  ];
}

/** Returns a line for each violation of a guarantee. */
export function findGuaranteeViolations(record: SoakRecord): string[] {
  const byId = groupRunsById(record.runs);
  const sentIds = new Set(record.attempts.map(({ requestId }) => requestId));
  const violations = [...record.unexpectedExits];
  for (const id of byId.keys()) {
    if (!sentIds.has(id)) violations.push(`${id}: ran although nobody sent it`);
  }
  for (const attempt of record.attempts) {
    const runs = byId.get(attempt.requestId) ?? [];
    const reasons = [
      _checkResponse(attempt),
      _checkRuns(attempt, runs),
      _checkContinuity(attempt, runs, record),
      _checkRevocations(attempt, runs, record),
    ];
    for (const reason of reasons) {
      if (!reason) continue;
      const at = Math.round(attempt.sentAt);
      violations.push(
        `${attempt.requestId} at ${at} ms by ${attempt.router}: ${reason}`,
      );
    }
  }
  return [
    ...violations,
    ...findColdServerViolations(record),
    ...findEvacuationViolations(record),
    ...findMemoryViolations(record),
    ...findNoticeViolations(record),
    ...findRateLimitViolations(record),
    ...findStopViolations(record),
    ..._checkUndisturbedTime(record),
    ..._checkDenials(record),
    ..._checkTimeouts(record),
  ];
}
