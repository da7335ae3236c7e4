/** State that a gateway keeps about a peer gateway. */
import type {
  DataCentreId,
  HostId,
  IncarnationId,
  SocketAddress,
} from "./core/ids.ts";
import type { GatewayReport, RouterListing } from "./gateway_report.ts";
import type { PeerIdentity } from "./peer_network.ts";

/** Identity of the router at an address. */
export interface RouterIdentity {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
}

/** The planned departure of a router. */
export interface PeerDeparture {
  /** The incarnation that left; a later one may start at the same address. */
  readonly incarnation: IncarnationId;
  /** When this router was told. */
  readonly at: number;
}

/** State of another router. */
export interface GatewayPeer {
  readonly address: SocketAddress;
  /** Identity reported by the peer or, until then, by others. */
  name: RouterIdentity | undefined;
  /** Authenticated identity; undefined before the peer's first report. */
  identity: PeerIdentity | undefined;
  /** Last report received from the peer; undefined while it is silent. */
  report: GatewayReport | undefined;
  /** Relative capacity that it registered in the store; 0 if unknown. */
  registeredCapacity: number;
  /** Last listing by the peer or a collector; undefined while it is silent. */
  listing: RouterListing | undefined;
  /** Set from its departure until it is heard again. */
  departure: PeerDeparture | undefined;
  /** Whether it served callers when it was last heard. */
  hasServed: boolean;
  /** When any router last received its report. */
  heardAt: number;
  /** When this router last received its report. */
  directAt: number;
  /** When it last reported here without a summary, as members do to collectors. */
  reportedAsMemberAt: number;
  /** Since when reports to the peer have had no reply. */
  unansweredSince: number | undefined;
  readonly createdAt: number;
  /** Time, tick and own load version of the last report sent. */
  lastSentAt: number;
  sentTick: number;
  sentVersion: number;
  /** Tick and listing version of the last report that listed the routers. */
  listingTick: number;
  sentListingVersion: number;
  /** Sequence number of the first reading not yet sent to the peer. */
  nextReading: number;
  /** Sequence number of the first crash evidence not yet sent to the peer. */
  nextEvidence: number;
  /** Sequence number of the first drain notice not yet sent to the peer. */
  nextNotice: number;
  /** Sequence number of the first rate limit not yet sent to the peer. */
  nextRateLimit: number;
  /** Sequence number of the first mark of a cold server not yet sent to the peer. */
  nextColdMark: number;
  /** Since when this router has been missing state that the peer has. */
  behindSince: number | undefined;
}

/** Creates the state of a peer from which nothing was received yet. */
export function createGatewayPeer(
  address: SocketAddress,
  now: number,
): GatewayPeer {
  return {
    address,
    name: undefined,
    identity: undefined,
    report: undefined,
    registeredCapacity: 0,
    listing: undefined,
    departure: undefined,
    hasServed: false,
    heardAt: Number.NEGATIVE_INFINITY,
    directAt: Number.NEGATIVE_INFINITY,
    reportedAsMemberAt: Number.NEGATIVE_INFINITY,
    unansweredSince: undefined,
    createdAt: now,
    lastSentAt: Number.NEGATIVE_INFINITY,
    sentTick: Number.NEGATIVE_INFINITY,
    sentVersion: -1,
    listingTick: Number.NEGATIVE_INFINITY,
    sentListingVersion: -1,
    nextReading: 0,
    nextEvidence: 0,
    nextNotice: 0,
    nextRateLimit: 0,
    nextColdMark: 0,
    behindSince: undefined,
  };
}
