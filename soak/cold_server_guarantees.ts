/** Checks that cold servers get no more requests than they take. */
import type { ColdSpan } from "./cold_service.ts";
import type { SoakRecord } from "./soak_record.ts";
import { COLD_SERVICE } from "./soak_routes.ts";
import type { Stall } from "./stalls.ts";

/** Requests of a cold server in any second: a multiple of its rate, and more (WarmUpBound). */
const TOLERATED_RATIO = 1.5;
const TOLERATED_REQUESTS = 5;
const WINDOW_MILLISECONDS = 1_000;
/** Requests that arrive during a stall are recorded within this time after it. */
const BACKLOG_MILLISECONDS = 50;

/** What the check of cold servers needs of a soak run. */
export type ColdServerRecord = Pick<
  SoakRecord,
  "arrivals" | "coldSpans" | "stalls"
>;

/** Returns when a request may have arrived that was recorded at a time. */
function _earliestArrival(at: number, stalls: readonly Stall[]): number {
  return stalls.reduce(
    (earliest, { from, until }) =>
      until <= at && at - until <= BACKLOG_MILLISECONDS
        ? Math.min(earliest, from)
        : earliest,
    at,
  );
}

function _checkSpan(
  { server, from, until }: ColdSpan,
  { arrivals, stalls }: ColdServerRecord,
): string | undefined {
  // Requests that the server refuses as meant for another do not count.
  const times = arrivals.filter((arrival) =>
    arrival.server === server && !arrival.wasMisdirected &&
    arrival.at >= from && arrival.at < until
  ).map(({ at }) => at);
  const allowed = TOLERATED_RATIO * COLD_SERVICE.requestsPerSecond +
    TOLERATED_REQUESTS;
  for (const start of times) {
    const end = _earliestArrival(start, stalls) + WINDOW_MILLISECONDS;
    const inWindow = times.filter((at) => at >= start && at < end).length;
    if (inWindow <= allowed) continue;
    return `${server}: got ${inWindow} requests within a second, ${
      Math.round(start - from)
    } ms after it became cold at ${
      Math.round(from)
    } ms, and takes ${COLD_SERVICE.requestsPerSecond} a second`;
  }
  return undefined;
}

/** Returns a line for each time in which a cold server got too many requests. */
export function findColdServerViolations(record: ColdServerRecord): string[] {
  return record.coldSpans.flatMap((span) => _checkSpan(span, record) ?? []);
}
