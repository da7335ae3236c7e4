/** Judges and describes what planned stops did to the requests of one round. */
import {
  judgeRequest,
  type ObservedRequest,
  type StopVerdict,
} from "./stop_loss.ts";
import type { StopAttempt } from "./stop_callers.ts";
import type { RouterStop } from "./stop_routers.ts";
import type { RecordedRun } from "./stop_servers.ts";

/** Verdicts that break the guarantee. */
const BREAKING_VERDICTS: readonly StopVerdict[] = [
  "lost",
  "run_despite_promise",
];

/** What a round covered. */
export interface StopRound {
  readonly attempts: readonly StopAttempt[];
  readonly stops: readonly RouterStop[];
  /** Stops of the round before, whose last responses may end in this one. */
  readonly previousStops: readonly RouterStop[];
  /** Returns what a running router has written. */
  readonly readLines: (router: string) => readonly string[];
  readonly runs: ReadonlyMap<string, readonly RecordedRun[]>;
  readonly graceMilliseconds: number;
}

/** Counts of a round, or the sums of several. */
export interface StopFigures {
  requests: number;
  /** Requests that a stopping router took after its signal. */
  takenAfterSignal: number;
  lost: number;
  runDespitePromise: number;
  /** Incomplete responses of a stopped router that are not counted as lost. */
  notCounted: number;
  /** Connections of a stopping router that ended without any response. */
  withoutResponse: number;
  /** Requests that a stopping router answered with 503. */
  rejected: number;
  /** Retries of rejected requests: all, those that came to a stopping router, served. */
  retries: number;
  retriesAtStopping: number;
  retriesServed: number;
  /** Most responses with 503 in a row that one caller got. */
  rejectionsInARow: number;
  /** Responses that a router cut that was not stopped, before their timeout. */
  incompleteElsewhere: number;
  ranTwice: number;
}

/** A described round. */
export interface StopReport {
  readonly figures: StopFigures;
  /** Lines about lost and incomplete requests and about the stops. */
  readonly lines: readonly string[];
  readonly faults: readonly string[];
}

function _observe(
  attempt: StopAttempt,
  runs: readonly RecordedRun[],
): ObservedRequest {
  const { timeoutMilliseconds, isIdempotent } = attempt.planned.route;
  return { ...attempt, timeoutMilliseconds, isIdempotent, runs };
}

function _lastLogLine(lines: readonly string[], requestId: string): string {
  const text = `"request":"${requestId}"`;
  return lines.findLast((line) => line.includes(text)) ?? "no log line";
}

/** Describes a request with its times relative to a moment, such as the signal. */
function _describe(
  attempt: StopAttempt,
  runs: readonly RecordedRun[],
  { since, lines }: {
    readonly since: number;
    readonly lines: readonly string[];
  },
): string {
  function relative(time: number | undefined): string {
    return time === undefined ? "-" : String(time - since);
  }

  const { planned, requestId, router, status, error } = attempt;
  const run = runs.at(-1);
  return [
    `${requestId} ${planned.route.name} at ${router}`,
    `head ${relative(attempt.headAt)}`,
    `last byte ${relative(attempt.lastByteAt)}`,
    `passed on ${relative(run?.startedAt)}`,
    `server until ${relative(run?.endedAt)}`,
    `cut ${relative(attempt.endedAt)}`,
    `work ${planned.workMilliseconds}`,
    `status ${status ?? "-"} bytes ${attempt.responseBytes}`,
    `error ${error ?? "-"}`,
    _lastLogLine(lines, requestId),
  ].join(", ");
}

/** Returns the time from the signal until the router logged it. */
function _signalDelay({ lines, signalledAt }: RouterStop): number | undefined {
  const line = lines.find((text) => text.includes('"process.stopping"'));
  if (line === undefined) return undefined;
  return (JSON.parse(line) as { time: number }).time - signalledAt;
}

function _describeStop(stop: RouterStop): string {
  const stopped = stop.lines.find((line) => line.includes('"process.stopped"'));
  return [
    `stop of ${stop.router}`,
    `signal handled after ${_signalDelay(stop) ?? "-"} ms`,
    `ended after ${stop.endedAt - stop.signalledAt} ms`,
    `exit code ${stop.exitCode ?? "none, killed"}`,
    stopped ?? "no process.stopped",
  ].join(", ");
}

function _countRejectionsInARow(attempts: readonly StopAttempt[]): number {
  const current = new Map<number, number>();
  let most = 0;
  for (const { caller, status } of attempts) {
    const count = status === 503 ? (current.get(caller) ?? 0) + 1 : 0;
    current.set(caller, count);
    most = Math.max(most, count);
  }
  return most;
}

function _countRanTwice({ attempts, runs }: StopRound): number {
  return attempts.filter(({ requestId, planned }) =>
    !planned.route.isIdempotent && (runs.get(requestId)?.length ?? 0) > 1
  ).length;
}

