/** What the platform's rules say of a response and of a planned stop. */

/** Statuses that promise that the request has not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
/** A request whose last byte came this long after the signal may outlast the grace. */
const LATEST_SEND_MILLISECONDS = 3_000;
/** The last part of the grace, in which a server may still be at work. */
const LAST_PART_RATIO = 1 / 6;

/** Whether a status promises that the request has not run. */
export function guaranteesNotRun(status: number | undefined): boolean {
  return status !== undefined && NOT_RUN_STATUSES.includes(status);
}

/** Work of a server on a request, in milliseconds of any clock. */
export interface ServerWork {
  readonly startedAt: number;
  /** When the server stopped working on it; undefined if it still does. */
  readonly endedAt: number | undefined;
}

/** The stop of the router that took a request, on the same clock. */
export interface StopTimes {
  readonly signalledAt: number;
  readonly graceMilliseconds: number;
}

/**
 * Whether the grace time was too short for a request that was sent in time: its server
 * was at work in the last part of it.
 */
export function hasOutlastedGrace(
  lastByteAt: number,
  work: readonly ServerWork[],
  { signalledAt, graceMilliseconds }: StopTimes,
): boolean {
  if (lastByteAt > signalledAt + LATEST_SEND_MILLISECONDS) return false;
  const endsAt = signalledAt + graceMilliseconds;
  const lastPartAt = endsAt - graceMilliseconds * LAST_PART_RATIO;
  return work.some(({ startedAt, endedAt = Infinity }) =>
    startedAt < endsAt && endedAt >= lastPartAt
  );
}
