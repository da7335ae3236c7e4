/**
 * The memory of model servers, in tokens. A request holds its prompt and its output
 * until it ends; a server that is asked to hold more than its memory crashes. A router
 * knows its own requests. Those of other routers are reported as numbers, some time
 * after they were sent, so their tokens are estimated.
 */
import type { ServiceId } from "../gateway_configuration.ts";
import { hash32, HASH_RANGE } from "../hash32.ts";
import type { BackendServerId } from "../ids.ts";
import { sharedPartsOf } from "../prompt_directory.ts";
import {
  type IncarnationKey,
  incarnationKeyOf,
} from "../server_incarnations.ts";
import type { RegisteredServer } from "../server_registry.ts";
import { type HeldRequest, RecentRequests } from "./recent_requests.ts";

/** Part of the memory that stays free for what is not known. */
const MARGIN_RATIO = 0.1;
/**
 * Time after which other routers know of a request: reports pass through collectors
 * before they are received, so they are older than their receipt.
 */
const MINIMUM_UNSEEN_MILLISECONDS = 500;
/** Counts of routers that do not report expire after this time. */
const MAXIMUM_UNSEEN_MILLISECONDS = 3_000;
/**
 * Routers with the same figures prefer the same servers, so a server may get this many
 * times its part of what all of them add.
 */
const HERD_FACTOR = 8;
/**
 * The number of routers that get a turn at a server varies at random. This many standard
 * deviations above the mean still fit into its free memory.
 */
const TURN_DEVIATIONS = 4;
/** Mean number of routers that get a turn where hardly more than one request fits. */
const LEAST_TURNS = 0.05;

/** What the estimate needs to know. */
export interface ServerMemorySources {
  /** Name of this router, by which its turns differ from those of others. */
  readonly self: string;
  /** Tokens that the memory of one server of a service holds; undefined: unlimited. */
  tokensOf(service: ServiceId): number | undefined;
  /** Whether servers crash beyond their memory, rather than put requests back. */
  isBinding(): boolean;
  inFlight(server: BackendServerId): number;
  ownInFlight(server: BackendServerId): number;
  /** Number of routers that share the servers, at least 1. */
  sharingRouters(): number;
  /** Number of servers of a service that take requests. */
  serversOf(service: ServiceId): number;
  /** Age of the oldest figures about other routers. */
  loadAgeMilliseconds(now: number): number;
}

interface _HeldPart {
  readonly tokens: number;
  requests: number;
}

/** What requests of this router hold at one server. */
interface _Holding {
  tokens: number;
  requests: number;
  readonly parts: Map<string, _HeldPart>;
}

interface _Change {
  readonly at: number;
  readonly tokens: number;
}

/** A figure that is the same for all servers at one time, so that it is computed once. */
interface _TimedFigure {
  readonly at: number;
  readonly figure: number;
}

/** The requests of this router at one service. */
interface _ServiceUse {
  readonly recent: RecentRequests;
  /** Changes of the held tokens that other routers may not know yet. */
  readonly changes: _Change[];
  /** What the changes amount to at a time; undefined after a change. */
  grown: _TimedFigure | undefined;
}

/** The memory of the servers as one router sees it. */
export class ServerMemory {
  readonly #sources: ServerMemorySources;
  /** By incarnation: a server that has restarted holds nothing. */
  readonly #holdings = new Map<IncarnationKey, _Holding>();
  readonly #services = new Map<ServiceId, _ServiceUse>();
  #unseen: _TimedFigure | undefined;

  constructor(sources: ServerMemorySources) {
    this.#sources = sources;
  }

  /** Whether a request needs more memory than any server of a service may use. */
  isTooLarge(service: ServiceId, { heldTokens }: HeldRequest): boolean {
    return heldTokens > this.#usableTokens(service);
  }

