/**
 * Chooses the routers that collect the reports of a data centre. In a large
 * fleet, routers report only to a few collectors, which forward the sums.
 *
 * Load pattern: if every router reports to every other, the number of reports
 * grows with the square of the fleet size, and the weakest hosts spend as much
 * on them as the strongest.
 */
import type { DataCentreId, HostId, SocketAddress } from "./ids.ts";
import { hash32 } from "./rendezvous.ts";

/** Fleets with more routers than this report through collectors. */
export const MAXIMUM_DIRECT_ROUTERS = 20;
/** Collectors per data centre; one may fail without a gap in the reports. */
const COLLECTOR_COUNT = 2;
/** A router that neither reported nor responded for this long is not chosen. */
const REPORT_TIMEOUT_MILLISECONDS = 1_200;
/** A router that did not respond is tried again after this time. */
const RETRY_DELAY_MILLISECONDS = 6_000;

/** A router that may become a collector, as seen by another router. */
export interface CollectorCandidate {
  readonly address: SocketAddress;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Relative capacity of its host; 0 if unknown. */
  readonly capacity: number;
  /** Time since its last direct report; infinite if there was none. */
  readonly directAgeMilliseconds: number;
  /** Time since any router last received from it; infinite if never. */
  readonly seenAgeMilliseconds: number;
  /** Time for which reports to it went unanswered; 0 if none were sent. */
  readonly unansweredMilliseconds: number;
}

/** Whether the left router is preferred to the right one as a collector. */
export function isPreferredCollector(
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

/** Whether any router has received from the candidate; if so it ranks first. */
function _isKnownAlive(candidate: CollectorCandidate): boolean {
  return Number.isFinite(candidate.seenAgeMilliseconds);
}

/** Returns the collectors of one data centre, most preferred first. */
export function chooseCollectors(
  candidates: readonly CollectorCandidate[],
): CollectorCandidate[] {
  return candidates
    .filter(_isUsable)
    .sort((left, right) => {
      const byAlive = Number(_isKnownAlive(right)) -
        Number(_isKnownAlive(left));
      if (byAlive !== 0) return byAlive;
      return isPreferredCollector(left, right) ? -1 : 1;
    })
    .slice(0, COLLECTOR_COUNT);
}
