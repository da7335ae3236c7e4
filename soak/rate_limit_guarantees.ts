/** Checks that the routers together keep the rate limits that servers name. */
import type { NamedRateLimit } from "./soak_backends.ts";
import type { Attempt } from "./soak_callers.ts";
import type { SoakRecord } from "./soak_record.ts";

/** A limit binds the fleet from this much after it was first named. */
const FIRST_DELAY_MILLISECONDS = 3_000;
/** It binds a router from this much after it has passed on a response with it. */
const TOLD_DELAY_MILLISECONDS = 500;
const WINDOW_MILLISECONDS = 4_000;
const TOLERATED_RATIO = 1.5;
const TOLERATED_REQUESTS = 5;

type _Record = Pick<
  SoakRecord,
  "attempts" | "runs" | "rateLimits" | "disturbances"
>;

function _groupByServer(
  limits: readonly NamedRateLimit[],
): Map<string, NamedRateLimit[]> {
  const byServer = new Map<string, NamedRateLimit[]>();
  for (const limit of limits) {
    const named = byServer.get(limit.server) ?? [];
    byServer.set(limit.server, named);
    named.push(limit);
  }
  return byServer;
}

/** Times at which each router passed on a response that names a limit. */
function _toldTimes(
  limits: readonly NamedRateLimit[],
  attempts: ReadonlyMap<string, Attempt>,
): Map<string, number[]> {
  const told = new Map<string, number[]>();
  for (const { requestId } of limits) {
    const attempt = attempts.get(requestId);
    if (attempt?.status === undefined) continue;
    const times = told.get(attempt.router) ?? [];
    told.set(attempt.router, times);
    times.push(attempt.endedAt);
  }
  return told;
}

function _checkServer(
  server: string,
  limits: readonly NamedRateLimit[],
  record: _Record,
): string | undefined {
  const attempts = new Map(
    record.attempts.map((attempt) => [attempt.requestId, attempt]),
  );
  const told = _toldTimes(limits, attempts);
  const from = limits[0]!.at + FIRST_DELAY_MILLISECONDS;
  const until = limits.at(-1)!.at;
  const arrivals = record.runs.filter(({ server: at }) => at === server)
    .filter(({ at }) => at >= from && at <= until)
    .filter(({ at, requestId }) => {
      const router = attempts.get(requestId)?.router ?? "";
      return (told.get(router) ?? []).some((toldAt) =>
        toldAt <= at - TOLD_DELAY_MILLISECONDS &&
        record.disturbances.isUndisturbed([router], toldAt, at)
      );
    })
    .map(({ at }) => at);
  const limit = Math.max(...limits.map((named) => named.requestsPerSecond));
  const allowed = TOLERATED_RATIO * limit * WINDOW_MILLISECONDS / 1_000 +
    TOLERATED_REQUESTS;
  for (const start of arrivals) {
    const inWindow = arrivals.filter((at) =>
      at >= start && at < start + WINDOW_MILLISECONDS
    ).length;
    if (inWindow <= allowed) continue;
    return `${server}: got ${inWindow} requests in ${WINDOW_MILLISECONDS} ms from ${
      Math.round(start)
    } ms on, and had named a limit of ${limit} a second`;
  }
  return undefined;
}

/** Returns a line for each server whose rate limit was exceeded. */
export function findRateLimitViolations(record: _Record): string[] {
  return [..._groupByServer(record.rateLimits)].flatMap(([server, limits]) =>
    _checkServer(server, limits, record) ?? []
  );
}
