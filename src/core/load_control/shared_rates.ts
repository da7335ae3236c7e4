/**
 * Rates of backend servers that all routers of a fleet keep together. Each router
 * has a share of each rate, which follows from whom it hears, and a token bucket
 * that keeps its own requests within the share.
 */
import { evictOldest } from "../bounded_map.ts";
import {
  type FleetView,
  MAXIMUM_VIEW_AGE_MILLISECONDS,
} from "./rate_limit_shares.ts";
import type { IncarnationKey } from "../server_incarnations.ts";
import { createTokenBucket, type TokenBucket } from "../token_bucket.ts";

/** What a router sees of the fleet at a moment. */
export type ObservedFleet = Omit<FleetView, "settledMilliseconds">;

/** How rates are divided among the routers. */
export interface SharedRatesOptions {
  /** Returns this router's part of a rate, in requests per second. */
  readonly decideShare: (
    server: IncarnationKey,
    requestsPerSecond: number,
    view: FleetView,
  ) => number;
  /**
   * Time for which a share that passes to this router stays unused, because the
   * router that had it may just have used it; 0 by default.
   */
  readonly takeoverMilliseconds?: number;
  /** Beyond this number, the oldest rates are forgotten. */
  readonly maximumServers: number;
}

interface _Rate {
  readonly incarnation: IncarnationKey;
  requestsPerSecond: number | undefined;
  usableFrom: number;
  readonly bucket: TokenBucket;
}

/** One router's shares of the rates of backend servers. */
export class SharedRates {
  readonly #options: SharedRatesOptions;
  readonly #rates = new Map<IncarnationKey, _Rate>();
  #view: FleetView | undefined;
  #viewedAt = Number.NEGATIVE_INFINITY;
  #settledSince = Number.POSITIVE_INFINITY;

  constructor(options: SharedRatesOptions) {
    this.#options = options;
  }

  /**
   * Updates the view of the fleet. Called several times a second while this
   * router serves, and with `undefined` while it does not.
   */
  updateView(view: ObservedFleet | undefined, now: number): void {
    const wasPaused = !this.isCurrent(now);
    if (!view) this.#settledSince = Number.POSITIVE_INFINITY;
    else if (wasPaused || !this.#view) this.#settledSince = now;
    this.#viewedAt = now;
    const settledMilliseconds = now - this.#settledSince;
    this.#view = view && { ...view, settledMilliseconds };
    for (const rate of this.#rates.values()) this.#followView(rate, now);
  }

  /** Whether the view of the fleet is new enough to act on it. */
  isCurrent(now: number): boolean {
    return now - this.#viewedAt <= MAXIMUM_VIEW_AGE_MILLISECONDS;
  }

  /** Sets the rate of a server for the whole fleet; undefined: unlimited. */
  set(
    incarnation: IncarnationKey,
    requestsPerSecond: number | undefined,
    now: number,
  ): void {
    const rate = this.#rates.get(incarnation) ?? this.#add(incarnation, now);
    if (rate.requestsPerSecond === requestsPerSecond) return;
    rate.requestsPerSecond = requestsPerSecond;
    this.#updateShare(rate, now);
  }

  /** Leaves the share of a server unused until a time. */
  holdUntil(incarnation: IncarnationKey, until: number): void {
    const rate = this.#rates.get(incarnation);
    if (rate) rate.usableFrom = Math.max(rate.usableFrom, until);
  }

  /** Forgets a server. */
  delete(incarnation: IncarnationKey): void {
    this.#rates.delete(incarnation);
  }

  /** This router's share of a server's rate, in requests per second. */
  shareOf(incarnation: IncarnationKey): number {
    return this.#rates.get(incarnation)?.bucket.rate() ?? 0;
  }

  /**
   * Time since when, or from which on, this router may send a request to a
   * server; infinite if only others may.
   */
  availableAt(incarnation: IncarnationKey, now: number): number {
    const rate = this.#rates.get(incarnation);
    if (rate?.requestsPerSecond === undefined) return now;
    if (rate.bucket.rate() === 0 || !this.isCurrent(now)) return Infinity;
    return Math.max(rate.usableFrom, rate.bucket.availableAt(now));
  }

  /** Counts a request that is sent to a server. */
  recordSent(incarnation: IncarnationKey, now: number): void {
    this.#rates.get(incarnation)?.bucket.tryTake(now);
  }

  #add(incarnation: IncarnationKey, now: number): _Rate {
    const rate: _Rate = {
      incarnation,
      requestsPerSecond: undefined,
      usableFrom: Number.NEGATIVE_INFINITY,
      bucket: createTokenBucket(0, now),
    };
    this.#rates.set(incarnation, rate);
    evictOldest(this.#rates, this.#options.maximumServers);
    return rate;
  }

  #followView(rate: _Rate, now: number): void {
    const hadShare = rate.bucket.rate() > 0;
    this.#updateShare(rate, now);
    const { takeoverMilliseconds = 0 } = this.#options;
    if (hadShare || takeoverMilliseconds === 0) return;
    if (rate.bucket.rate() > 0) rate.usableFrom = now + takeoverMilliseconds;
  }

  #updateShare(
    { requestsPerSecond, incarnation, bucket }: _Rate,
    now: number,
  ): void {
    const share = this.#view && requestsPerSecond !== undefined
      ? this.#options.decideShare(incarnation, requestsPerSecond, this.#view)
      : 0;
    if (share !== bucket.rate()) bucket.setRate(share, now);
  }
}
