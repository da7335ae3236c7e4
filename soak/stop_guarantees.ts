/** Checks that a planned stop loses no request that its router had taken. */
import { GRACE_MILLISECONDS } from "../platform/soak_fleet.ts";
import { hasOutlastedGrace } from "../stand_ins/request_guarantees.ts";
import type { Run } from "./soak_backends.ts";
import type { Attempt } from "./soak_callers.ts";
import { groupRunsById, type SoakRecord } from "./soak_record.ts";
import { deadlineOf, mustRunOnce, timeoutOf } from "./soak_routes.ts";

/** The process is killed at the end of the grace time, which takes a little. */
const KILL_MILLISECONDS = 1_000;
/** A request that ends this soon after its last byte may not have been read. */
const UNREAD_MILLISECONDS = 200;
/** An unplanned disturbance excuses what follows it by at most this much. */
const CONTACT_MILLISECONDS = 3_000;

/** A stop signal that a router got. */
export interface StopSignal {
  readonly router: string;
  readonly at: number;
}

/** What the checks of planned stops need of a soak run. */
export type StopRecord = Pick<
  SoakRecord,
  "attempts" | "runs" | "disturbances" | "stops"
>;

/** Returns the stops that the end of an attempt may be due to. */
function _listStops(
  { router, sentAt, endedAt }: Attempt,
  stops: readonly StopSignal[],
): StopSignal[] {
  return stops.filter((stop) => {
    const until = stop.at + GRACE_MILLISECONDS + KILL_MILLISECONDS;
    const isDuring = endedAt >= stop.at && sentAt <= until;
    return stop.router === router && isDuring;
  });
}

/** Whether an attempt may end without an answer because its router stopped. */
export function isExcusedByStop(
  attempt: Attempt,
  runs: readonly Run[],
  stops: readonly StopSignal[],
): boolean {
  const work = runs.map(({ at, endedAt }) => ({ startedAt: at, endedAt }));
  return _listStops(attempt, stops).some(({ at }) =>
    hasOutlastedGrace(attempt.bodySentAt, work, {
      signalledAt: at,
      graceMilliseconds: GRACE_MILLISECONDS,
    })
  );
}

function _isOutOfTime({ route, sentAt, endedAt }: Attempt): boolean {
  const limit = Math.min(deadlineOf(route), timeoutOf(route));
  return endedAt - sentAt >= limit;
}

function _checkCut(
  attempt: Attempt,
  runs: readonly Run[],
  { disturbances, stops }: StopRecord,
): string | undefined {
  const { bodySentAt, endedAt, isComplete, router, sentAt } = attempt;
  const isTaken = runs.length > 0 ||
    (attempt.hasReachedRouter && endedAt > bodySentAt + UNREAD_MILLISECONDS);
  if (isComplete || bodySentAt > endedAt || !isTaken) return undefined;
  const from = sentAt - CONTACT_MILLISECONDS;
  if (!disturbances.isStable([router, "backends"], from, endedAt)) {
    return undefined;
  }
  if (runs.some(({ wasBrokenOff }) => wasBrokenOff)) return undefined;
  if (_isOutOfTime(attempt)) return undefined;
  return isExcusedByStop(attempt, runs, stops)
    ? undefined
    : "ended without a complete response";
}

function _checkPromise(
  { route, status }: Attempt,
  runs: readonly Run[],
): string | undefined {
  return status === 503 && mustRunOnce(route) && runs.length > 0
    ? "got 503 and has run"
    : undefined;
}

/** Times of an attempt relative to a stop signal, for the trace of a violation. */
function _describe(
  { bodySentAt, endedAt, sentAt, status }: Attempt,
  runs: readonly Run[],
  { at }: StopSignal,
): string {
  const worked = runs.map((run) =>
    `${run.server} from ${Math.round(run.at - at)} to ${
      Math.round(run.endedAt - at)
    }`
  );
  return `sent ${Math.round(sentAt - at)}, last byte ${
    Math.round(bodySentAt - at)
  }, ended ${
    Math.round(endedAt - at)
  } ms after the signal, status ${status}, ran at ${
    worked.join(", ") || "none"
  }`;
}

/** Returns a line for each request that a planned stop lost. */
export function findStopViolations(record: StopRecord): string[] {
  const runsById = groupRunsById(record.runs);
  return record.attempts.flatMap((attempt) => {
    const [stop] = _listStops(attempt, record.stops);
    if (!stop) return [];
    const runs = runsById.get(attempt.requestId) ?? [];
    const reason = _checkCut(attempt, runs, record) ??
      _checkPromise(attempt, runs);
    if (!reason) return [];
    return [
      `${attempt.requestId} by ${attempt.router}: lost at a planned stop: ${reason}; ${
        _describe(attempt, runs, stop)
      }`,
    ];
  });
}