  /** Whether a server can hold a request beside what it holds. */
  hasRoom(
    server: RegisteredServer,
    request: HeldRequest,
    now: number,
  ): boolean {
    const usable = this.#usableTokens(server.service);
    if (usable === Infinity) return true;
    const added = this.#addedTokens(server, request);
    if (this.#fitsInAllSlots(server, request, added)) return true;
    const free = usable - this.#expectedTokens(server, request) - added;
    if (free < 0) return false;
    if (added === 0) return true;
    return this.#mayAdd(server, added, free, now);
  }

  /** Returns the tokens that requests of all routers are expected to hold at a server. */
  heldTokens(server: RegisteredServer): number | undefined {
    return this.#sources.tokensOf(server.service) === undefined
      ? undefined
      : this.#expectedTokens(server, { heldTokens: 0, parts: [] });
  }

  /** Records a request that is sent; returns a function that ends it, once. */
  started(
    server: RegisteredServer,
    request: HeldRequest,
    now: () => number,
  ): () => void {
    const { service } = server;
    if (this.#sources.tokensOf(service) === undefined) return () => undefined;
    const use = this.#useOf(service);
    use.recent.add(request);
    const added = this.#hold(server, request);
    this.#recordChange(use, added, now());
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      this.#recordChange(use, -this.#release(server, request), now());
    };
  }

  #usableTokens(service: ServiceId): number {
    const tokens = this.#sources.tokensOf(service);
    if (tokens === undefined || !this.#sources.isBinding()) return Infinity;
    return tokens * (1 - MARGIN_RATIO);
  }

  /**
   * Whether a server has memory for as many requests as it runs, so that its slots
   * bound what it holds.
   */
  #fitsInAllSlots(
    server: RegisteredServer,
    request: HeldRequest,
    added: number,
  ): boolean {
    const { recent } = this.#useOf(server.service);
    const slots = Math.max(1, server.slots);
    const usual = recent.expectedTokens(slots, () => false, added);
    const worst = Math.max(usual, slots * added) + request.heldTokens;
    const holding = this.#holdings.get(incarnationKeyOf(server));
    return worst + (holding?.tokens ?? 0) <=
      this.#usableTokens(server.service);
  }

