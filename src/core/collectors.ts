/**
 * Chooses the collectors of a data centre: the few routers that, in a large
 * fleet, receive the reports of the others and forward the sums. Reports from
 * every router to every other would grow with the square of the fleet size and
 * cost the weakest hosts as much as the strongest. Hosts with more capacity are
 * therefore preferred.
 */
import type { DataCentreId, HostId, SocketAddress } from "./ids.ts";
import { cachedHash32 } from "./hash32.ts";

/** Largest number of routers that report to each other without collectors. */
export const MAXIMUM_DIRECT_ROUTERS = 20;
/** Collectors per data centre; one may fail without a gap in the reports. */
const COLLECTOR_COUNT = 2;
/** A router is not chosen after this time without a report or a response. */
const REPORT_TIMEOUT_MILLISECONDS = 1_200;
/** A router may be chosen again after this time without a response. */
const RETRY_DELAY_MILLISECONDS = 6_000;

/** A router that may become a collector, as seen by another router. */
export interface CollectorCandidate {
  readonly address: SocketAddress;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Relative capacity of its host; 0 if unknown. */
  readonly capacity: number;
  /** Time since its last direct report to this router; infinite if none. */
  readonly directAgeMilliseconds: number;
  /** Time since any router last heard from it; infinite if it is silent. */
  readonly seenAgeMilliseconds: number;
  /** Time for which it has not responded to reports; 0 if none were sent. */
  readonly unansweredMilliseconds: number;
}

/** Whether the left router is preferred to the right one as a collector. */
export function isPreferredCollector(
  left: Pick<CollectorCandidate, "capacity" | "host">,
  right: Pick<CollectorCandidate, "capacity" | "host">,
): boolean {
  if (left.capacity !== right.capacity) return left.capacity > right.capacity;
  return cachedHash32(left.host) < cachedHash32(right.host);
}

/** Whether a router reported or responded recently, or is due for a retry. */
function _isEligible(router: CollectorCandidate): boolean {
  if (router.directAgeMilliseconds < REPORT_TIMEOUT_MILLISECONDS) return true;
  const { unansweredMilliseconds } = router;
  return unansweredMilliseconds < REPORT_TIMEOUT_MILLISECONDS ||
    unansweredMilliseconds > RETRY_DELAY_MILLISECONDS;
}

/** Whether any router heard from the candidate lately, which ranks it first. */
function _isKnownAlive(candidate: CollectorCandidate): boolean {
  return Number.isFinite(candidate.seenAgeMilliseconds);
}

/** Returns the collectors of one data centre, most preferred first. */
export function chooseCollectors(
  candidates: readonly CollectorCandidate[],
): CollectorCandidate[] {
  return candidates
    .filter(_isEligible)
    .sort((left, right) => {
      const byAlive = Number(_isKnownAlive(right)) -
        Number(_isKnownAlive(left));
      if (byAlive !== 0) return byAlive;
      return isPreferredCollector(left, right) ? -1 : 1;
    })
    .slice(0, COLLECTOR_COUNT);
}
