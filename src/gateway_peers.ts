/** Table of the peers that a router knows, by address. */
import type { IncarnationId, SocketAddress } from "./core/ids.ts";
import {
  createGatewayPeer,
  type GatewayPeer,
  type RouterIdentity,
} from "./gateway_peer.ts";
import type { RouterRecord } from "./fleet_store.ts";
import type { GatewayReport, RouterListing } from "./gateway_report.ts";
import type { PeerIdentity } from "./peer_network.ts";

/**
 * A collector may list a router for this long after the router has left: until the
 * collector is told too, and while its summary is under way.
 */
const LISTED_AFTER_DEPARTURE_MILLISECONDS = 1_000;

/** The known peers of a router. */
export class GatewayPeers {
  readonly #ownAddress: SocketAddress;
  readonly #now: () => number;
  readonly #peers = new Map<SocketAddress, GatewayPeer>();
  #listingVersion = 0;

  constructor(ownAddress: SocketAddress, now: () => number) {
    this.#ownAddress = ownAddress;
    this.#now = now;
  }

  /** Incremented when a router leaves or is lost, or starts or stops serving or watching. */
  get listingVersion(): number {
    return this.#listingVersion;
  }

  get size(): number {
    return this.#peers.size;
  }

  all(): Iterable<GatewayPeer> {
    return this.#peers.values();
  }

  /**
   * Adds a peer with the identity that others report. Returns undefined for
   * this router's own address.
   */
  add(address: SocketAddress, name?: RouterIdentity): GatewayPeer | undefined {
    if (address === this.#ownAddress) return undefined;
    let peer = this.#peers.get(address);
    if (!peer) {
      peer = createGatewayPeer(address, this.#now());
      this.#peers.set(address, peer);
    }
    // The identity that a router reports itself takes precedence.
    if (name && !peer.identity) {
      peer.name = { host: name.host, dataCentre: name.dataCentre };
    }
    return peer;
  }

  /** Adds a router that is registered in the store. */
  addRegistered({ address, capacity, ...name }: RouterRecord): void {
    const peer = this.add(address, name);
    if (peer) peer.registeredCapacity = capacity;
  }

  /** Records a report from a peer; returns whether the peer has just joined. */
  recordReport(
    peer: GatewayPeer,
    report: GatewayReport,
    from: PeerIdentity,
  ): boolean {
    const isNew = peer.identity?.incarnation !== from.incarnation ||
      !peer.report;
    peer.identity = from;
    peer.name = from;
    peer.departure = undefined;
    peer.report = report;
    peer.directAt = this.#now();
    if (!report.summary) peer.reportedAsMemberAt = peer.directAt;
    peer.unansweredSince = undefined;
    const { address, host, dataCentre } = from;
    const { callerAddress, isServing, isWatching, busyShare, capacity } =
      report;
    this.#updateListing(peer, {
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
      const listed = this.add(listing.address, listing);
      if (listed) this.#updateListing(listed, listing);
    }
    return isNew;
  }

  /** Records that this router started or stopped serving. */
  recordOwnChange(): void {
    this.#listingVersion++;
  }

  /** Clears the report and listing of a silent or unlisted peer. */
  markLost(peer: GatewayPeer): void {
    peer.report = undefined;
    peer.listing = undefined;
    this.#listingVersion++;
  }

  /** Clears what is known of the incarnation of a peer that has left. */
  markLeft(peer: GatewayPeer, incarnation: IncarnationId): void {
    this.markLost(peer);
    peer.departure = { incarnation, at: this.#now() };
    peer.hasServed = false;
    peer.directAt = Number.NEGATIVE_INFINITY;
    peer.reportedAsMemberAt = Number.NEGATIVE_INFINITY;
  }

  get(address: SocketAddress): GatewayPeer | undefined {
    return this.#peers.get(address);
  }

  remove(peer: GatewayPeer): void {
    this.#peers.delete(peer.address);
  }

  /** Updates the listing of a peer unless a newer one is known. */
  #updateListing(peer: GatewayPeer, listing: RouterListing): void {
    const heardAt = this.#now() - listing.ageMilliseconds;
    if (heardAt < peer.heardAt || _precedesDeparture(peer, heardAt)) return;
    peer.departure = undefined;
    const { listing: known } = peer;
    const hasChanged = known?.isServing !== listing.isServing ||
      known.isWatching !== listing.isWatching;
    if (hasChanged) this.#listingVersion++;
    peer.heardAt = heardAt;
    peer.listing = listing;
    peer.hasServed = listing.isServing;
  }
}

/** Whether a listing may still describe the incarnation that has left. */
function _precedesDeparture(
  { departure }: GatewayPeer,
  heardAt: number,
): boolean {
  return departure !== undefined &&
    heardAt < departure.at + LISTED_AFTER_DEPARTURE_MILLISECONDS;
}
