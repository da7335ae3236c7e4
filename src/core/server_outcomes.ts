/**
 * Leaves out backend servers that fail requests, judged by the answers that
 * callers got and not by health checks. Routers tell each other their counts.
 *
 * Load pattern: one server fails a part of its requests at once while its
 * health check passes; least-loaded choice then sends it ever more, because a
 * request that fails early frees its place early.
 */
import type { RegisteredServer } from "./server_registry.ts";
import type { BackendServerId } from "./ids.ts";

const BUCKET_MILLISECONDS = 1_000;
const BUCKETS = 3;
/** A server must fail this many requests more than it might by chance. */
const MINIMUM_EXCESS_FAILURES = 3.5;
/** Share of failed requests that no server is left out for. */
const TOLERATED_FAILURE_RATIO = 0.1;
/** A server may fail this many times as often as its service usually does. */
const USUAL_SHARE_FACTOR = 2;
/** Part of a service that may be left out at the same time. */
const MAXIMUM_EXCLUDED_RATIO = 0.4;
/** By then no failure from before the exclusion is within the window. */
const FIRST_EXCLUSION_MILLISECONDS = (BUCKETS + 1) * BUCKET_MILLISECONDS;
const MAXIMUM_EXCLUSION_MILLISECONDS = 16_000;
/** A server that stayed in use for this long starts with the first exclusion. */
const FORGIVENESS_MILLISECONDS = 20_000;
/** A server that refused a connection is left out for this long. */
const UNREACHABLE_MILLISECONDS = 700;
const EVALUATION_PERIOD_MILLISECONDS = 100;

/** Outcomes at one server within the window. */
export interface OutcomeCount {
  readonly server: BackendServerId;
  readonly requests: number;
  readonly failures: number;
}

interface _Bucket {
  number: number;
  requests: number;
  failures: number;
}

interface _Exclusion {
  until: number;
  milliseconds: number;
}

interface _PeerOutcomes {
  readonly receivedAt: number;
  readonly counts: readonly OutcomeCount[];
}

function _shareOf({ requests, failures }: OutcomeCount): number {
  return requests > 0 ? failures / requests : 0;
}

/** A server that is left out, and why. */
export interface ServerExclusion extends OutcomeCount {
  /** Share of failures that the other servers of its service make usual. */
  readonly toleratedShare: number;
  readonly milliseconds: number;
}

/** Options of the outcomes of one router. */
export interface ServerOutcomesOptions {
  /** Called when a server is left out. */
  readonly onExcluded?: (exclusion: ServerExclusion) => void;
}

/** The outcomes at all servers as one router knows them. */
export class ServerOutcomes {
  readonly #options: ServerOutcomesOptions;
  readonly #own = new Map<BackendServerId, _Bucket[]>();
  readonly #peers = new Map<string, _PeerOutcomes>();
  readonly #excluded = new Map<BackendServerId, _Exclusion>();
  readonly #unreachable = new Map<BackendServerId, number>();
  readonly #evaluatedAt = new Map<string, number>();

  constructor(options: ServerOutcomesOptions = {}) {
    this.#options = options;
  }

  /** Counts the outcome of a request. */
  record(server: BackendServerId, failed: boolean, now: number): void {
    const bucket = this.#bucket(server, now);
    bucket.requests++;
    if (failed) bucket.failures++;
  }

  /** Records that a server did not accept a connection. */
  recordUnreachable(server: BackendServerId, now: number): void {
    this.#unreachable.set(server, now + UNREACHABLE_MILLISECONDS);
  }

  /** Replaces the counts of a peer, or the sum of several under one name. */
  report(peer: string, counts: readonly OutcomeCount[], now: number): void {
    this.#peers.set(peer, { receivedAt: now, counts });
  }

  /** Drops the counts of all peers, because others will report them. */
  forgetReports(): void {
    this.#peers.clear();
  }

  /** This router's counts of servers with failures within the window. */
  ownFailures(now: number): OutcomeCount[] {
    const counts: OutcomeCount[] = [];
    for (const server of this.#own.keys()) {
      const count = this.#ownCount(server, now);
      if (count.failures > 0) counts.push(count);
      else if (count.requests === 0) this.#own.delete(server);
    }
    return counts;
  }

