/**
 * Rate and concurrency limits of workspaces at an entry router. The router
 * admits requests against its leased share, measures the demand and reports
 * both to the limit owner.
 */
import type { WorkspaceId } from "./ids.ts";
import {
  fallbackShare,
  type LimitRenewal,
  type LimitShare,
  type WorkspaceLimits,
} from "./limit_owner.ts";
import { createTokenBucket, type TokenBucket } from "./token_bucket.ts";

/** Outcome of an attempt to admit a request. */
export type LimitDecision = "ok" | "rate_limited" | "concurrency_limited";

/**
 * Time without requests after which a workspace's share is no longer renewed.
 */
const IDLE_TIMEOUT_MILLISECONDS = 10_000;
/**
 * Shares used by less than this fraction are renewed less often. Most
 * workspaces send one request a minute; renewing each of their shares every
 * half second took 110 KB/s at full fleet size, where a router's budget is 24
 * KB/s.
 */
const LOW_USAGE_RATIO = 0.25;
/**
 * Renewal period of a share with low usage; leaves time for two more attempts
 * before the 6 s lease expires.
 */
const LOW_USAGE_RENEWAL_MILLISECONDS = 4_500;
/** Weight of the newest interval in the moving average of the demand. */
const DEMAND_SMOOTHING_RATIO = 0.5;
/**
 * Factor on the measured demand in reports, so that demand can grow until the
 * next renewal.
 */
const DEMAND_HEADROOM_RATIO = 1.25;

/** Options of an entry router's limits. */
export interface LimitsOptions {
  /** Returns a workspace's limits in force; undefined if it has none. */
  readonly limitsOf: (workspace: WorkspaceId) => WorkspaceLimits | undefined;
}

interface _WorkspaceUsage {
  readonly bucket: TokenBucket;
  share: LimitShare;
  leased: boolean;
  inUse: number;
  attempts: number;
  concurrencyRefusals: number;
  demandRate: number;
  measuredAt: number;
  renewedAt: number;
  lastUsedAt: number;
}

/** Whether a share is used so little that its renewal can be deferred. */
function _canDeferRenewal(usage: _WorkspaceUsage, now: number): boolean {
  if (!usage.leased || usage.concurrencyRefusals > 0) return false;
  if (now - usage.renewedAt >= LOW_USAGE_RENEWAL_MILLISECONDS) return false;
  const seconds = Math.max(1, now - usage.measuredAt) / 1_000;
  return usage.attempts <= LOW_USAGE_RATIO * usage.share.rate * seconds &&
    usage.inUse <= LOW_USAGE_RATIO * usage.share.concurrency;
}

/** The limits of one entry router. */
export class Limits {
  readonly #options: LimitsOptions;
  readonly #usages = new Map<WorkspaceId, _WorkspaceUsage>();

  constructor(options: LimitsOptions) {
    this.#options = options;
  }

  /** Number of active workspaces. */
  get size(): number {
    return this.#usages.size;
  }

  /** Admits a request or returns which limit refuses it. */
  tryAcquire(workspace: WorkspaceId, now: number): LimitDecision {
    const limits = this.#options.limitsOf(workspace);
    if (!limits) return "ok";
    const usage = this.#usageOf(workspace, limits, now);
    usage.attempts++;
    usage.lastUsedAt = now;
    if (usage.inUse >= Math.min(usage.share.concurrency, limits.concurrency)) {
      usage.concurrencyRefusals++;
      return "concurrency_limited";
    }
    if (!usage.bucket.tryTake(now)) return "rate_limited";
    usage.inUse++;
    return "ok";
  }

  /** Records the end of an admitted request. */
  release(workspace: WorkspaceId, now: number): void {
    const usage = this.#usages.get(workspace);
    if (!usage) return;
    usage.inUse = Math.max(0, usage.inUse - 1);
    usage.lastUsedAt = now;
  }

  /** Returns the renewals that are due and removes idle workspaces. */
  takeRenewals(now: number): LimitRenewal[] {
    const renewals: LimitRenewal[] = [];
    for (const [workspace, usage] of this.#usages) {
      if (
        usage.inUse === 0 && now - usage.lastUsedAt > IDLE_TIMEOUT_MILLISECONDS
      ) {
        this.#usages.delete(workspace);
        continue;
      }
      if (_canDeferRenewal(usage, now)) continue;
      renewals.push(this.#renewal(workspace, usage, now));
    }
    return renewals;
  }

  /** Applies a share granted by the limit owner. */
  grant(workspace: WorkspaceId, share: LimitShare, now: number): void {
    const usage = this.#usages.get(workspace);
    if (!usage) return;
    usage.share = share;
    usage.leased = true;
    usage.renewedAt = now;
    usage.bucket.setRate(share.rate, now);
  }

  /**
   * Makes every share due for renewal, for use when the limit owner may have
   * changed.
   */
  renewSoon(): void {
    for (const usage of this.#usages.values()) usage.renewedAt = -Infinity;
  }

  /** Shares and their usage for the state dump. */
  describe(): unknown {
    return [...this.#usages].map(([workspace, usage]) => ({
      workspace,
      ...usage.share,
      leased: usage.leased,
      inUse: usage.inUse,
      demandRate: usage.demandRate,
    }));
  }

  #usageOf(
    workspace: WorkspaceId,
    limits: WorkspaceLimits,
    now: number,
  ): _WorkspaceUsage {
    const existing = this.#usages.get(workspace);
    if (existing) return existing;
    const share = fallbackShare(limits);
    const usage: _WorkspaceUsage = {
      bucket: createTokenBucket(share.rate, now),
      share,
      leased: false,
      inUse: 0,
      attempts: 0,
      concurrencyRefusals: 0,
      demandRate: share.rate,
      measuredAt: now,
      renewedAt: -Infinity,
      lastUsedAt: now,
    };
    this.#usages.set(workspace, usage);
    return usage;
  }

  #renewal(
    workspace: WorkspaceId,
    usage: _WorkspaceUsage,
    now: number,
  ): LimitRenewal {
    const elapsed = now - usage.measuredAt;
    if (elapsed > 0) {
      const measuredRate = usage.attempts * 1_000 / elapsed;
      usage.demandRate += DEMAND_SMOOTHING_RATIO *
        (measuredRate - usage.demandRate);
    }
    const wanted = {
      rate: DEMAND_HEADROOM_RATIO * usage.demandRate,
      concurrency: Math.ceil(
        DEMAND_HEADROOM_RATIO * (usage.inUse + usage.concurrencyRefusals) + 1,
      ),
    };
    usage.attempts = 0;
    usage.concurrencyRefusals = 0;
    usage.measuredAt = now;
    const held = {
      rate: usage.share.rate,
      concurrency: Math.max(usage.share.concurrency, usage.inUse),
    };
    return { workspace, held: usage.leased ? held : undefined, wanted };
  }
}

/** Creates the limits of one entry router. */
export function createLimits(options: LimitsOptions): Limits {
  return new Limits(options);
}
