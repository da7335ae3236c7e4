/** Describes routers as candidates for the collectors of their data centre. */
import type { CollectorCandidate } from "./core/collectors.ts";
import type { GatewayPeer, RouterIdentity } from "./gateway_peer.ts";

/** A peer's identity and what this router knows about its silence. */
export interface PeerCandidateOptions extends RouterIdentity {
  readonly isSilent: boolean;
  readonly now: number;
}

/** Returns a router's own candidate, which always counts as reachable. */
export function ownCandidate(
  { address, host, dataCentre, capacity }: Pick<
    CollectorCandidate,
    "address" | "host" | "dataCentre" | "capacity"
  >,
): CollectorCandidate {
  return {
    address,
    host,
    dataCentre,
    capacity,
    directAgeMilliseconds: 0,
    seenAgeMilliseconds: 0,
    unansweredMilliseconds: 0,
  };
}

/** Returns the candidate of a peer whose identity is known. */
export function peerCandidate(
  peer: GatewayPeer,
  { host, dataCentre, isSilent, now }: PeerCandidateOptions,
): CollectorCandidate {
  const { address, listing, registeredCapacity, unansweredSince } = peer;
  return {
    address,
    host,
    dataCentre,
    // Before its first report, a peer is known from its record in the store.
    capacity: listing?.capacity ?? registeredCapacity,
    directAgeMilliseconds: now - peer.directAt,
    seenAgeMilliseconds: isSilent ? Infinity : now - peer.heardAt,
    unansweredMilliseconds: unansweredSince === undefined
      ? 0
      : now - unansweredSince,
  };
}