  /** Decides anew which servers of a service are left out; cheap to repeat. */
  evaluate(
    service: string,
    servers: readonly RegisteredServer[],
    now: number,
  ): void {
    const last = this.#evaluatedAt.get(service) ?? Number.NEGATIVE_INFINITY;
    if (now - last < EVALUATION_PERIOD_MILLISECONDS) return;
    this.#evaluatedAt.set(service, now);
    const counts = servers.map(({ id }) => this.#total(id, now));
    const shares = counts.map(_shareOf).sort((left, right) => left - right);
    const usual = shares[Math.floor((shares.length - 1) / 2)] ?? 0;
    const tolerated = Math.max(
      TOLERATED_FAILURE_RATIO,
      USUAL_SHARE_FACTOR * usual,
    );
    let free = Math.floor(servers.length * MAXIMUM_EXCLUDED_RATIO) -
      servers.filter(({ id }) => this.#isFailing(id, now)).length;
    counts.sort((left, right) => _shareOf(right) - _shareOf(left));
    for (const count of counts) {
      if (free <= 0) return;
      const excess = count.failures - tolerated * count.requests;
      if (excess < MINIMUM_EXCESS_FAILURES) continue;
      if (this.#isFailing(count.server, now)) continue;
      const milliseconds = this.#exclude(count.server, now);
      this.#options.onExcluded?.({
        ...count,
        toleratedShare: tolerated,
        milliseconds,
      });
      free--;
    }
  }

  /** Whether a server should get no requests while others can serve them. */
  isExcluded(server: BackendServerId, now: number): boolean {
    return this.#isFailing(server, now) || this.isUnreachable(server, now);
  }

  /** Whether a server refused a connection a moment ago. */
  isUnreachable(server: BackendServerId, now: number): boolean {
    const until = this.#unreachable.get(server);
    if (until === undefined) return false;
    if (now < until) return true;
    this.#unreachable.delete(server);
    return false;
  }

  /** Forgets a server, for example because another process took its id. */
  forget(server: BackendServerId): void {
    this.#own.delete(server);
    this.#excluded.delete(server);
    this.#unreachable.delete(server);
  }

  /** Servers that are left out for failing, for the state dump. */
  excludedServers(now: number): BackendServerId[] {
    return [...this.#excluded.keys()].filter((server) =>
      this.#isFailing(server, now)
    );
  }

  #isFailing(server: BackendServerId, now: number): boolean {
    const exclusion = this.#excluded.get(server);
    return exclusion !== undefined && now < exclusion.until;
  }

  #exclude(server: BackendServerId, now: number): number {
    const last = this.#excluded.get(server);
    const again = last && now - last.until < FORGIVENESS_MILLISECONDS;
    const milliseconds = again
      ? Math.min(MAXIMUM_EXCLUSION_MILLISECONDS, 2 * last.milliseconds)
      : FIRST_EXCLUSION_MILLISECONDS;
    this.#excluded.set(server, { until: now + milliseconds, milliseconds });
    return milliseconds;
  }

  #bucket(server: BackendServerId, now: number): _Bucket {
    const number = Math.floor(now / BUCKET_MILLISECONDS);
    let buckets = this.#own.get(server);
    if (!buckets) {
      buckets = Array.from(
        { length: BUCKETS },
        () => ({ number: -BUCKETS, requests: 0, failures: 0 }),
      );
      this.#own.set(server, buckets);
    }
    const bucket = buckets[number % BUCKETS] as _Bucket;
    if (bucket.number !== number) {
      bucket.number = number;
      bucket.requests = 0;
      bucket.failures = 0;
    }
    return bucket;
  }

  #ownCount(server: BackendServerId, now: number): OutcomeCount {
    const oldest = Math.floor(now / BUCKET_MILLISECONDS) - BUCKETS + 1;
    let [requests, failures] = [0, 0];
    for (const bucket of this.#own.get(server) ?? []) {
      if (bucket.number < oldest) continue;
      requests += bucket.requests;
      failures += bucket.failures;
    }
    return { server, requests, failures };
  }

  #total(server: BackendServerId, now: number): OutcomeCount {
    let { requests, failures } = this.#ownCount(server, now);
    for (const [peer, { receivedAt, counts }] of this.#peers) {
      if (now - receivedAt >= BUCKETS * BUCKET_MILLISECONDS) {
        this.#peers.delete(peer);
        continue;
      }
      const count = counts.find((entry) => entry.server === server);
      requests += count?.requests ?? 0;
      failures += count?.failures ?? 0;
    }
    return { server, requests, failures };
  }
}

/** Creates a view without any outcome. */
export function createServerOutcomes(
  options: ServerOutcomesOptions = {},
): ServerOutcomes {
  return new ServerOutcomes(options);
}
