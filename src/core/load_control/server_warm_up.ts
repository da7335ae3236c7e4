/**
 * Decides which backend servers count as cold, that is as just started, and how
 * many requests this router may send them. A server is cold while its
 * registration says so, and from when a router finds reason to believe that it
 * has become cold until its registration proves otherwise.
 */
import { type ColdMark, ColdMarks } from "./cold_marks.ts";
import { createFleetMemory } from "./fleet_memory.ts";
import type { ServiceId } from "../gateway_configuration.ts";
import type { BackendServerId } from "../ids.ts";
import { decideWarmUpShare, type WarmUpBound } from "./rate_limit_shares.ts";
import {
  type IncarnationKey,
  incarnationKeyOf,
} from "../server_incarnations.ts";
import { createResponseGaps, type ResponseGaps } from "./response_gaps.ts";
import type { RegisteredServer } from "../server_registry.ts";
import { type ObservedFleet, SharedRates } from "./shared_rates.ts";
import { decideRampLimit } from "./warm_up_ramp.ts";

export type { WarmUpBound } from "./rate_limit_shares.ts";

/** Beyond this number of servers, the oldest are forgotten. */
const MAXIMUM_SERVERS = 20_000;
/**
 * Time for which a share that passes to this router stays unused: the window of
 * the bound, and the time for which views of routers may differ.
 */
export const TAKEOVER_MILLISECONDS = 1_500;
/**
 * Time after which the registration of a server that was marked reflects whether
 * it is cold: it is up to 1.2 s late, and its change reaches routers after that.
 */
export const PROOF_MILLISECONDS = 2_500;
const DEFAULT_BOUND: WarmUpBound = { factor: 1.5, slack: 5 };

/** How fast servers of a service may get requests after their start. */
export interface WarmUpRate {
  readonly requestsPerSecond: number;
  /** Time for which a server is cold after its start. */
  readonly warmUpMilliseconds: number;
}

/** Why a server counts as cold. */
export type ColdCause =
  | "registration"
  /** It runs under the id of an earlier incarnation. */
  | "restarted"
  /** It was unreachable or did not respond. */
  | "returned"
  | "evacuation_ended"
  /** Another router marked it. */
  | "peer";

/** Whether a limit applies in full or is being raised. */
export type WarmUpPhase = "cold" | "ramping";

/** A limited server, for logs, metrics and the state dump. */
export interface ColdServer {
  readonly server: BackendServerId;
  readonly phase: WarmUpPhase;
  readonly cause: ColdCause;
  readonly requestsPerSecond: number;
  readonly sharePerSecond: number;
}

/** Options of {@link ServerWarmUp}. */
export interface ServerWarmUpOptions {
  readonly bound?: WarmUpBound;
  readonly onCold?: (server: RegisteredServer, cause: ColdCause) => void;
  /** Called when the limit of a server ends. */
  readonly onWarm?: (server: RegisteredServer, milliseconds: number) => void;
}

interface _Entry {
  readonly incarnation: IncarnationKey;
  server: RegisteredServer;
  rate: WarmUpRate;
  phase: WarmUpPhase | "warm";
  cause: ColdCause;
  coldSince: number;
  rampingSince: number;
  /** Until when it is cold by its registration. */
  statedUntil: number;
  markedAt: number;
  readonly responses: ResponseGaps;
}

/** The servers that count as cold, as one router knows them. */
export class ServerWarmUp {
  readonly #options: ServerWarmUpOptions;
  /** All servers whose service has a warm-up rate. */
  readonly #entries = new Map<IncarnationKey, _Entry>();
  /** Those that are not warm; looked up with each choice of a server. */
  readonly #limited = new Map<IncarnationKey, _Entry>();
  readonly #marks = new ColdMarks();
  readonly #memory = createFleetMemory();
  readonly #shares: SharedRates;
  /** Since when changes of registrations have been reaching this router. */
  #registryCurrentSince = Number.POSITIVE_INFINITY;

