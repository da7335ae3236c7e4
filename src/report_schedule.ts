/**
 * Decides when a router reports to a peer again: changes soon, but less often to
 * other data centres and to collectors, everything else as a heartbeat.
 */
import type { GatewayPeer } from "./gateway_peer.ts";
import type { ReportPayload } from "./report_hierarchy.ts";

/** Minimum ticks between reports of changes within a data centre. */
const LOCAL_REPORT_TICKS = 1;
/** Minimum ticks between reports of changes across data centres: costly traffic. */
const REMOTE_REPORT_TICKS = 5;
/** Minimum ticks between reports to collectors about changes. */
const COLLECTOR_REPORT_TICKS = 3;
/** Ticks between summaries. */
const SUMMARY_TICKS = 5;
/** Ticks between summaries that list the live routers. */
const LISTING_TICKS = 20;
/** Ticks between reports of a router without changes. */
const HEARTBEAT_TICKS = 8;
/** Interval of reports to a silent peer. */
const RETRY_MILLISECONDS = 1_000;

/** The current tick, its time in milliseconds and the versions of what is reported. */
export interface ReportTime {
  readonly tick: number;
  readonly now: number;
  readonly loadVersion: number;
  readonly listingVersion: number;
}

/** What determines the interval of the reports to a peer. */
export interface ReportInterval extends ReportTime {
  readonly payload: ReportPayload;
  /** Whether the peer has not reported to this router for some time. */
  readonly isUnanswered: boolean;
  /** Whether reports go through collectors. */
  readonly isHierarchical: boolean;
  /** Whether the peer is in the same data centre. */
  readonly isLocal: boolean;
}

type _Sent = Pick<
  GatewayPeer,
  | "lastSentAt"
  | "sentTick"
  | "sentVersion"
  | "listingTick"
  | "sentListingVersion"
>;

function _changeTicks({ isHierarchical, isLocal }: ReportInterval): number {
  if (isHierarchical) return COLLECTOR_REPORT_TICKS;
  return isLocal ? LOCAL_REPORT_TICKS : REMOTE_REPORT_TICKS;
}

/** Whether a peer gets a report now. */
export function isReportDue(
  sent: Readonly<_Sent>,
  interval: ReportInterval,
): boolean {
  const ticks = interval.tick - sent.sentTick;
  if (interval.isUnanswered) {
    return interval.now - sent.lastSentAt >= RETRY_MILLISECONDS;
  }
  if (interval.payload !== "own") return ticks >= SUMMARY_TICKS;
  if (ticks >= HEARTBEAT_TICKS) return true;
  return sent.sentVersion !== interval.loadVersion &&
    ticks >= _changeTicks(interval);
}

/** Whether the next summary for a peer lists the live routers. */
export function isListingDue(
  sent: Readonly<_Sent>,
  { tick, listingVersion }: ReportTime,
): boolean {
  return sent.sentListingVersion !== listingVersion ||
    tick - sent.listingTick >= LISTING_TICKS;
}

/** Records that a report was sent. */
export function recordSentReport(
  sent: _Sent,
  { tick, now, loadVersion, listingVersion }: ReportTime,
  withListings: boolean,
): void {
  sent.sentTick = tick;
  sent.sentVersion = loadVersion;
  sent.lastSentAt = now;
  if (!withListings) return;
  sent.listingTick = tick;
  sent.sentListingVersion = listingVersion;
}