function _emptyFigures(): StopFigures {
  return {
    requests: 0,
    takenAfterSignal: 0,
    lost: 0,
    runDespitePromise: 0,
    notCounted: 0,
    withoutResponse: 0,
    rejected: 0,
    retries: 0,
    retriesAtStopping: 0,
    retriesServed: 0,
    rejectionsInARow: 0,
    incompleteElsewhere: 0,
    ranTwice: 0,
  };
}

/** Returns the stop of the router that took an attempt, if it was stopping. */
function _findStop(
  attempt: StopAttempt,
  { stops, previousStops }: StopRound,
): RouterStop | undefined {
  return [...stops, ...previousStops].find(({ router, signalledAt, endedAt }) =>
    router === attempt.router && attempt.headAt <= endedAt &&
    attempt.endedAt >= signalledAt
  );
}

/** Counts the requests that a stopping router rejected, and their retries. */
function _countRejections(round: StopRound, figures: StopFigures): void {
  const rejectedCallers = new Set<number>();
  for (const attempt of round.attempts) {
    const { caller, status, isComplete } = attempt;
    const isAtStopping = _findStop(attempt, round) !== undefined;
    if (attempt.isRetry && rejectedCallers.has(caller)) {
      figures.retries++;
      if (isAtStopping) figures.retriesAtStopping++;
      if (isComplete && status === 200) figures.retriesServed++;
    }
    rejectedCallers.delete(caller);
    if (!isAtStopping || status !== 503 || !isComplete) continue;
    figures.rejected++;
    if (!attempt.isRetry) rejectedCallers.add(caller);
  }
}

/** Whether a router that was not stopped cut a response without a reason. */
function _isCutElsewhere(
  { planned, headAt, endedAt, status, isComplete }: StopAttempt,
  runs: readonly RecordedRun[],
): boolean {
  if (isComplete || status === undefined) return false;
  if (endedAt - headAt >= planned.route.timeoutMilliseconds) return false;
  return !runs.some((run) => run.hasBrokenOff);
}

/** Judges one attempt and adds it to the report. */
function _addAttempt(
  attempt: StopAttempt,
  round: StopRound,
  report: { figures: StopFigures; lines: string[]; faults: string[] },
): void {
  const { figures, lines, faults } = report;
  const stop = _findStop(attempt, round);
  const runs = round.runs.get(attempt.requestId) ?? [];
  if (!stop) {
    if (!_isCutElsewhere(attempt, runs)) return;
    figures.incompleteElsewhere++;
    const source = {
      since: attempt.headAt,
      lines: round.readLines(attempt.router),
    };
    lines.push(`elsewhere: ${_describe(attempt, runs, source)}`);
    return;
  }
  if (attempt.headAt >= stop.signalledAt && attempt.error !== "ECONNREFUSED") {
    figures.takenAfterSignal++;
  }
  const { signalledAt } = stop;
  const { graceMilliseconds } = round;
  const verdict = judgeRequest(_observe(attempt, runs), {
    signalledAt,
    graceMilliseconds,
  });
  if (verdict === "answered" || verdict === "outside_stop") return;
  if (attempt.error === "ECONNREFUSED") return;
  const source = { since: signalledAt, lines: stop.lines };
  const line = `${verdict}: ${_describe(attempt, runs, source)}`;
  lines.push(line);
  if (verdict === "lost") figures.lost++;
  else if (verdict === "run_despite_promise") figures.runDespitePromise++;
  else figures.notCounted++;
  if (attempt.status === undefined) figures.withoutResponse++;
  if (BREAKING_VERDICTS.includes(verdict)) faults.push(line);
}

/** Judges the requests of a round. */
export function reportRound(round: StopRound): StopReport {
  const figures = _emptyFigures();
  const report = { figures, lines: [] as string[], faults: [] as string[] };
  figures.requests = round.attempts.length;
  figures.rejectionsInARow = _countRejectionsInARow(round.attempts);
  figures.ranTwice = _countRanTwice(round);
  _countRejections(round, figures);
  for (const attempt of round.attempts) _addAttempt(attempt, round, report);
  report.lines.push(...round.stops.map(_describeStop));
  if (figures.ranTwice > 0) {
    report.faults.push(`${figures.ranTwice} requests ran twice`);
  }
  return report;
}

/** Adds the figures of rounds; the most in a row is the largest of them. */
export function sumFigures(rounds: readonly StopFigures[]): StopFigures {
  const sum = _emptyFigures();
  for (const figures of rounds) {
    for (const name of Object.keys(sum) as (keyof StopFigures)[]) {
      sum[name] = name === "rejectionsInARow"
        ? Math.max(sum[name], figures[name])
        : sum[name] + figures[name];
    }
  }
  return sum;
}