  /** Tokens that a request adds to what this router's requests hold. */
  #addedTokens(server: RegisteredServer, request: HeldRequest): number {
    const holding = this.#holdings.get(incarnationKeyOf(server));
    let added = request.heldTokens;
    if (!holding) return added;
    for (const { id, tokens } of sharedPartsOf(request.parts)) {
      if (holding.parts.has(id)) added -= tokens;
    }
    return Math.max(0, added);
  }

  /** Tokens that requests hold; the parts of `request` are not counted for others. */
  #expectedTokens(server: RegisteredServer, request: HeldRequest): number {
    const holding = this.#holdings.get(incarnationKeyOf(server));
    const { id, slots } = server;
    const ownRequests = this.#sources.ownInFlight(id);
    // Requests in a server's queue hold nothing yet.
    const others = Math.min(
      this.#sources.inFlight(id) - ownRequests,
      Math.max(1, slots) - ownRequests,
    );
    const own = holding?.tokens ?? 0;
    if (others <= 0) return own;
    const { recent } = this.#useOf(server.service);
    return own + recent.expectedTokens(
      others,
      (part) =>
        holding?.parts.has(part) === true ||
        request.parts.some((other) => other.id === part),
      request.heldTokens,
    );
  }

  /**
   * Whether a request may be added to a server that has room by the figures. All
   * routers act on the same old figures, and a burst reaches all of them. So each
   * assumes that the others add as much to the service as it does. Where the part of one
   * server does not fit, the routers take turns at it, at random and with one request
   * each.
   */
  #mayAdd(
    server: RegisteredServer,
    added: number,
    free: number,
    now: number,
  ): boolean {
    const routers = Math.max(1, this.#sources.sharingRouters());
    if (routers === 1) return true;
    const grown = this.#grownTokens(server.service, now);
    const servers = Math.max(1, this.#sources.serversOf(server.service));
    const herd = Math.min(HERD_FACTOR, servers);
    const addedByOthers = (routers - 1) * (grown + added) * herd / servers;
    if (addedByOthers <= free) return true;
    if (grown > 0) return false;
    return this.#turnOf(server, now) < _turnsThatFit(free / added) / routers;
  }

  /** Returns a number from 0 to 1 that changes with each turn. */
  #turnOf(server: RegisteredServer, now: number): number {
    const turn = Math.floor(now / this.#unseenMilliseconds(now));
    const key = incarnationKeyOf(server);
    return hash32(`${this.#sources.self}\0${key}\0${turn}`) / HASH_RANGE;
  }

  /** Time within which requests may have been sent that no figure includes yet. */
  #unseenMilliseconds(now: number): number {
    if (this.#unseen?.at === now) return this.#unseen.figure;
    const figure = Math.min(
      MAXIMUM_UNSEEN_MILLISECONDS,
      Math.max(
        MINIMUM_UNSEEN_MILLISECONDS,
        this.#sources.loadAgeMilliseconds(now),
      ),
    );
    this.#unseen = { at: now, figure };
    return figure;
  }

  /** Tokens that requests of this router hold now and that others may not know of. */
  #grownTokens(service: ServiceId, now: number): number {
    const use = this.#useOf(service);
    if (use.grown?.at === now) return use.grown.figure;
    const { changes } = use;
    const since = now - this.#unseenMilliseconds(now);
    let tokens = 0;
    for (let index = changes.length - 1; index >= 0; index--) {
      const change = changes[index] as _Change;
      if (change.at <= since) break;
      tokens += change.tokens;
    }
    use.grown = { at: now, figure: Math.max(0, tokens) };
    return use.grown.figure;
  }

  #recordChange(use: _ServiceUse, tokens: number, now: number): void {
    if (tokens === 0) return;
    const { changes } = use;
    use.grown = undefined;
    changes.push({ at: now, tokens });
    const since = now - MAXIMUM_UNSEEN_MILLISECONDS;
    while (changes[0] && changes[0].at <= since) changes.shift();
  }

  #hold(server: RegisteredServer, request: HeldRequest): number {
    const key = incarnationKeyOf(server);
    const added = this.#addedTokens(server, request);
    const holding = this.#holdings.get(key) ??
      { tokens: 0, requests: 0, parts: new Map<string, _HeldPart>() };
    this.#holdings.set(key, holding);
    holding.tokens += added;
    holding.requests++;
    for (const { id, tokens } of sharedPartsOf(request.parts)) {
      const part = holding.parts.get(id) ?? { tokens, requests: 0 };
      part.requests++;
      holding.parts.set(id, part);
    }
    return added;
  }

  /** Returns the tokens that become free: other requests still hold shared parts. */
  #release(server: RegisteredServer, request: HeldRequest): number {
    const key = incarnationKeyOf(server);
    const holding = this.#holdings.get(key);
    if (!holding) return 0;
    for (const { id } of sharedPartsOf(request.parts)) {
      const part = holding.parts.get(id);
      if (part && --part.requests === 0) holding.parts.delete(id);
    }
    const released = this.#addedTokens(server, request);
    holding.tokens = Math.max(0, holding.tokens - released);
    if (--holding.requests === 0) this.#holdings.delete(key);
    return released;
  }

  #useOf(service: ServiceId): _ServiceUse {
    let use = this.#services.get(service);
    if (!use) {
      use = { recent: new RecentRequests(), changes: [], grown: undefined };
      this.#services.set(service, use);
    }
    return use;
  }
}

/**
 * Returns how many routers may get a turn on average, so that their number exceeds the
 * requests that fit only by more than the deviations.
 */
function _turnsThatFit(requests: number): number {
  const half = TURN_DEVIATIONS / 2;
  const root = Math.sqrt(requests + half ** 2) - half;
  return Math.max(LEAST_TURNS, root ** 2);
}

/** Creates a memory in which no request of this router holds anything. */
export function createServerMemory(sources: ServerMemorySources): ServerMemory {
  return new ServerMemory(sources);
}
