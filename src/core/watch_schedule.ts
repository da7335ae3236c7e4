/**
 * When the waiting calls of a fleet end. A connection can fall silent without being
 * closed, and a call that waits on it shows nothing until it should have ended. If the
 * calls of all routers end together, a fleet whose connections fall silent at once
 * learns of no change until then.
 *
 * The watching routers therefore end their calls one after the other, a fixed time
 * apart, in the order of their ranks. One whose call has ended has proven its
 * connection, or has opened another, and tells the others what it learns. A change
 * ends all calls; from there the order starts anew.
 */

/** Time between the ends of two routers' calls. */
export const WATCH_SPACING_MILLISECONDS = 1_000;
/** Shortest wait: a slot that is nearer than this is left to the next period. */
const MINIMUM_WAIT_MILLISECONDS = 200;

/** The place of a router among those that watch. */
export interface WatchPosition {
  /** Number of watching routers that precede this one. */
  readonly rank: number;
  /** Number of watching routers, including this one. */
  readonly watchers: number;
}

/** The position of a router that knows of no other. */
export const ONLY_WATCHER: WatchPosition = { rank: 0, watchers: 1 };

/** Decides how long the next call waits. */
export interface WatchSchedule {
  /** Records a change that ended the calls of all watching routers. */
  recordChange(now: number): void;
  /** Returns the wait of a call that begins now, in milliseconds. */
  nextWait(position: WatchPosition, now: number): number;
}

/**
 * Creates a schedule of calls that wait for `maximumMilliseconds` at most and of
 * which one ends every `spacingMilliseconds`.
 */
export function createWatchSchedule(
  maximumMilliseconds: number,
  spacingMilliseconds = WATCH_SPACING_MILLISECONDS,
): WatchSchedule {
  const maximumSlots = Math.floor(maximumMilliseconds / spacingMilliseconds);
  let changedAt: number | undefined;
  return {
    recordChange(now) {
      changedAt = now;
    },
    nextWait({ rank, watchers }, now) {
      changedAt ??= now;
      const slots = Math.max(1, Math.min(watchers, maximumSlots));
      const period = slots * spacingMilliseconds;
      const slot = 1 + rank % slots;
      const firstEnd = changedAt + slot * spacingMilliseconds;
      const missed = now + MINIMUM_WAIT_MILLISECONDS - firstEnd;
      const periods = Math.max(0, Math.ceil(missed / period));
      return firstEnd + periods * period - now;
    },
  };
}
