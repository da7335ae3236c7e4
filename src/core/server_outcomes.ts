/**
 * Outlier detection: excludes backend servers that fail requests, based on the
 * responses that callers got rather than on health checks. Routers exchange
 * their counts.
 *
 * This detects a server that fails part of its requests immediately while its
 * health check passes. Least-loaded balancing sends such a server ever more
 * requests, because a request that fails early frees its slot early.
 */
import type { RegisteredServer } from "./server_registry.ts";
import type { BackendServerId } from "./ids.ts";

const BUCKET_MILLISECONDS = 1_000;
const BUCKET_COUNT = 3;
/**
 * Failures above the tolerated number that exclude a server; fewer may be
 * chance.
 */
const MINIMUM_EXCESS_FAILURES = 3.5;
/** Failure ratio up to which no server is excluded. */
const TOLERATED_FAILURE_RATIO = 0.1;
/** Multiple of the service's median failure ratio that is tolerated. */
const MEDIAN_RATIO_FACTOR = 2;
/** Fraction of a service's servers that may be excluded at the same time. */
const MAXIMUM_EXCLUDED_RATIO = 0.4;
/**
 * Duration of a first exclusion; by its end, failures from before it have left
 * the window.
 */
const FIRST_EXCLUSION_MILLISECONDS = (BUCKET_COUNT + 1) * BUCKET_MILLISECONDS;
const MAXIMUM_EXCLUSION_MILLISECONDS = 16_000;
/**
 * Time since the end of the last exclusion after which the next one is as short
 * as a first.
 */
const BACKOFF_RESET_MILLISECONDS = 20_000;
/** Exclusion time of a server that refused a connection. */
const UNREACHABLE_EXCLUSION_MILLISECONDS = 700;
const EVALUATION_PERIOD_MILLISECONDS = 100;

/** Request counts of one server within the window. */
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

function _failureRatio({ requests, failures }: OutcomeCount): number {
  return requests > 0 ? failures / requests : 0;
}

/** An excluded server, and the counts that caused that. */
export interface ServerExclusion extends OutcomeCount {
  /**
   * Failure ratio that is tolerated, derived from the median of its service.
   */
  readonly toleratedShare: number;
  readonly milliseconds: number;
}

/** Options of a router's outlier detection. */
export interface ServerOutcomesOptions {
  /** Called when a server is excluded. */
  readonly onExcluded?: (exclusion: ServerExclusion) => void;
  /** Called when a server did not accept a connection. */
  readonly onUnreachable?: (server: BackendServerId, now: number) => void;
}

/** The request outcomes of all servers that one router knows of. */
export class ServerOutcomes {
  readonly #options: ServerOutcomesOptions;
  readonly #ownBuckets = new Map<BackendServerId, _Bucket[]>();
  readonly #peerOutcomes = new Map<string, _PeerOutcomes>();
  readonly #excluded = new Map<BackendServerId, _Exclusion>();
  readonly #unreachable = new Map<BackendServerId, number>();
  readonly #evaluatedAt = new Map<string, number>();

  constructor(options: ServerOutcomesOptions = {}) {
    this.#options = options;
  }

  /** Records the outcome of a request. */
  record(server: BackendServerId, failed: boolean, now: number): void {
    const bucket = this.#bucket(server, now);
    bucket.requests++;
    if (failed) bucket.failures++;
  }

  /** Records that a server did not accept a connection. */
  recordUnreachable(server: BackendServerId, now: number): void {
    this.#unreachable.set(server, now + UNREACHABLE_EXCLUSION_MILLISECONDS);
    this.#options.onUnreachable?.(server, now);
  }

  /**
   * Replaces the counts of a peer, or the sum of several peers under one name.
   */
  setPeerCounts(
    peer: string,
    counts: readonly OutcomeCount[],
    now: number,
  ): void {
    this.#peerOutcomes.set(peer, { receivedAt: now, counts });
  }

  /**
   * Drops the counts of all peers, for use when other peers will report them.
   */
  clearPeerCounts(): void {
    this.#peerOutcomes.clear();
  }

  /**
   * Returns this router's counts for servers with failures within the window.
   */
  ownFailures(now: number): OutcomeCount[] {
    const counts: OutcomeCount[] = [];
    for (const server of this.#ownBuckets.keys()) {
      const count = this.#ownCount(server, now);
      if (count.failures > 0) counts.push(count);
      else if (count.requests === 0) this.#ownBuckets.delete(server);
    }
    return counts;
  }

  /** Whether an evaluation of a service would do anything. */
  isDue(service: string, now: number): boolean {
    const last = this.#evaluatedAt.get(service) ?? Number.NEGATIVE_INFINITY;
    return now - last >= EVALUATION_PERIOD_MILLISECONDS;
  }

