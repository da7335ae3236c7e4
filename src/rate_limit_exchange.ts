/**
 * Tells peers the rate limits that backend servers name in responses, and keeps
 * the view of the fleet by which routers share these limits. Every router passes
 * on what it learns once, so that a limit outlives the router that was told.
 */
import { z } from "zod";
import type { SocketAddress } from "./core/ids.ts";
import type { FleetMember } from "./core/rate_limit_shares.ts";
import type {
  RateLimitNotice,
  ServerRateLimits,
} from "./core/server_rate_limits.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import type { PeerIdentity, PeerNetwork } from "./peer_network.ts";

/** Incarnation, limit in requests per second (none: null) and age in milliseconds. */
const _packedNotice = z.tuple([z.number(), z.number().nullable(), z.number()]);
const _message = z.object({ limits: z.array(_packedNotice) });

/** Options of {@link RateLimitExchange}. */
export interface RateLimitExchangeOptions {
  readonly network: PeerNetwork;
  readonly rateLimits: ServerRateLimits;
  /** Where other routers connect to this router. */
  readonly address: SocketAddress;
  readonly isServing: () => boolean;
  /** All known peers. */
  readonly peers: () => Iterable<GatewayPeer>;
  readonly isSilent: (peer: GatewayPeer) => boolean;
  /** The monotonic time in milliseconds. */
  readonly now: () => number;
  readonly onMalformed: (from: PeerIdentity) => void;
}

/** Exchanges rate limits with the peers of one router. */
export class RateLimitExchange {
  readonly #options: RateLimitExchangeOptions;

  constructor(options: RateLimitExchangeOptions) {
    this.#options = options;
    options.network.handle(
      "gateway.rate_limits",
      (body, from) => this.#receive(body, from),
    );
  }

  /** Updates the view of the fleet by which limits are shared. */
  updateView(): void {
    const { rateLimits, address, isServing, peers, now } = this.#options;
    if (!isServing()) return rateLimits.updateView(undefined, now());
    const others = [...peers()]
      .filter(({ hasServed }) => hasServed)
      .map((peer) => this.#toMember(peer));
    rateLimits.updateView({ self: address, others }, now());
  }

  /** Sends a peer what it has not been told yet. */
  send(peer: GatewayPeer): void {
    const { network, rateLimits, isSilent, now } = this.#options;
    const notices = rateLimits.announcementsSince(peer.nextRateLimit);
    if (notices.length === 0) return;
    if (!isSilent(peer)) peer.nextRateLimit = rateLimits.nextSequence;
    network.send(peer.address, "gateway.rate_limits", {
      limits: notices.map((notice) => _pack(notice, now())),
    });
  }

  #toMember(peer: GatewayPeer): FleetMember {
    const { isSilent, now } = this.#options;
    return {
      address: peer.address,
      isHeard: peer.listing !== undefined && !isSilent(peer),
      silentMilliseconds: now() - peer.heardAt,
    };
  }

  #receive(body: unknown, from: PeerIdentity): void {
    const message = _message.safeParse(body);
    if (!message.success) return this.#options.onMalformed(from);
    const now = this.#options.now();
    for (const [incarnation, limit, age] of message.data.limits) {
      this.#options.rateLimits.addPeerNotice({
        incarnation,
        requestsPerSecond: limit ?? undefined,
        observedAt: now - Math.max(0, age),
      }, now);
    }
  }
}

function _pack(
  { incarnation, requestsPerSecond, observedAt }: RateLimitNotice,
  now: number,
): z.infer<typeof _packedNotice> {
  return [incarnation, requestsPerSecond ?? null, Math.round(now - observedAt)];
}
