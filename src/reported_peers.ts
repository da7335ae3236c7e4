/** The peers to which a router sends reports, and what the dump says of peers. */
import type { GatewayPeer } from "./gateway_peer.ts";
import type { ReportHierarchy } from "./report_hierarchy.ts";

/** Returns the live peers that get reports. */
export function reportedPeers(
  peers: Iterable<GatewayPeer>,
  hierarchy: ReportHierarchy,
): GatewayPeer[] {
  return [...peers].filter((peer) =>
    hierarchy.payloadFor(peer) !== undefined && !hierarchy.isSilent(peer)
  );
}

/** Describes peers for the state dump at a monotonic time in milliseconds. */
export function describePeers(
  peers: Iterable<GatewayPeer>,
  hierarchy: ReportHierarchy,
  now: number,
): unknown[] {
  return [...peers].map((peer) => ({
    address: peer.address,
    host: peer.name?.host,
    silentMilliseconds: now - peer.heardAt,
    isServing: peer.listing?.isServing ?? false,
    reports: hierarchy.payloadFor(peer) ?? "none",
  }));
}
