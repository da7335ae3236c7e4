/**
 * Rate and concurrency limits of workspaces at an entry router. It admits
 * requests against its leased share, measures the demand and reports both to
 * the limit holder.
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

/** Time without requests after which a workspace's share is given up. */
const IDLE_MILLISECONDS = 10_000;
/**
 * A share of which less than this part is used is renewed less often: most
 * workspaces send a request a minute, and renewing each of their shares every
 * half second took 110 KB/s of a router's 24 KB/s at full size.
 */
const RELAXED_RATIO = 0.25;
/** Leaves time for two more attempts before the lease of 6 s ends. */
const RELAXED_RENEWAL_MILLISECONDS = 4_500;
/** Weight of the newest interval in the measured demand. */
const DEMAND_WEIGHT = 0.5;
/** Demand is reported with room to grow between two renewals. */
const DEMAND_HEADROOM = 1.25;

/** What the limits of an entry router need. */
export interface LimitsOptions {
  /** Limits in force; undefined for a workspace without limits. */
  readonly limitsOf: (workspace: WorkspaceId) => WorkspaceLimits | undefined;
}

interface _WorkspaceUse {
  readonly bucket: TokenBucket;
  share: LimitShare;
  leased: boolean;
  inUse: number;
  attempts: number;
  concurrencyRefusals: number;
  demandRate: number;
  measuredAt: number;
  renewedAt: number;
  usedAt: number;
}

/** Whether a share is so little used that its renewal can wait. */
function _mayWait(use: _WorkspaceUse, now: number): boolean {
  if (!use.leased || use.concurrencyRefusals > 0) return false;
  if (now - use.renewedAt >= RELAXED_RENEWAL_MILLISECONDS) return false;
  const seconds = Math.max(1, now - use.measuredAt) / 1_000;
  return use.attempts <= RELAXED_RATIO * use.share.rate * seconds &&
    use.inUse <= RELAXED_RATIO * use.share.concurrency;
}

/** The limits of one entry router. */
export class Limits {
  readonly #options: LimitsOptions;
  readonly #uses = new Map<WorkspaceId, _WorkspaceUse>();

  constructor(options: LimitsOptions) {
    this.#options = options;
  }

  /** Number of active workspaces. */
  get size(): number {
    return this.#uses.size;
  }

  /** Admits a request or says which limit refuses it. */
  tryAcquire(workspace: WorkspaceId, now: number): LimitDecision {
    const limits = this.#options.limitsOf(workspace);
    if (!limits) return "ok";
    const use = this.#use(workspace, limits, now);
    use.attempts++;
    use.usedAt = now;
    if (use.inUse >= Math.min(use.share.concurrency, limits.concurrency)) {
      use.concurrencyRefusals++;
      return "concurrency_limited";
    }
    if (!use.bucket.tryTake(now)) return "rate_limited";
    use.inUse++;
    return "ok";
  }

  /** Ends an admitted request. */
  release(workspace: WorkspaceId, now: number): void {
    const use = this.#uses.get(workspace);
    if (!use) return;
    use.inUse = Math.max(0, use.inUse - 1);
    use.usedAt = now;
  }

  /** Returns one renewal for each active workspace and forgets idle ones. */
  renewals(now: number): LimitRenewal[] {
    const renewals: LimitRenewal[] = [];
    for (const [workspace, use] of this.#uses) {
      if (use.inUse === 0 && now - use.usedAt > IDLE_MILLISECONDS) {
        this.#uses.delete(workspace);
        continue;
      }
      if (_mayWait(use, now)) continue;
      renewals.push(this.#renewal(workspace, use, now));
    }
    return renewals;
  }

  /** Takes over a share that the holder granted. */
  grant(workspace: WorkspaceId, share: LimitShare, now: number): void {
    const use = this.#uses.get(workspace);
    if (!use) return;
    use.share = share;
    use.leased = true;
    use.renewedAt = now;
    use.bucket.setRate(share.rate, now);
  }

  /** Makes every share due for renewal, because its holder may have changed. */
  renewSoon(): void {
    for (const use of this.#uses.values()) use.renewedAt = -Infinity;
  }

  /** Shares and use for the state dump. */
  describe(): unknown {
    return [...this.#uses].map(([workspace, use]) => ({
      workspace,
      ...use.share,
      leased: use.leased,
      inUse: use.inUse,
      demandRate: use.demandRate,
    }));
  }

  #use(
    workspace: WorkspaceId,
    limits: WorkspaceLimits,
    now: number,
  ): _WorkspaceUse {
    const known = this.#uses.get(workspace);
    if (known) return known;
    const share = fallbackShare(limits);
    const use: _WorkspaceUse = {
      bucket: createTokenBucket(share.rate, now),
      share,
      leased: false,
      inUse: 0,
      attempts: 0,
      concurrencyRefusals: 0,
      demandRate: share.rate,
      measuredAt: now,
      renewedAt: -Infinity,
      usedAt: now,
    };
    this.#uses.set(workspace, use);
    return use;
  }

  #renewal(
    workspace: WorkspaceId,
    use: _WorkspaceUse,
    now: number,
  ): LimitRenewal {
    const elapsed = now - use.measuredAt;
    if (elapsed > 0) {
      const measured = use.attempts * 1_000 / elapsed;
      use.demandRate += DEMAND_WEIGHT * (measured - use.demandRate);
    }
    const wanted = {
      rate: DEMAND_HEADROOM * use.demandRate,
      concurrency: Math.ceil(
        DEMAND_HEADROOM * (use.inUse + use.concurrencyRefusals) + 1,
      ),
    };
    use.attempts = 0;
    use.concurrencyRefusals = 0;
    use.measuredAt = now;
    const held = {
      rate: use.share.rate,
      concurrency: Math.max(use.share.concurrency, use.inUse),
    };
    return { workspace, held: use.leased ? held : undefined, wanted };
  }
}

/** Creates the limits of one entry router. */
export function createLimits(options: LimitsOptions): Limits {
  return new Limits(options);
}
