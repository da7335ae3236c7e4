/** Marks peers that have fallen silent as lost, and forgets them later. */
import type { SocketAddress } from "./core/ids.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import type { GatewayReport } from "./gateway_report.ts";
import type { GatewayPeers } from "./gateway_peers.ts";
import type { PeerNetwork } from "./peer_network.ts";
import type { ReportHierarchy } from "./report_hierarchy.ts";
import type { RouterDiscovery } from "./router_discovery.ts";

/** A silent peer that is not a seed is removed after this time. */
const PEER_EXPIRY_MILLISECONDS = 30_000;

/** Options of {@link PeerSilence}. */
export interface PeerSilenceOptions {
  readonly network: PeerNetwork;
  readonly log: DecisionLog;
  readonly seeds: readonly SocketAddress[];
  readonly peers: GatewayPeers;
  readonly hierarchy: ReportHierarchy;
  readonly discovery: RouterDiscovery;
  /** Number of routers that are not silent, including this one. */
  readonly liveRouters: () => number;
  /** The monotonic time in milliseconds. */
  readonly now: () => number;
}

/** Follows which peers of one router are silent. */
export class PeerSilence {
  readonly #options: PeerSilenceOptions;

  constructor(options: PeerSilenceOptions) {
    this.#options = options;
  }

  /** Marks silent peers as lost and removes those that stay silent. */
  update(now: number): void {
    for (const peer of [...this.#options.peers.all()]) {
      if (this.#options.hierarchy.isSilent(peer)) this.#handle(peer, now);
    }
  }

  /** Marks peers as lost that a collector no longer lists. */
  markUnlisted(from: GatewayPeer, { summary }: GatewayReport): void {
    if (!summary) return;
    const { peers, hierarchy } = this.#options;
    for (const peer of peers.all()) {
      if (hierarchy.isUnlisted(peer, from, summary)) this.#markLost(peer);
    }
  }

  #handle(peer: GatewayPeer, now: number): void {
    const { peers, seeds, hierarchy, discovery, liveRouters } = this.#options;
    if (peer.listing) this.#markLost(peer);
    const since = Math.max(peer.heardAt, peer.createdAt);
    const isSeed = seeds.includes(peer.address);
    if (now - since <= PEER_EXPIRY_MILLISECONDS || isSeed) return;
    peers.remove(peer);
    // A router that hears only a few peers is probably disconnected itself.
    const hearsMost = liveRouters() * 2 > peers.size;
    if (hearsMost && hierarchy.isMostPreferred()) {
      discovery.remove(peer.address);
    }
  }

  #markLost(peer: GatewayPeer): void {
    const { network, log, peers, now } = this.#options;
    peers.markLost(peer);
    log.write("peer.lost", {
      peer: peer.name?.host,
      address: peer.address,
      silentMilliseconds: Math.round(now() - peer.heardAt),
    });
    network.reset(peer.address);
  }
}
