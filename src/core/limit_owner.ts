/**
 * The limit owner of a workspace: leases shares of its rate and concurrency
 * limits to entry routers by demand. The usable shares never add up to more
 * than the limit, even when replies are lost or the owner changes.
 */
import type { HostId, WorkspaceId } from "./ids.ts";

/** Time for which a share is leased. */
export const SHARE_LEASE_MILLISECONDS = 6_000;
/**
 * A new owner raises no share for this long. Routers renew immediately when the
 * owner changes, so by then the new owner knows the shares of all routers.
 */
export const OWNER_WARM_UP_MILLISECONDS = 2_000;

/**
 * Fraction of the limit beyond the total demand that is kept in reserve for
 * routers that join. Without a reserve they would refuse every request until
 * the other routers had given up part of their shares, which takes two of
 * their renewals.
 */
const RESERVED_RATIO = 0.5;

/** The limits of a workspace. */
export interface WorkspaceLimits {
  readonly requestsPerSecond: number;
  readonly concurrency: number;
  /** Number of addresses in the workspace's subset. */
  readonly addresses: number;
}

/** A router's share of a workspace's limits. */
export interface LimitShare {
  readonly rate: number;
  readonly concurrency: number;
}

/** What an entry router reports about one workspace. */
export interface LimitRenewal {
  readonly workspace: WorkspaceId;
  /** The share that the router uses now; undefined if it has none yet. */
  readonly held: LimitShare | undefined;
  readonly wanted: LimitShare;
}

interface _Lease {
  held: LimitShare;
  granted: LimitShare;
  wanted: LimitShare;
  expiresAt: number;
}

interface _WorkspaceLeases {
  /** Until this time shares leased by an earlier owner may be in use. */
  readonly warmUpEndsAt: number;
  readonly leases: Map<HostId, _Lease>;
}

/**
 * Divides a total by max-min fairness: no claimant gets more than its demand
 * while another gets less. A surplus is divided in proportion to the demand.
 */
export function divideByDemand(
  total: number,
  wanted: readonly number[],
): number[] {
  const sum = wanted.reduce((accumulated, want) => accumulated + want, 0);
  if (sum <= 0) return wanted.map(() => total / wanted.length);
  if (sum <= total) return wanted.map((want) => want * total / sum);
  const ascending = wanted.map((want, index) => ({ want, index }))
    .sort((left, right) => left.want - right.want);
  const shares = new Array<number>(wanted.length).fill(0);
  let remaining = total;
  ascending.forEach(({ want, index }, position) => {
    const share = Math.min(want, remaining / (ascending.length - position));
    shares[index] = share;
    remaining -= share;
  });
  return shares;
}

/** Returns the part of a total that may be leased: all but the reserve. */
function _leasable(total: number, wanted: readonly number[]): number {
  const sum = wanted.reduce((accumulated, want) => accumulated + want, 0);
  return total - RESERVED_RATIO * Math.max(0, total - sum);
}

/** Rounds shares to integers by the largest remainder method. */
export function roundShares(shares: readonly number[]): number[] {
  const floors = shares.map((share) => Math.floor(share + 1e-9));
  const sum = shares.reduce((accumulated, share) => accumulated + share, 0);
  let remaining = Math.floor(sum + 1e-9) -
    floors.reduce((accumulated, share) => accumulated + share, 0);
  const byFraction = shares.map((share, index) => ({
    fraction: share - (floors[index] ?? 0),
    index,
  })).sort((left, right) => right.fraction - left.fraction);
  for (const { index } of byFraction) {
    if (remaining-- <= 0) break;
    floors[index] = (floors[index] ?? 0) + 1;
  }
  return floors;
}

function _maximumShare(left: LimitShare, right: LimitShare): LimitShare {
  return {
    rate: Math.max(left.rate, right.rate),
    concurrency: Math.max(left.concurrency, right.concurrency),
  };
}

function _minimumShare(left: LimitShare, right: LimitShare): LimitShare {
  return {
    rate: Math.min(left.rate, right.rate),
    concurrency: Math.min(left.concurrency, right.concurrency),
  };
}

