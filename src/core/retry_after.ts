/**
 * When a rejected caller should come back. The time is random within a range,
 * so that callers that were rejected together do not return together.
 */
import type { RandomSource } from "./random.ts";

/** Why a request was rejected. */
export type RejectionCause =
  /** The router has no configuration yet. */
  | "starting"
  /** No backend server is known or reachable. */
  | "no_server"
  /** Every backend server is full. */
  | "full";

interface _Range {
  readonly from: number;
  readonly to: number;
}

/** Milliseconds until a return is worth trying. */
const RETURN_RANGES: Readonly<Record<RejectionCause, _Range>> = {
  starting: { from: 300, to: 900 },
  no_server: { from: 200, to: 700 },
  full: { from: 150, to: 600 },
};
/** A caller that returns later than this part of its time is not served in time. */
const MAXIMUM_RETRY_DELAY_RATIO = 1 / 3;

/** Returns the seconds for a Retry-After header. */
export function retryAfterSeconds(
  cause: RejectionCause,
  remainingMilliseconds: number,
  random: RandomSource,
): number {
  const { from, to } = RETURN_RANGES[cause];
  const wanted = from + random.next() * (to - from);
  const longest = Math.max(
    0,
    remainingMilliseconds * MAXIMUM_RETRY_DELAY_RATIO,
  );
  return Math.round(Math.min(wanted, longest)) / 1_000;
}
