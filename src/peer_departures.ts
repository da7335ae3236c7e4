/**
 * Planned departures of routers. A router says in its last message that it leaves,
 * after its last request. Its peers then forget its loads and its listing at once,
 * which a silence would leave in place until it is long enough. If the message is
 * lost, the router counts as silent.
 */
import type { FleetLoad } from "./core/load_control/fleet_load.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import type { GatewayPeers } from "./gateway_peers.ts";
import type { PeerIdentity, PeerNetwork } from "./peer_network.ts";
import type { ReportHierarchy } from "./report_hierarchy.ts";

/** Options of {@link PeerDepartures}. */
export interface PeerDeparturesOptions {
  readonly network: PeerNetwork;
  readonly log: DecisionLog;
  readonly load: FleetLoad;
  readonly peers: GatewayPeers;
  readonly hierarchy: ReportHierarchy;
}

/** The departures of one router and its peers. */
export class PeerDepartures {
  readonly #options: PeerDeparturesOptions;

  constructor(options: PeerDeparturesOptions) {
    this.#options = options;
    options.network.handle(
      "gateway.leaving",
      (_body, from) => this.#receive(from),
    );
  }

  /** Tells the peers that get reports from this router that it leaves. */
  announceOwn(): void {
    const { network, peers, hierarchy } = this.#options;
    for (const peer of peers.all()) {
      if (hierarchy.payloadFor(peer) === undefined) continue;
      if (hierarchy.isSilent(peer)) continue;
      network.send(peer.address, "gateway.leaving", {});
    }
  }

  /** Whether a message is from an incarnation that has already left. */
  hasLeft({ departure }: GatewayPeer, { incarnation }: PeerIdentity): boolean {
    return departure?.incarnation === incarnation;
  }

  #receive(from: PeerIdentity): void {
    const { log, load, peers } = this.#options;
    const peer = peers.get(from.address);
    // A later incarnation may have started before the message arrived.
    if (!peer?.listing || peer.identity?.incarnation !== from.incarnation) {
      return;
    }
    load.forgetReport(from.host);
    peers.markLeft(peer, from.incarnation);
    log.write("peer.left", {
      peer: from.host,
      address: from.address,
      incarnation: from.incarnation,
    });
  }
}