  constructor(options: ServerWarmUpOptions = {}) {
    this.#options = options;
    const bound = options.bound ?? DEFAULT_BOUND;
    this.#shares = new SharedRates({
      decideShare: (server, rate, view) =>
        decideWarmUpShare(server, rate, bound, view),
      takeoverMilliseconds: TAKEOVER_MILLISECONDS,
      maximumServers: MAXIMUM_SERVERS,
    });
  }

  /** Follows the registrations and the rates of their services. */
  update(
    servers: readonly RegisteredServer[],
    rateOf: (service: ServiceId) => WarmUpRate | undefined,
    now: number,
  ): void {
    const previous = new Map(
      [...this.#entries.values()].map(({ server }) => [server.id, server]),
    );
    const kept = new Set<IncarnationKey>();
    for (const server of servers) {
      const rate = rateOf(server.service);
      if (!rate || rate.requestsPerSecond <= 0) continue;
      kept.add(incarnationKeyOf(server));
      this.#follow(server, rate, previous.get(server.id), now);
    }
    for (const incarnation of this.#entries.keys()) {
      if (!kept.has(incarnation)) this.#forget(incarnation);
    }
  }

  /**
   * Updates the view of the fleet, by which rates are shared; undefined while this
   * router does not serve. `isRegistryCurrent` says whether some router that is
   * heard watches the registrations.
   */
  updateView(
    view: ObservedFleet | undefined,
    isRegistryCurrent: boolean,
    now: number,
  ): void {
    const wasPaused = !this.#shares.isCurrent(now);
    if (!isRegistryCurrent) this.#registryCurrentSince = Infinity;
    else if (wasPaused || this.#registryCurrentSince === Infinity) {
      this.#registryCurrentSince = now;
    }
    const others = view && this.#memory.complete(view.others, now);
    this.#shares.updateView(view && others && { ...view, others }, now);
    for (const entry of this.#limited.values()) this.#advance(entry, now);
  }

  /** Treats a server as cold again: it was unreachable, or its data centre was evacuated. */
  markCold(
    server: RegisteredServer,
    cause: "returned" | "evacuation_ended",
    now: number,
  ): void {
    const entry = this.#entryOf(server);
    if (!entry) return;
    const { incarnation } = entry;
    this.#marks.add({ incarnation, origin: 0, markedAt: now, hops: 0 });
    this.#mark(entry, cause, now, now);
  }

  /** Applies the mark of a peer, if others confirm it, and passes it on. */
  addPeerMark(mark: ColdMark, now: number): void {
    const { incarnation, hops } = mark;
    const entry = this.#entries.get(incarnation);
    if (!entry) return;
    const markedAt = Math.min(mark.markedAt, now);
    this.#marks.add({ ...mark, markedAt, hops: hops + 1 });
    if (!this.#marks.isConfirmed(incarnation, markedAt)) return;
    if (entry.responses.hasContinuedSince(markedAt, now)) return;
    this.#mark(entry, "peer", markedAt, now);
  }

  /** Requests per second that the whole fleet may send now; undefined if warm. */
  limitOf(server: RegisteredServer, now: number): number | undefined {
    const entry = this.#limitedEntryOf(server);
    if (!entry) return undefined;
    this.#advance(entry, now);
    return this.#limitOf(entry, now);
  }

  /**
   * Time until this router may send a request to a server: 0 if it may now,
   * infinite if only others may.
   */
  waitMilliseconds(server: RegisteredServer, now: number): number {
    if (this.limitOf(server, now) === undefined) return 0;
    const incarnation = incarnationKeyOf(server);
    return Math.max(0, this.#shares.availableAt(incarnation, now) - now);
  }

  /** Time for which a server has been cold. */
  ageMilliseconds(server: RegisteredServer, now: number): number {
    const entry = this.#limitedEntryOf(server);
    return entry ? now - entry.coldSince : 0;
  }

  /** Counts a request that is sent to a server. */
  recordSent(server: RegisteredServer, now: number): void {
    const entry = this.#limitedEntryOf(server);
    if (entry) this.#shares.recordSent(entry.incarnation, now);
  }

  /** Records that a server responded, with whatever status. */
  recordResponse(server: RegisteredServer, now: number): void {
    this.#entryOf(server)?.responses.recordResponse(now);
  }

  /** Records that a server did not respond. */
  recordNoResponse(server: RegisteredServer, now: number): void {
    this.#entryOf(server)?.responses.recordNoResponse(now);
  }

  /** Marks excluded servers that have stopped responding. */
  reviewExcluded(
    isExcluded: (server: BackendServerId) => boolean,
    now: number,
  ): void {
    for (const { server, responses } of this.#entries.values()) {
      if (responses.isUnresponsive(now) && isExcluded(server.id)) {
        this.markCold(server, "returned", now);
      }
    }
  }

  /** Returns the servers whose limit applies now. */
  coldServers(now: number): ColdServer[] {
    return [...this.#limited.values()].flatMap((entry) => {
      this.#advance(entry, now);
      const requestsPerSecond = this.#limitOf(entry, now);
      const { phase, cause, incarnation, server: { id } } = entry;
      if (phase === "warm" || requestsPerSecond === undefined) return [];
      const sharePerSecond = this.#shares.shareOf(incarnation);
      return [{ server: id, phase, cause, requestsPerSecond, sharePerSecond }];
    });
  }

  /** Sequence number of the next mark to announce. */
  get nextSequence(): number {
    return this.#marks.nextSequence;
  }

  /** Returns the newest marks, from a number on. */
  announcementsSince(sequence: number, now: number): ColdMark[] {
    return this.#marks.announcementsSince(sequence, now);
  }

  /** Without a warm-up rate there are no entries, and nothing is looked up. */
  #entryOf(server: RegisteredServer): _Entry | undefined {
    if (this.#entries.size === 0) return undefined;
    return this.#entries.get(incarnationKeyOf(server));
  }

  #limitedEntryOf(server: RegisteredServer): _Entry | undefined {
    if (this.#limited.size === 0) return undefined;
    return this.#limited.get(incarnationKeyOf(server));
  }

  #follow(
    server: RegisteredServer,
    rate: WarmUpRate,
    previous: RegisteredServer | undefined,
    now: number,
  ): void {
    const incarnation = incarnationKeyOf(server);
    const known = this.#entries.get(incarnation);
    if (!known) return this.#add(server, rate, previous !== undefined, now);
    const hasNewStatement =
      known.server.warmUpMilliseconds !== server.warmUpMilliseconds;
    known.server = server;
    known.rate = rate;
    if (hasNewStatement) known.statedUntil = _statedUntil(server, now);
    if (known.phase === "cold") {
      this.#shares.set(incarnation, rate.requestsPerSecond, now);
    }
    if (now < known.statedUntil) this.#turnCold(known, "registration", now);
    this.#advance(known, now);
  }

  #add(
    server: RegisteredServer,
    rate: WarmUpRate,
    isRestart: boolean,
    now: number,
  ): void {
    const incarnation = incarnationKeyOf(server);
    const entry: _Entry = {
      incarnation,
      server,
      rate,
      phase: "warm",
      cause: "registration",
      coldSince: now,
      rampingSince: now,
      statedUntil: _statedUntil(server, now),
      markedAt: Number.NEGATIVE_INFINITY,
      responses: createResponseGaps(),
    };
    this.#entries.set(incarnation, entry);
    if (isRestart) return this.#mark(entry, "restarted", now, now);
    if (now >= entry.statedUntil) return;
    // No router has sent a new server anything yet, so its share may be used.
    entry.phase = "cold";
    this.#limited.set(incarnation, entry);
    this.#shares.set(incarnation, rate.requestsPerSecond, now);
    this.#options.onCold?.(server, "registration");
  }

  #mark(entry: _Entry, cause: ColdCause, markedAt: number, now: number): void {
    entry.markedAt = Math.max(entry.markedAt, markedAt);
    if (this.#isMarked(entry, now)) this.#turnCold(entry, cause, now);
  }

  #turnCold(entry: _Entry, cause: ColdCause, now: number): void {
    if (entry.phase === "cold") return;
    const { incarnation, server, rate } = entry;
    this.#shares.set(incarnation, rate.requestsPerSecond, now);
    // This router may have sent it many requests within the last second.
    this.#shares.holdUntil(incarnation, now + TAKEOVER_MILLISECONDS);
    this.#limited.set(incarnation, entry);
    entry.phase = "cold";
    entry.cause = cause;
    entry.coldSince = now;
    this.#options.onCold?.(server, cause);
  }

  /** Ends the cold period and the steps after it when they are over. */
  #advance(entry: _Entry, now: number): void {
    const { phase, incarnation } = entry;
    if (phase === "warm") return;
    if (phase === "cold") {
      if (now < entry.statedUntil || this.#isMarked(entry, now)) return;
      entry.phase = "ramping";
      entry.rampingSince = now;
    }
    const limit = this.#limitOf(entry, now);
    this.#shares.set(incarnation, limit, now);
    if (limit !== undefined) return;
    entry.phase = "warm";
    this.#limited.delete(incarnation);
    this.#shares.delete(incarnation);
    this.#options.onWarm?.(entry.server, now - entry.coldSince);
  }

  #limitOf(entry: _Entry, now: number): number | undefined {
    const { phase, rate: { requestsPerSecond }, rampingSince } = entry;
    if (phase === "warm") return undefined;
    if (phase === "cold") return requestsPerSecond;
    return decideRampLimit(requestsPerSecond, now - rampingSince);
  }

  /** Whether a server may be cold although its registration does not say so. */
  #isMarked({ markedAt, rate }: _Entry, now: number): boolean {
    const duration = Math.max(PROOF_MILLISECONDS, rate.warmUpMilliseconds);
    if (now - markedAt >= duration) return false;
    const provenFrom = Math.max(markedAt, this.#registryCurrentSince);
    return !this.#shares.isCurrent(now) ||
      now - provenFrom < PROOF_MILLISECONDS;
  }

  #forget(incarnation: IncarnationKey): void {
    this.#entries.delete(incarnation);
    this.#limited.delete(incarnation);
    this.#marks.delete(incarnation);
    this.#shares.delete(incarnation);
  }
}

function _statedUntil(
  { warmUpMilliseconds }: RegisteredServer,
  now: number,
): number {
  return warmUpMilliseconds > 0
    ? now + warmUpMilliseconds
    : Number.NEGATIVE_INFINITY;
}

/** Creates a `ServerWarmUp` that knows no servers. */
export function createServerWarmUp(
  options: ServerWarmUpOptions = {},
): ServerWarmUp {
  return new ServerWarmUp(options);
}
