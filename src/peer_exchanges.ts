/**
 * What routers tell each other alongside reports, in messages of its own: limits of
 * backend servers and evacuated data centres.
 */
import {
  EvacuationExchange,
  type EvacuationExchangeOptions,
} from "./evacuation_exchange.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import type { PeerIdentity, PeerMessageKind } from "./peer_network.ts";
import {
  RateLimitExchange,
  type RateLimitExchangeOptions,
} from "./rate_limit_exchange.ts";

/** Dependencies of the exchanges. */
export interface PeerExchangesOptions
  extends
    Omit<RateLimitExchangeOptions, "onMalformed">,
    Omit<EvacuationExchangeOptions, "onMalformed"> {
  /** Called for a message with a malformed body. */
  readonly onMalformed: (from: PeerIdentity, kind: PeerMessageKind) => void;
}

/** The exchanges of one router. */
export class PeerExchanges {
  readonly #rateLimits: RateLimitExchange;
  readonly #evacuations: EvacuationExchange;

  constructor(options: PeerExchangesOptions) {
    const { onMalformed } = options;
    this.#rateLimits = new RateLimitExchange({
      ...options,
      onMalformed: (from) => onMalformed(from, "gateway.rate_limits"),
    });
    this.#evacuations = new EvacuationExchange({
      ...options,
      onMalformed: (from) => onMalformed(from, "gateway.evacuations"),
    });
  }

  /** Updates the view of the fleet by which limits are shared. */
  updateView(): void {
    this.#rateLimits.updateView();
  }

  /** Sends a peer what it has not been told yet. */
  send(peer: GatewayPeer): void {
    this.#rateLimits.send(peer);
    this.#evacuations.send(peer);
  }

  /** Forgets what a peer was told, because it has started or returned. */
  restart(peer: GatewayPeer): void {
    this.#rateLimits.restart(peer);
    this.#evacuations.restart(peer);
  }
}
