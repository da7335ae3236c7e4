/**
 * The rate limits that backend servers named in their responses, and this
 * router's part in keeping them.
 *
 * A limit holds for the incarnation that named it, until one of its responses
 * names none. The newest observation of any router decides; of two that are
 * about equally new, the stricter one, because the next response corrects it.
 */
import { evictOldest } from "../bounded_map.ts";
import { decideRateLimitShare } from "./rate_limit_shares.ts";
import {
  type IncarnationKey,
  incarnationKeyOf,
} from "../server_incarnations.ts";
import type { RegisteredServer } from "../server_registry.ts";
import { type ObservedFleet, SharedRates } from "./shared_rates.ts";

/** Beyond this number, the oldest limits are forgotten. */
const MAXIMUM_LIMITS = 4_096;
/** Limits that differ by less than this part are not announced again. */
const ANNOUNCED_CHANGE_RATIO = 0.1;
/** Observations of two routers closer than this cannot be put in order. */
const ORDER_TOLERANCE_MILLISECONDS = 300;
/** Time for which a free request is left to more urgent requests. */
const URGENT_ONLY_MILLISECONDS = 100;
/** More urgent requests are expected for this long after the last. */
const URGENT_DEMAND_MILLISECONDS = 1_000;

/** What a response said about the server's limit. */
export type RateLimitHeader =
  | { readonly kind: "named"; readonly requestsPerSecond: number }
  | { readonly kind: "none" }
  /** The value cannot be read, so it says nothing. */
  | { readonly kind: "malformed" };

/** Where the newest observation of a limit came from. */
export type RateLimitSource = "response" | "peer";

/** A limit, or its end, as routers announce it to each other. */
export interface RateLimitNotice {
  readonly incarnation: IncarnationKey;
  /** Undefined if the server named no limit any more. */
  readonly requestsPerSecond: number | undefined;
  /** When a router observed it, in monotonic milliseconds of this router. */
  readonly observedAt: number;
}

/** A limit that holds now, for logs, metrics and the state dump. */
export interface ActiveRateLimit {
  readonly requestsPerSecond: number;
  readonly sharePerSecond: number;
  readonly ageMilliseconds: number;
}

/** A change of a server's limit, for the log. */
export interface RateLimitChange {
  readonly incarnation: IncarnationKey;
  readonly requestsPerSecond: number | undefined;
  readonly source: RateLimitSource;
  readonly ageMilliseconds: number;
}

/** Callbacks for events that are logged. */
export interface ServerRateLimitsOptions {
  readonly onChange?: (change: RateLimitChange) => void;
}

interface _Limit {
  readonly incarnation: IncarnationKey;
  requestsPerSecond: number | undefined;
  observedAt: number;
  /** What was announced last, and its place in the order of announcements. */
  announced: number | undefined;
  sequence: number;
}

function _differ(left: number | undefined, right: number | undefined): boolean {
  if (left === undefined || right === undefined) return left !== right;
  const tolerated = ANNOUNCED_CHANGE_RATIO * Math.max(left, right);
  return Math.abs(left - right) > tolerated;
}

function _isStricter(
  left: number | undefined,
  right: number | undefined,
): boolean {
  return (left ?? Infinity) < (right ?? Infinity);
}

