/**
 * Tells peers the rate limits that backend servers name in responses and which
 * servers may have become cold, and keeps the view of the fleet by which routers
 * share the limits of both. Every router passes on what it learns once, so that
 * it outlives the router that was told.
 */
import { z } from "zod";
import type { ColdMark } from "./core/load_control/cold_marks.ts";
import { hash32 } from "./core/hash32.ts";
import type { SocketAddress } from "./core/ids.ts";
import type { FleetMember } from "./core/load_control/rate_limit_shares.ts";
import type {
  RateLimitNotice,
  ServerRateLimits,
} from "./core/load_control/server_rate_limits.ts";
import type { ServerWarmUp } from "./core/load_control/server_warm_up.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import type { PeerIdentity, PeerNetwork } from "./peer_network.ts";

/** Incarnation, limit in requests per second (none: null) and age in milliseconds. */
const _packedNotice = z.tuple([z.number(), z.number().nullable(), z.number()]);
/** Incarnation, age in milliseconds, routers that passed it on, and who saw it. */
const _packedMark = z.tuple([z.number(), z.number(), z.number(), z.number()]);
const _message = z.object({
  limits: z.array(_packedNotice),
  /** Routers of earlier releases do not send it. */
  cold: z.array(_packedMark).optional(),
});

/** Options of {@link RateLimitExchange}. */
export interface RateLimitExchangeOptions {
  readonly network: PeerNetwork;
  readonly rateLimits: ServerRateLimits;
  readonly warmUp: ServerWarmUp;
  /** Where other routers connect to this router. */
  readonly address: SocketAddress;
  readonly isServing: () => boolean;
  /** All known peers. */
  readonly peers: () => Iterable<GatewayPeer>;
  readonly isSilent: (peer: GatewayPeer) => boolean;
  /** Whether this router watches the registrations. */
  readonly isWatching: () => boolean;
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
    const { rateLimits, warmUp, address, isServing, peers, now } =
      this.#options;
    const isRegistryCurrent = this.#isRegistryCurrent();
    if (!isServing()) {
      rateLimits.updateView(undefined, now());
      return warmUp.updateView(undefined, isRegistryCurrent, now());
    }
    const others = [...peers()]
      .filter(({ hasServed }) => hasServed)
      .map((peer) => this.#toMember(peer));
    const view = { self: address, others };
    rateLimits.updateView(view, now());
    warmUp.updateView(view, isRegistryCurrent, now());
  }

  /** Forgets what a peer was told, because it has started or returned. */
  restart(peer: GatewayPeer): void {
    peer.nextRateLimit = 0;
    peer.nextColdMark = 0;
  }

  /** Sends a peer what it has not been told yet. */
  send(peer: GatewayPeer): void {
    const { network, rateLimits, warmUp, isSilent, now } = this.#options;
    const notices = rateLimits.announcementsSince(peer.nextRateLimit);
    const marks = warmUp.announcementsSince(peer.nextColdMark, now());
    if (notices.length + marks.length === 0) return;
    if (!isSilent(peer)) {
      peer.nextRateLimit = rateLimits.nextSequence;
      peer.nextColdMark = warmUp.nextSequence;
    }
    network.send(peer.address, "gateway.rate_limits", {
      limits: notices.map((notice) => _pack(notice, now())),
      ...(marks.length > 0 && {
        cold: marks.map((mark) => this.#packMark(mark)),
      }),
    });
  }

  /** Whether some router that is heard watches the registrations. */
  #isRegistryCurrent(): boolean {
    const { isWatching, peers, isSilent } = this.#options;
    if (isWatching()) return true;
    for (const peer of peers()) {
      if (peer.listing?.isWatching && !isSilent(peer)) return true;
    }
    return false;
  }

  #packMark(mark: ColdMark): z.infer<typeof _packedMark> {
    const { incarnation, markedAt, hops, origin } = mark;
    const { address, now } = this.#options;
    const age = Math.round(now() - markedAt);
    return [incarnation, age, hops, origin === 0 ? hash32(address) : origin];
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
    this.#receiveMarks(message.data.cold ?? [], now);
  }

  #receiveMarks(
    marks: readonly z.infer<typeof _packedMark>[],
    now: number,
  ): void {
    const { warmUp, address } = this.#options;
    for (const [incarnation, age, hops, origin] of marks) {
      if (origin === hash32(address)) continue;
      const markedAt = now - Math.max(0, age);
      warmUp.addPeerMark({ incarnation, markedAt, hops, origin }, now);
    }
  }
}

function _pack(
  { incarnation, requestsPerSecond, observedAt }: RateLimitNotice,
  now: number,
): z.infer<typeof _packedNotice> {
  return [incarnation, requestsPerSecond ?? null, Math.round(now - observedAt)];
}
