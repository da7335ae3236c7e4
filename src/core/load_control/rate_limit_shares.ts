/**
 * Divides the rate limit of a backend server among the routers of a fleet, so
 * that their sum stays within it although no router sees the requests of another.
 *
 * Only as many routers send to the server as the limit has room for, chosen by
 * rendezvous hashing: a limit of three requests a second divided among a hundred
 * routers would leave each a request in half a minute, and a hundred saved
 * requests at once. The parts of a partitioned fleet divide the limit by the
 * routers that they hear, so that the parts' shares add up to the limit.
 */
import type { SocketAddress } from "../ids.ts";
import { rendezvousScore } from "../rendezvous.ts";
import type { IncarnationKey } from "../server_incarnations.ts";

/** Smallest share for which a further router sends to the server. */
export const MINIMUM_SHARE_PER_SECOND = 1;
/**
 * A server with a lower limit, 0 for example, still gets requests at this rate,
 * since only its response can say that the limit has ended.
 */
export const MINIMUM_LIMIT_PER_SECOND = 0.1;
/** A router that is no longer heard keeps its share for this long. */
export const HANDOVER_MILLISECONDS = 3_000;
/** A router that is no longer heard counts as cut off for this long. */
export const CUT_OFF_MILLISECONDS = 30_000;
/**
 * The same for warm-up limits. A partition that outlasts it would let each part
 * use the whole limit, and a server that has just started crashes above it.
 */
export const WARM_UP_CUT_OFF_MILLISECONDS = 600_000;
/**
 * Part of the bound's room above the rate that may be taken by one saved request
 * of each sender. The rest covers routers whose views differ for a moment.
 */
const WARM_UP_SAVED_RATIO = 2 / 3;
/** Time in which a new router becomes known to those whose share it takes. */
export const SETTLING_MILLISECONDS = 2_000;
/** A router whose view of the fleet is older than this has been paused. */
export const MAXIMUM_VIEW_AGE_MILLISECONDS = 1_000;

/** Another router that served callers when it was last heard. */
export interface FleetMember {
  readonly address: SocketAddress;
  readonly isHeard: boolean;
  readonly silentMilliseconds: number;
}

/** What a router knows of the fleet. */
export interface FleetView {
  readonly self: SocketAddress;
  /** Time for which this router has served without a pause. */
  readonly settledMilliseconds: number;
  readonly others: readonly FleetMember[];
}

function _isWithin(
  { isHeard, silentMilliseconds }: FleetMember,
  milliseconds: number,
): boolean {
  return isHeard || silentMilliseconds < milliseconds;
}

/** Part of the known routers that this router hears, itself included. */
function _heardRatio(
  { others }: FleetView,
  cutOffMilliseconds: number,
): number {
  let [heard, known] = [1, 1];
  for (const member of others) {
    if (member.isHeard) heard++;
    if (_isWithin(member, cutOffMilliseconds)) known++;
  }
  return heard / known;
}

/** Number of the candidates that rank before this router for a server. */
function _countPreferred(
  server: IncarnationKey,
  self: SocketAddress,
  candidates: readonly FleetMember[],
): number {
  const key = String(server);
  const own = rendezvousScore(key, self);
  return candidates.filter(({ address }) => {
    const score = rendezvousScore(key, address);
    return score > own || (score === own && address < self);
  }).length;
}

/** The rate that some routers may send together, and how many of them. */
interface _Division {
  readonly limitPerSecond: number;
  readonly wantedSenders: number;
}

/** Returns this router's equal part of a limit; 0 if others rank before it. */
function _divide(
  server: IncarnationKey,
  { limitPerSecond, wantedSenders }: _Division,
  view: FleetView,
): number {
  const candidates = view.others.filter((member) =>
    _isWithin(member, HANDOVER_MILLISECONDS)
  );
  const senders = Math.min(candidates.length + 1, wantedSenders);
  const preferred = _countPreferred(server, view.self, candidates);
  return preferred < senders ? limitPerSecond / senders : 0;
}

/**
 * Returns this router's share of a server's limit in requests per second; 0 if
 * others send to the server.
 */
export function decideRateLimitShare(
  server: IncarnationKey,
  limitPerSecond: number,
  view: FleetView,
): number {
  if (view.settledMilliseconds < SETTLING_MILLISECONDS) return 0;
  const limit = Math.max(MINIMUM_LIMIT_PER_SECOND, limitPerSecond) *
    _heardRatio(view, CUT_OFF_MILLISECONDS);
  const wantedSenders = Math.floor(limit / MINIMUM_SHARE_PER_SECOND);
  return _divide(server, {
    limitPerSecond: limit,
    wantedSenders: Math.max(1, wantedSenders),
  }, view);
}

/** Requests that a cold server may get in any second, summed over all routers. */
export interface WarmUpBound {
  /** Multiple of the warm-up rate. */
  readonly factor: number;
  /** Requests on top of the multiple. */
  readonly slack: number;
}

/**
 * Returns this router's share of a cold server's rate in requests per second; 0
 * if others send to the server, or if this router hears so few others that the
 * saved requests of all such parts of the fleet might exceed the bound.
 */
export function decideWarmUpShare(
  server: IncarnationKey,
  ratePerSecond: number,
  { factor, slack }: WarmUpBound,
  view: FleetView,
): number {
  if (view.settledMilliseconds < SETTLING_MILLISECONDS) return 0;
  const heardRatio = _heardRatio(view, WARM_UP_CUT_OFF_MILLISECONDS);
  const bound = ratePerSecond * factor + slack;
  const saved = Math.max(1, WARM_UP_SAVED_RATIO * (bound - ratePerSecond));
  const mostSenders = Math.floor(saved * heardRatio);
  if (mostSenders === 0) return 0;
  const limitPerSecond = heardRatio *
    Math.max(MINIMUM_LIMIT_PER_SECOND, Math.min(ratePerSecond, bound - saved));
  const wantedSenders = Math.floor(limitPerSecond / MINIMUM_SHARE_PER_SECOND);
  return _divide(server, {
    limitPerSecond,
    wantedSenders: Math.max(1, Math.min(mostSenders, wantedSenders)),
  }, view);
}
