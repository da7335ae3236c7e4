/** Checks that routers heed servers that are leaving or ask for a pause. */
import type { Notice } from "./soak_backends.ts";
import type { Attempt } from "./soak_callers.ts";
import type { SoakRecord } from "./soak_record.ts";

/** A leaving server may get requests that callers send up to this much later. */
const DRAIN_MILLISECONDS = 2_000;
/** A pause binds a router from this much after the response that asked for it. */
const PAUSE_DELAY_MILLISECONDS = 500;
/** Requests that may reach a pausing server from one router all the same. */
const TOLERATED_REQUESTS = 2;

/** What the checks of notices need of a soak run. */
export type NoticeRecord = Pick<
  SoakRecord,
  "attempts" | "runs" | "notices" | "disturbances"
>;

/** A request that reached a server, with the attempt that it belongs to. */
interface _Arrival {
  readonly attempt: Attempt;
  readonly server: string;
  readonly at: number;
}

function _listArrivals(
  { attempts, runs, notices }: NoticeRecord,
): _Arrival[] {
  const byId = new Map(
    attempts.map((attempt) => [attempt.requestId, attempt]),
  );
  // A server that asks for a pause does not run the request.
  const refused = notices.filter(({ pausedUntil }) =>
    pausedUntil !== undefined
  );
  return [...runs, ...refused].flatMap(({ requestId, server, at }) => {
    const attempt = byId.get(requestId);
    return attempt ? [{ attempt, server, at }] : [];
  });
}

function _checkLeaving(
  { server }: Notice,
  noticed: Attempt,
  arrivals: readonly _Arrival[],
  { disturbances }: NoticeRecord,
): string | undefined {
  // Only a response that was passed on binds the router.
  if (noticed.status === undefined || noticed.status >= 500) return undefined;
  const since = noticed.endedAt;
  const late = arrivals.find(({ attempt, at }) =>
    attempt.sentAt > since + DRAIN_MILLISECONDS &&
    disturbances.isUndisturbed([noticed.router], since, at)
  );
  if (!late) return undefined;
  const milliseconds = Math.round(late.attempt.sentAt - since);
  return `${late.attempt.requestId}: reached ${server} by ${noticed.router}, sent ${milliseconds} ms after a response that said it is leaving`;
}

function _checkPause(
  { server, at: since, pausedUntil = 0 }: Notice,
  noticed: Attempt,
  arrivals: readonly _Arrival[],
  { disturbances }: NoticeRecord,
): string | undefined {
  const early = arrivals.filter(({ at }) =>
    at > since + PAUSE_DELAY_MILLISECONDS && at < pausedUntil &&
    disturbances.isUndisturbed([noticed.router], since, at) &&
    disturbances.isStable(["backends"], since, at)
  );
  return early.length > TOLERATED_REQUESTS
    ? `${server}: got ${early.length} requests by ${noticed.router} in the pause that it asked for at ${
      Math.round(since)
    } ms`
    : undefined;
}

/** Returns a line for each notice that a router did not heed. */
export function findNoticeViolations(record: NoticeRecord): string[] {
  const byId = new Map(
    record.attempts.map((attempt) => [attempt.requestId, attempt]),
  );
  const arrivals = _listArrivals(record);
  const violations = new Set<string>();
  for (const notice of record.notices) {
    const noticed = byId.get(notice.requestId);
    if (!noticed) continue;
    const ofRouter = arrivals.filter(({ server, attempt }) =>
      server === notice.server && attempt.router === noticed.router
    );
    const violation = notice.pausedUntil === undefined
      ? _checkLeaving(notice, noticed, ofRouter, record)
      : _checkPause(notice, noticed, ofRouter, record);
    if (violation) violations.add(violation);
  }
  return [...violations];
}