/**
 * Returns the share of a router that has no lease and cannot reach the owner.
 */
export function fallbackShare(limits: WorkspaceLimits): LimitShare {
  const addresses = Math.max(1, limits.addresses);
  return {
    rate: limits.requestsPerSecond / addresses,
    concurrency: Math.max(1, Math.floor(limits.concurrency / addresses)),
  };
}

/** Leases shares of the workspaces whose limits this router owns. */
export class LimitOwner {
  readonly #workspaces = new Map<WorkspaceId, _WorkspaceLeases>();

  /** Number of workspaces with a lease. */
  get size(): number {
    return this.#workspaces.size;
  }

  /** Renews a router's lease and returns its new share. */
  renew(
    router: HostId,
    renewal: LimitRenewal,
    limits: WorkspaceLimits,
    now: number,
  ): LimitShare {
    const entry = this.#leasesOf(renewal.workspace, now);
    const held = renewal.held ?? { rate: 0, concurrency: 0 };
    const lease: _Lease = {
      held,
      granted: { rate: 0, concurrency: 0 },
      wanted: renewal.wanted,
      expiresAt: now + SHARE_LEASE_MILLISECONDS,
    };
    entry.leases.set(router, lease);
    const target = now < entry.warmUpEndsAt
      ? renewal.held ?? fallbackShare(limits)
      : this.#target(router, entry, limits);
    lease.granted = _minimumShare(
      target,
      this.#available(router, entry, limits),
    );
    return lease.granted;
  }

  /** Drops expired leases. */
  tick(now: number): void {
    for (const [workspace, entry] of this.#workspaces) {
      this.#expire(entry, now);
      if (entry.leases.size === 0) this.#workspaces.delete(workspace);
    }
  }

  #leasesOf(workspace: WorkspaceId, now: number): _WorkspaceLeases {
    const existing = this.#workspaces.get(workspace);
    if (existing) this.#expire(existing, now);
    if (existing && existing.leases.size > 0) return existing;
    const entry = {
      warmUpEndsAt: now + OWNER_WARM_UP_MILLISECONDS,
      leases: new Map<HostId, _Lease>(),
    };
    this.#workspaces.set(workspace, entry);
    return entry;
  }

  #expire(entry: _WorkspaceLeases, now: number): void {
    for (const [router, lease] of entry.leases) {
      if (lease.expiresAt <= now) entry.leases.delete(router);
    }
  }

  #target(
    router: HostId,
    entry: _WorkspaceLeases,
    limits: WorkspaceLimits,
  ): LimitShare {
    const routers = [...entry.leases.keys()].sort();
    const index = routers.indexOf(router);
    const wanted = routers.map((other) =>
      (entry.leases.get(other) as _Lease).wanted
    );
    const wantedRates = wanted.map(({ rate }) => rate);
    const wantedConcurrencies = wanted.map(({ concurrency }) => concurrency);
    const rates = divideByDemand(
      _leasable(limits.requestsPerSecond, wantedRates),
      wantedRates,
    );
    const concurrencies = roundShares(divideByDemand(
      _leasable(limits.concurrency, wantedConcurrencies),
      wantedConcurrencies,
    ));
    return {
      rate: rates[index] ?? 0,
      concurrency: concurrencies[index] ?? 0,
    };
  }

  /**
   * Returns what the other routers' shares leave of the limits. Each router
   * counts with the larger of its granted and its last reported share, because
   * the reply with the grant may be lost.
   */
  #available(
    router: HostId,
    entry: _WorkspaceLeases,
    limits: WorkspaceLimits,
  ): LimitShare {
    let rate = limits.requestsPerSecond;
    let concurrency = limits.concurrency;
    for (const [other, lease] of entry.leases) {
      if (other === router) continue;
      const reserved = _maximumShare(lease.granted, lease.held);
      rate -= reserved.rate;
      concurrency -= reserved.concurrency;
    }
    return { rate: Math.max(0, rate), concurrency: Math.max(0, concurrency) };
  }
}

/** Creates a limit owner without leases. */
export function createLimitOwner(): LimitOwner {
  return new LimitOwner();
}