  /**
   * Updates which servers of a service are excluded. Does nothing within a
   * period of the last evaluation, so repeated calls are cheap.
   */
  evaluate(
    service: string,
    servers: readonly RegisteredServer[],
    now: number,
  ): void {
    if (!this.isDue(service, now)) return;
    this.#evaluatedAt.set(service, now);
    const counts = servers.map(({ id }) => this.#total(id, now));
    const failureRatios = counts.map(_failureRatio).sort((left, right) =>
      left - right
    );
    const medianRatio =
      failureRatios[Math.floor((failureRatios.length - 1) / 2)] ?? 0;
    const toleratedRatio = Math.max(
      TOLERATED_FAILURE_RATIO,
      MEDIAN_RATIO_FACTOR * medianRatio,
    );
    let remainingExclusions =
      Math.floor(servers.length * MAXIMUM_EXCLUDED_RATIO) -
      servers.filter(({ id }) => this.#isFailing(id, now)).length;
    counts.sort((left, right) => _failureRatio(right) - _failureRatio(left));
    for (const count of counts) {
      if (remainingExclusions <= 0) return;
      const excess = count.failures - toleratedRatio * count.requests;
      if (excess < MINIMUM_EXCESS_FAILURES) continue;
      if (this.#isFailing(count.server, now)) continue;
      const milliseconds = this.#exclude(count.server, now);
      this.#options.onExcluded?.({
        ...count,
        toleratedShare: toleratedRatio,
        milliseconds,
      });
      remainingExclusions--;
    }
  }

  /** Whether a server should get requests only if no other can serve them. */
  isExcluded(server: BackendServerId, now: number): boolean {
    return this.#isFailing(server, now) || this.isUnreachable(server, now);
  }

  /** Whether a server recently refused a connection. */
  isUnreachable(server: BackendServerId, now: number): boolean {
    const until = this.#unreachable.get(server);
    if (until === undefined) return false;
    if (now < until) return true;
    this.#unreachable.delete(server);
    return false;
  }

  /** Removes a server, for example because another process took over its id. */
  forget(server: BackendServerId): void {
    this.#ownBuckets.delete(server);
    this.#excluded.delete(server);
    this.#unreachable.delete(server);
  }

  /** Servers that are excluded for failures, for the state dump. */
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
    const isRepeated = last && now - last.until < BACKOFF_RESET_MILLISECONDS;
    const milliseconds = isRepeated
      ? Math.min(MAXIMUM_EXCLUSION_MILLISECONDS, 2 * last.milliseconds)
      : FIRST_EXCLUSION_MILLISECONDS;
    this.#excluded.set(server, { until: now + milliseconds, milliseconds });
    return milliseconds;
  }

  #bucket(server: BackendServerId, now: number): _Bucket {
    const number = Math.floor(now / BUCKET_MILLISECONDS);
    let buckets = this.#ownBuckets.get(server);
    if (!buckets) {
      buckets = Array.from(
        { length: BUCKET_COUNT },
        () => ({ number: -BUCKET_COUNT, requests: 0, failures: 0 }),
      );
      this.#ownBuckets.set(server, buckets);
    }
    const bucket = buckets[number % BUCKET_COUNT] as _Bucket;
    if (bucket.number !== number) {
      bucket.number = number;
      bucket.requests = 0;
      bucket.failures = 0;
    }
    return bucket;
  }

  #ownCount(server: BackendServerId, now: number): OutcomeCount {
    const oldest = Math.floor(now / BUCKET_MILLISECONDS) - BUCKET_COUNT + 1;
    let [requests, failures] = [0, 0];
    for (const bucket of this.#ownBuckets.get(server) ?? []) {
      if (bucket.number < oldest) continue;
      requests += bucket.requests;
      failures += bucket.failures;
    }
    return { server, requests, failures };
  }

  #total(server: BackendServerId, now: number): OutcomeCount {
    let { requests, failures } = this.#ownCount(server, now);
    for (const [peer, { receivedAt, counts }] of this.#peerOutcomes) {
      if (now - receivedAt >= BUCKET_COUNT * BUCKET_MILLISECONDS) {
        this.#peerOutcomes.delete(peer);
        continue;
      }
      const count = counts.find((entry) => entry.server === server);
      requests += count?.requests ?? 0;
      failures += count?.failures ?? 0;
    }
    return { server, requests, failures };
  }
}

/** Creates server outcomes without any counts. */
export function createServerOutcomes(
  options: ServerOutcomesOptions = {},
): ServerOutcomes {
  return new ServerOutcomes(options);
}
