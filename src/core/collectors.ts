/**
 * Which routers collect the reports of a data centre. In a large fleet routers
 * report to a few collectors only, and collectors pass sums on.
 *
 * Load pattern: reports from all routers to all others grow with the square of
 * the fleet's size, and the weakest hosts pay as much for them as the strongest.
 */
import type { DataCentreId, HostId, SocketAddress } from "./ids.ts";
import { hash32 } from "./rendezvous.ts";

/** Fleets of more routers than this report through collectors. */
export const MAXIMUM_DIRECT_ROUTERS = 20;
/** Collectors of a data centre; one may be lost without a gap. */
const COLLECTORS = 2;
/** A router that was not heard directly for this long collects no reports. */
const REPORT_TIMEOUT_MILLISECONDS = 1_200;
/** A router that did not answer is tried again after this time. */
const RETRY_DELAY_MILLISECONDS = 6_000;

/** A router that may collect reports, as another router knows it. */
export interface CollectorCandidate {
  readonly address: SocketAddress;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Relative strength of its host; 0 if unknown. */
  readonly capacity: number;
  /** Time since its last own report; infinite if there was none. */
  readonly directAgeMilliseconds: number;
  /** Time since anybody is known to have heard it; infinite if never. */
  readonly heardAgeMilliseconds: number;
  /** Time for which it has been sent reports without an answer; 0 if none were sent. */
  readonly unansweredMilliseconds: number;
}

/** Whether a router ranks before another one as a collector. */
export function ranksBefore(
  left: Pick<CollectorCandidate, "capacity" | "host">,
  right: Pick<CollectorCandidate, "capacity" | "host">,
): boolean {
  if (left.capacity !== right.capacity) return left.capacity > right.capacity;
  return hash32(left.host) < hash32(right.host);
}

function _isUsable(router: CollectorCandidate): boolean {
  if (router.directAgeMilliseconds < REPORT_TIMEOUT_MILLISECONDS) return true;
  const { unansweredMilliseconds } = router;
  return unansweredMilliseconds < REPORT_TIMEOUT_MILLISECONDS ||
    unansweredMilliseconds > RETRY_DELAY_MILLISECONDS;
}

/** Routers that are known to live come before those that nobody has heard. */
function _isHeard(candidate: CollectorCandidate): boolean {
  return Number.isFinite(candidate.heardAgeMilliseconds);
}

/** Returns the collectors among the routers of one data centre, best first. */
export function chooseCollectors(
  candidates: readonly CollectorCandidate[],
): CollectorCandidate[] {
  return candidates
    .filter(_isUsable)
    .sort((left, right) => {
      const byHeard = Number(_isHeard(right)) - Number(_isHeard(left));
      if (byHeard !== 0) return byHeard;
      return ranksBefore(left, right) ? -1 : 1;
    })
    .slice(0, COLLECTORS);
}
