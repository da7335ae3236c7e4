/** What a gateway remembers of another one. */
import type { SocketAddress } from "./core/ids.ts";
import type { GatewayReport } from "./gateway_peer_messages.ts";
import type { PeerIdentity } from "./peer_network.ts";

/** Another router, as this one knows it. */
export interface GatewayPeer {
  readonly address: SocketAddress;
  identity: PeerIdentity | undefined;
  /** The last report; undefined while the peer is silent. */
  report: GatewayReport | undefined;
  heardAt: number;
  readonly knownSince: number;
  triedAt: number;
  sentTick: number;
  sentVersion: number;
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
    identity: undefined,
    report: undefined,
    heardAt: Number.NEGATIVE_INFINITY,
    knownSince: now,
    triedAt: Number.NEGATIVE_INFINITY,
    sentTick: Number.NEGATIVE_INFINITY,
    sentVersion: -1,
    sentReadings: 0,
    behindSince: undefined,
  };
}