/** The rate limits of backend servers as one router knows them. */
export class ServerRateLimits {
  readonly #options: ServerRateLimitsOptions;
  readonly #limits = new Map<IncarnationKey, _Limit>();
  readonly #shares = new SharedRates({
    decideShare: decideRateLimitShare,
    maximumServers: MAXIMUM_LIMITS,
  });
  #nextSequence = 0;
  /** When a request of an urgency last wanted to go to a limited server. */
  readonly #demands = new Map<number, number>();

  constructor(options: ServerRateLimitsOptions = {}) {
    this.#options = options;
  }

  /**
   * Updates the view of the fleet. Called several times a second while this
   * router serves, and with `undefined` while it does not.
   */
  updateView(view: ObservedFleet | undefined, now: number): void {
    this.#shares.updateView(view, now);
  }

  /** Records what a response of a server said about its limit. */
  recordResponse(
    server: RegisteredServer,
    header: RateLimitHeader,
    now: number,
  ): void {
    if (header.kind === "malformed") return;
    const incarnation = incarnationKeyOf(server);
    const known = this.#limits.get(incarnation);
    if (header.kind === "none") {
      if (known) this.#set(known, undefined, now, "response", now);
      return;
    }
    const limit = known ?? this.#add(incarnation);
    this.#set(limit, header.requestsPerSecond, now, "response", now);
  }

  /** Applies a peer's notice, or announces what is known to be newer. */
  addPeerNotice(notice: RateLimitNotice, now: number): void {
    const { incarnation, requestsPerSecond, observedAt } = notice;
    const known = this.#limits.get(incarnation);
    if (!known) {
      const limit = this.#add(incarnation);
      return this.#set(limit, requestsPerSecond, observedAt, "peer", now);
    }
    if (!_differ(requestsPerSecond, known.requestsPerSecond)) {
      known.observedAt = Math.max(known.observedAt, observedAt);
      return;
    }
    const newerBy = observedAt - known.observedAt;
    const applies = Math.abs(newerBy) < ORDER_TOLERANCE_MILLISECONDS
      ? _isStricter(requestsPerSecond, known.requestsPerSecond)
      : newerBy > 0;
    if (applies) this.#set(known, requestsPerSecond, observedAt, "peer", now);
    else this.#announce(known);
  }

  /** Returns the limit of a server; undefined if it has none now. */
  limitOf(server: RegisteredServer, now: number): ActiveRateLimit | undefined {
    if (this.#limits.size === 0) return undefined;
    const limit = this.#limits.get(incarnationKeyOf(server));
    if (limit?.requestsPerSecond === undefined) return undefined;
    return {
      requestsPerSecond: limit.requestsPerSecond,
      sharePerSecond: this.#shares.shareOf(limit.incarnation),
      ageMilliseconds: now - limit.observedAt,
    };
  }

  /**
   * Time until this router may send a request of an urgency (0 is the most
   * urgent) to a server: 0 if it may now, infinite if only others may.
   */
  waitMilliseconds(
    server: RegisteredServer,
    urgency: number,
    now: number,
  ): number {
    if (this.#limits.size === 0) return 0;
    const limit = this.#limits.get(incarnationKeyOf(server));
    if (limit?.requestsPerSecond === undefined) return 0;
    const availableAt = this.#shares.availableAt(limit.incarnation, now);
    if (availableAt === Infinity) return Infinity;
    this.#demands.set(urgency, now);
    const delay = this.#hasMoreUrgent(urgency, now)
      ? URGENT_ONLY_MILLISECONDS
      : 0;
    return Math.max(0, availableAt + delay - now);
  }

  #hasMoreUrgent(urgency: number, now: number): boolean {
    for (const [other, demandedAt] of this.#demands) {
      if (other >= urgency) continue;
      if (now - demandedAt < URGENT_DEMAND_MILLISECONDS) return true;
    }
    return false;
  }

  /** Counts a request that is sent to a server. */
  recordSent(server: RegisteredServer, now: number): void {
    if (this.#limits.size === 0) return;
    this.#shares.recordSent(incarnationKeyOf(server), now);
  }

  /** Sequence number of the next announcement. */
  get nextSequence(): number {
    return this.#nextSequence;
  }

  /** Returns the newest announcement of each server, from a number on. */
  announcementsSince(sequence: number): RateLimitNotice[] {
    if (sequence >= this.#nextSequence) return [];
    return [...this.#limits.values()]
      .filter((limit) => limit.sequence >= sequence)
      .map(({ incarnation, requestsPerSecond, observedAt }) => ({
        incarnation,
        requestsPerSecond,
        observedAt,
      }));
  }

  #add(incarnation: IncarnationKey): _Limit {
    const limit: _Limit = {
      incarnation,
      requestsPerSecond: undefined,
      observedAt: Number.NEGATIVE_INFINITY,
      announced: undefined,
      sequence: -1,
    };
    this.#limits.set(incarnation, limit);
    evictOldest(this.#limits, MAXIMUM_LIMITS);
    return limit;
  }

  #set(
    limit: _Limit,
    requestsPerSecond: number | undefined,
    observedAt: number,
    source: RateLimitSource,
    now: number,
  ): void {
    limit.requestsPerSecond = requestsPerSecond;
    limit.observedAt = observedAt;
    this.#shares.set(limit.incarnation, requestsPerSecond, now);
    const isUnannounced = limit.sequence < 0;
    if (!isUnannounced && !_differ(limit.announced, requestsPerSecond)) return;
    this.#announce(limit);
    const { incarnation } = limit;
    const ageMilliseconds = now - observedAt;
    this.#options.onChange?.({
      incarnation,
      requestsPerSecond,
      source,
      ageMilliseconds,
    });
  }

  #announce(limit: _Limit): void {
    limit.announced = limit.requestsPerSecond;
    limit.sequence = this.#nextSequence++;
  }
}

/** Creates a `ServerRateLimits` without limits. */
export function createServerRateLimits(
  options: ServerRateLimitsOptions = {},
): ServerRateLimits {
  return new ServerRateLimits(options);
}
