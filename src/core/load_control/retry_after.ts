/**
 * Computes the Retry-After delay of a rejected request. The delay is random
 * within a range, so that callers rejected together do not retry together.
 */
import type { RandomSource } from "../random.ts";

/** Why a request was rejected. */
export type RejectionCause =
  /** The router has no configuration yet. */
  | "starting"
  /** No backend server is known or reachable. */
  | "no_server"
  /** Every backend server is at capacity. */
  | "full"
  /** This router is stopping; others can serve the request now. */
  | "stopping";

interface _Range {
  readonly from: number;
  readonly to: number;
}

/** Delay ranges after which a retry is likely to succeed. */
const RETRY_DELAYS_MILLISECONDS: Readonly<Record<RejectionCause, _Range>> = {
  starting: { from: 300, to: 900 },
  no_server: { from: 200, to: 700 },
  full: { from: 150, to: 600 },
  stopping: { from: 0, to: 200 },
};
/**
 * A caller that retries later than this fraction of its remaining time is not
 * served in time.
 */
const MAXIMUM_RETRY_DELAY_RATIO = 1 / 3;

/** Part of a known wait over which the retries after it are spread. */
const KNOWN_WAIT_SPREAD_RATIO = 0.1;
const MINIMUM_SPREAD_MILLISECONDS = 400;

/**
 * Returns the value of a Retry-After header for a request that cannot be served
 * for a known time. An earlier retry would be in vain, however little time the
 * caller has left.
 */
export function retryAfterKnownWait(
  waitMilliseconds: number,
  random: RandomSource,
): number {
  const spread = Math.max(
    MINIMUM_SPREAD_MILLISECONDS,
    waitMilliseconds * KNOWN_WAIT_SPREAD_RATIO,
  );
  return Math.round(waitMilliseconds + random.next() * spread) / 1_000;
}

/**
 * Part of an expected wait over which the retries after it are spread. An
 * estimate is less certain than a wait that a server named.
 */
const EXPECTED_WAIT_SPREAD_RATIO = 0.5;
const MINIMUM_EXPECTED_WAIT_MILLISECONDS = 50;

/**
 * Returns the value of a Retry-After header for a request that would wait too
 * long in the queue. Callers that come back after the expected wait find the
 * requests served that were ahead of them.
 */
export function retryAfterExpectedWait(
  waitMilliseconds: number,
  random: RandomSource,
): number {
  const wait = Math.max(MINIMUM_EXPECTED_WAIT_MILLISECONDS, waitMilliseconds);
  const spread = wait * EXPECTED_WAIT_SPREAD_RATIO;
  return Math.round(wait + random.next() * spread) / 1_000;
}

/** Returns the value of a Retry-After header in seconds. */
export function retryAfterSeconds(
  cause: RejectionCause,
  remainingMilliseconds: number,
  random: RandomSource,
): number {
  const { from, to } = RETRY_DELAYS_MILLISECONDS[cause];
  const delay = from + random.next() * (to - from);
  const maximumDelay = Math.max(
    0,
    remainingMilliseconds * MAXIMUM_RETRY_DELAY_RATIO,
  );
  return Math.round(Math.min(delay, maximumDelay)) / 1_000;
}
