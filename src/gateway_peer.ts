/** What a gateway remembers of another one. */
import type { DataCentreId, HostId, SocketAddress } from "./core/ids.ts";
import type { GatewayReport, RouterListing } from "./gateway_peer_messages.ts";
import type { PeerIdentity } from "./peer_network.ts";

/** Which router has an address, as far as anybody said. */
export interface PeerName {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
}

/** Another router, as this one knows it. */
export interface GatewayPeer {
  readonly address: SocketAddress;
  name: PeerName | undefined;
  identity: PeerIdentity | undefined;
  /** Its own last report; undefined while the peer is silent. */
  report: GatewayReport | undefined;
  /** What it or a collector said of it last; undefined while it is silent. */
  listing: RouterListing | undefined;
  /** When anybody heard it last. */
  heardAt: number;
  /** When its own last report came. */
  directAt: number;
  /** When it last reported without sums, as routers do to their collectors. */
  reportedAsMemberAt: number;
  /** Since when it has been sent reports without an answer. */
  unansweredSince: number | undefined;
  readonly knownSince: number;
  triedAt: number;
  sentTick: number;
  sentVersion: number;
  /** When and with which changes the list of routers was sent last. */
  listedTick: number;
  listedVersion: number;
  /** Number after the last announcement of readings that was sent. */
  sentReadings: number;
  /** Since when this router lacks something that the peer has. */
  behindSince: number | undefined;
}

/** Creates the record of a peer that was not heard yet. */
export function createGatewayPeer(
  address: SocketAddress,
  now: number,
): GatewayPeer {
  return {
    address,
    name: undefined,
    identity: undefined,
    report: undefined,
    listing: undefined,
    heardAt: Number.NEGATIVE_INFINITY,
    directAt: Number.NEGATIVE_INFINITY,
    reportedAsMemberAt: Number.NEGATIVE_INFINITY,
    unansweredSince: undefined,
    knownSince: now,
    triedAt: Number.NEGATIVE_INFINITY,
    sentTick: Number.NEGATIVE_INFINITY,
    sentVersion: -1,
    listedTick: Number.NEGATIVE_INFINITY,
    listedVersion: -1,
    sentReadings: 0,
    behindSince: undefined,
  };
}
