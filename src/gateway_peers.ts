/** The routers that one router knows, by address. */
import type { SocketAddress } from "./core/ids.ts";
import {
  createGatewayPeer,
  type GatewayPeer,
  type PeerName,
} from "./gateway_peer.ts";
import type { GatewayReport, RouterListing } from "./gateway_peer_messages.ts";
import type { PeerIdentity } from "./peer_network.ts";

/** The peers of one router. */
export class GatewayPeers {
  readonly #ownAddress: SocketAddress;
  readonly #now: () => number;
  readonly #peers = new Map<SocketAddress, GatewayPeer>();
  #listingVersion = 0;

  constructor(ownAddress: SocketAddress, now: () => number) {
    this.#ownAddress = ownAddress;
    this.#now = now;
  }

  /** Rises when a router begins or ends to serve or to watch, or is lost. */
  get listingVersion(): number {
    return this.#listingVersion;
  }

  get size(): number {
    return this.#peers.size;
  }

  all(): Iterable<GatewayPeer> {
    return this.#peers.values();
  }

  /** Remembers an address and which router it is said to be. */
  know(address: SocketAddress, name?: PeerName): GatewayPeer | undefined {
    if (address === this.#ownAddress) return undefined;
    let peer = this.#peers.get(address);
    if (!peer) {
      peer = createGatewayPeer(address, this.#now());
      this.#peers.set(address, peer);
    }
    // What a router says of itself goes before what others say.
    if (name && !peer.identity) {
      peer.name = { host: name.host, dataCentre: name.dataCentre };
    }
    return peer;
  }

  /** Takes over a router's own report; returns whether it has just joined. */
  receive(
    peer: GatewayPeer,
    report: GatewayReport,
    from: PeerIdentity,
  ): boolean {
    const isNew = peer.identity?.incarnation !== from.incarnation ||
      !peer.report;
    peer.identity = from;
    peer.name = from;
    peer.report = report;
    peer.directAt = this.#now();
    if (!report.summary) peer.reportedAsMemberAt = peer.directAt;
    peer.unansweredSince = undefined;
    const { address, host, dataCentre } = from;
    const { callerAddress, isServing, isWatching, busyShare, capacity } =
      report;
    this.#list(peer, {
      address,
      host,
      dataCentre,
      callerAddress,
      isServing,
      isWatching,
      busyShare,
      capacity,
      ageMilliseconds: 0,
    });
    for (const listing of report.summary?.listings ?? []) {
      const listed = this.know(listing.address, listing);
      if (listed) this.#list(listed, listing);
    }
    return isNew;
  }

  /** Records that this router itself began or ended to serve. */
  noteOwnChange(): void {
    this.#listingVersion++;
  }

  /** Records that a router fell silent. */
  lose(peer: GatewayPeer): void {
    peer.report = undefined;
    peer.listing = undefined;
    this.#listingVersion++;
  }

  forget(peer: GatewayPeer): void {
    this.#peers.delete(peer.address);
  }

  /** Takes over what is said of a router, unless newer is known. */
  #list(peer: GatewayPeer, listing: RouterListing): void {
    const heardAt = this.#now() - listing.ageMilliseconds;
    if (heardAt < peer.heardAt) return;
    const { listing: known } = peer;
    const hasChanged = known?.isServing !== listing.isServing ||
      known.isWatching !== listing.isWatching;
    if (hasChanged) this.#listingVersion++;
    peer.heardAt = heardAt;
    peer.listing = listing;
  }
}
