/**
 * Measures when the soak's own process stood still. Callers, servers, the store and the
 * proxies all run in it: while it stands still, no router gets or returns anything.
 */
import type { Disturbances } from "./disturbances.ts";

const PERIOD_MILLISECONDS = 20;
/** Timers that are late by less are no stall. */
const SHORTEST_STALL_MILLISECONDS = 20;
/** A stall of this length is a silence of all servers and of the store. */
const SILENCE_MILLISECONDS = 500;

/** A time in which the soak's process did nothing, in milliseconds. */
export interface Stall {
  readonly from: number;
  readonly until: number;
}

/** Records stalls until the returned function is called. */
export function recordStalls(now: () => number, stalls: Stall[]): () => void {
  let dueAt = now() + PERIOD_MILLISECONDS;
  const timer = setInterval(() => {
    const until = now();
    if (until - dueAt >= SHORTEST_STALL_MILLISECONDS) {
      stalls.push({ from: dueAt, until });
    }
    dueAt = until + PERIOD_MILLISECONDS;
  }, PERIOD_MILLISECONDS);
  return () => clearInterval(timer);
}

/** Returns how much of a time range the soak's process stood still. */
export function stillnessWithin(
  stalls: readonly Stall[],
  from: number,
  until: number,
): number {
  return stalls.reduce((sum, stall) => {
    const overlap = Math.min(until, stall.until) - Math.max(from, stall.from);
    return sum + Math.max(0, overlap);
  }, 0);
}

/** Returns the stalls in which servers and store were silent for long. */
export function listSilences(stalls: readonly Stall[]): readonly Stall[] {
  return stalls.filter(({ from, until }) =>
    until - from >= SILENCE_MILLISECONDS
  );
}

/** Records long stalls as what they are to the routers: unplanned silences. */
export function recordSilences(
  stalls: readonly Stall[],
  disturbances: Disturbances,
): void {
  for (const { from, until } of listSilences(stalls)) {
    for (const scope of ["backends", "store"]) {
      disturbances.begin(scope, false, from)(until);
    }
  }
}
