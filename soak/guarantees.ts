/** The promises of the gateways, checked against what callers and servers saw. */
import type { Disturbances } from "./disturbances.ts";
import {
  eventText,
  responseText,
  type Run,
  STREAM_EVENTS,
} from "./soak_backends.ts";
import {
  type Attempt,
  DEADLINE_MILLISECONDS,
  guaranteesNotRun,
} from "./soak_callers.ts";

/** A disturbance counts until this long after its end. */
const AFTERMATH_MILLISECONDS = 3_000;
/** A change of keys or servers is in force after this time. */
const APPLY_MILLISECONDS = 2_000;
/** An answer comes this much after the deadline at the latest. */
const LATE_MILLISECONDS = 500;
/** Share of requests that may fail while nothing is disturbed. */
const TOLERATED_FAILURES = 0.01;

/** What a run of the soak brought. */
export interface SoakRecord {
  readonly attempts: readonly Attempt[];
  readonly runs: readonly Run[];
  readonly disturbances: Disturbances;
  /** When each key was taken away. */
  readonly revokedKeys: ReadonlyMap<string, number>;
  /** When each life of a server was told to drain. */
  readonly drainedServers: ReadonlyMap<string, number>;
  readonly unexpectedEnds: readonly string[];
}

type _RunsById = ReadonlyMap<string, readonly Run[]>;

function _isSuccess({ status, isComplete }: Attempt): boolean {
  return status !== undefined && status < 300 && isComplete;
}

function _checkAnswer(attempt: Attempt): string | undefined {
  const { status, path, body, text, requestId } = attempt;
  if (status === undefined || status >= 300) return undefined;
  if (!attempt.isSigned) return "a success has no signature";
  if (attempt.answeredId !== requestId) return "an answer has another id";
  if (attempt.route.kind !== "streaming") {
    const isWhole = text === responseText(path, body);
    return attempt.isComplete && !isWhole
      ? "an answer that looks complete is not"
      : undefined;
  }
  const whole = Array.from(
    { length: STREAM_EVENTS },
    (_, index) => eventText(path, index + 1),
  ).join("");
  if (!whole.startsWith(text)) return "events are missing, doubled or mixed";
  return attempt.isComplete && text !== whole
    ? "a stream that looks complete is not"
    : undefined;
}

function _checkRuns(
  attempt: Attempt,
  runs: readonly Run[],
): string | undefined {
  if (attempt.route.kind === "non_idempotent" && runs.length > 1) {
    return `ran ${runs.length} times`;
  }
  if (runs.length > attempt.route.maximumBackendServers) {
    return `ran at ${runs.length} servers`;
  }
  if (guaranteesNotRun(attempt.status) && runs.length > 0) {
    return `was answered ${attempt.status} and has run`;
  }
  for (const run of runs) {
    const isSame = run.method === attempt.method && run.path === attempt.path &&
      run.body === attempt.body;
    if (!isSame) return "reached a server changed";
    if (run.workspace !== "temple") return "has the wrong workspace";
    if (run.hasKey) return "was passed on with its key";
  }
  return undefined;
}

function _checkPlannedWork(
  attempt: Attempt,
  runs: readonly Run[],
  { disturbances }: SoakRecord,
): string | undefined {
  const from = attempt.sentAt - AFTERMATH_MILLISECONDS;
  const scopes = [attempt.router, "backends", "store"];
  if (!disturbances.isCalm(scopes, from, attempt.endedAt)) return undefined;
  const isCut = !attempt.isComplete && runs.length > 0;
  if (isCut) return "was cut although nothing unplanned happened";
  const late = attempt.endedAt - attempt.sentAt - DEADLINE_MILLISECONDS;
  return late > LATE_MILLISECONDS ? "got no answer in time" : undefined;
}

function _checkNews(
  attempt: Attempt,
  runs: readonly Run[],
  record: SoakRecord,
): string | undefined {
  const revokedAt = record.revokedKeys.get(attempt.key);
  const { disturbances } = record;
  for (const run of runs) {
    const drainedAt = record.drainedServers.get(run.server);
    for (const toldAt of [revokedAt, drainedAt]) {
      const since = toldAt === undefined ? Infinity : toldAt;
      if (attempt.sentAt < since + APPLY_MILLISECONDS) continue;
      const scopes = [attempt.router, "store"];
      const from = since - AFTERMATH_MILLISECONDS;
      if (!disturbances.isCalm(scopes, from, run.at)) continue;
      return `ran at ${run.server} ${
        Math.round(run.at - since)
      } ms after its key or server was taken away`;
    }
  }
  return undefined;
}

function _checkCalmTime({ attempts, disturbances }: SoakRecord): string[] {
  const calm = attempts.filter(({ router, sentAt, endedAt }) =>
    disturbances.isUndisturbed(
      [router, "backends", "store", "fleet"],
      sentAt - AFTERMATH_MILLISECONDS,
      endedAt,
    )
  );
  const failed = calm.filter((attempt) => !_isSuccess(attempt));
  if (failed.length <= calm.length * TOLERATED_FAILURES) return [];
  return [
    `${failed.length} of ${calm.length} requests failed while nothing was disturbed, first ${
      failed[0]?.requestId ?? ""
    }`,
  ];
}

function _runsById(runs: readonly Run[]): _RunsById {
  const byId = new Map<string, Run[]>();
  for (const run of runs) {
    const list = byId.get(run.requestId) ?? [];
    byId.set(run.requestId, list);
    list.push(run);
  }
  return byId;
}

/** Returns a line for each promise that was broken. */
export function findGuaranteeViolations(record: SoakRecord): string[] {
  const byId = _runsById(record.runs);
  const known = new Set(record.attempts.map(({ requestId }) => requestId));
  const broken = [...record.unexpectedEnds];
  for (const id of byId.keys()) {
    if (!known.has(id)) broken.push(`${id}: nobody sent it`);
  }
  for (const attempt of record.attempts) {
    const runs = byId.get(attempt.requestId) ?? [];
    const reasons = [
      _checkAnswer(attempt),
      _checkRuns(attempt, runs),
      _checkPlannedWork(attempt, runs, record),
      _checkNews(attempt, runs, record),
    ];
    for (const reason of reasons) {
      if (!reason) continue;
      const at = Math.round(attempt.sentAt);
      broken.push(
        `${attempt.requestId} at ${at} ms by ${attempt.router}: ${reason}`,
      );
    }
  }
  return [...broken, ..._checkCalmTime(record)];
}
