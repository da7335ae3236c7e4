/**
 * The limit holder of a workspace: leases shares of its rate and concurrency
 * to entry routers by demand. The sum of what routers may hold stays at the
 * limit through lost replies and moves of the holder.
 */
import type { HostId, WorkspaceId } from "./ids.ts";

/** Time for which a share is leased. */
export const SHARE_LEASE_MILLISECONDS = 6_000;
/**
 * A new holder raises no share for this long. Routers renew at once when the
 * holder changes, so by then it knows what all of them hold.
 */
export const OWNER_WARM_UP_MILLISECONDS = 2_000;

/**
 * Part of the unwanted rest of a limit that is not leased. A joining router is
 * served from it; otherwise it would refuse everything until the others have
 * given up part of their shares, which takes two of their renewals.
 */
const RESERVED_RATIO = 0.5;

/** The limits of a workspace. */
export interface WorkspaceLimits {
  readonly requestsPerSecond: number;
  readonly concurrency: number;
  /** Number of addresses in the workspace's subset. */
  readonly addresses: number;
}

/** A share of a workspace's limits. */
export interface LimitShare {
  readonly rate: number;
  readonly concurrency: number;
}

/** What an entry router reports about one workspace. */
export interface LimitRenewal {
  readonly workspace: WorkspaceId;
  /** What the router may use now; undefined if it has no share yet. */
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
  /** Until then shares leased by an earlier holder may be in use. */
  readonly settledAt: number;
  readonly leases: Map<HostId, _Lease>;
}

/**
 * Divides a total by demand: nobody gets more than it wants while another
 * lacks, and what is left over is divided in proportion to the demand.
 */
export function divideByDemand(
  total: number,
  wanted: readonly number[],
): number[] {
  const sum = wanted.reduce((before, want) => before + want, 0);
  if (sum <= 0) return wanted.map(() => total / wanted.length);
  if (sum <= total) return wanted.map((want) => want * total / sum);
  const ascending = wanted.map((want, index) => ({ want, index }))
    .sort((left, right) => left.want - right.want);
  const shares = new Array<number>(wanted.length).fill(0);
  let remaining = total;
  ascending.forEach(({ want, index }, place) => {
    const share = Math.min(want, remaining / (ascending.length - place));
    shares[index] = share;
    remaining -= share;
  });
  return shares;
}

/** Returns what may be leased of a total: what is wanted and part of the rest. */
function _leasable(total: number, wanted: readonly number[]): number {
  const sum = wanted.reduce((before, want) => before + want, 0);
  return total - RESERVED_RATIO * Math.max(0, total - sum);
}

/** Rounds shares down and gives the remaining units to the largest fractions. */
export function roundShares(shares: readonly number[]): number[] {
  const floors = shares.map((share) => Math.floor(share + 1e-9));
  const sum = shares.reduce((before, share) => before + share, 0);
  let remaining = Math.floor(sum + 1e-9) -
    floors.reduce((before, share) => before + share, 0);
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

function _maximum(left: LimitShare, right: LimitShare): LimitShare {
  return {
    rate: Math.max(left.rate, right.rate),
    concurrency: Math.max(left.concurrency, right.concurrency),
  };
}

function _minimum(left: LimitShare, right: LimitShare): LimitShare {
  return {
    rate: Math.min(left.rate, right.rate),
    concurrency: Math.min(left.concurrency, right.concurrency),
  };
}

/** Returns the share of a router that has none and no holder in reach. */
export function fallbackShare(limits: WorkspaceLimits): LimitShare {
  const addresses = Math.max(1, limits.addresses);
  return {
    rate: limits.requestsPerSecond / addresses,
    concurrency: Math.max(1, Math.floor(limits.concurrency / addresses)),
  };
}

/** Leases shares for the workspaces that this router holds. */
export class LimitOwner {
  readonly #workspaces = new Map<WorkspaceId, _WorkspaceLeases>();

  /** Number of workspaces with a lease. */
  get size(): number {
    return this.#workspaces.size;
  }

  /** Renews the share of a router and returns it. */
  renew(
    router: HostId,
    renewal: LimitRenewal,
    limits: WorkspaceLimits,
    now: number,
  ): LimitShare {
    const entry = this.#entry(renewal.workspace, now);
    const held = renewal.held ?? { rate: 0, concurrency: 0 };
    const lease: _Lease = {
      held,
      granted: { rate: 0, concurrency: 0 },
      wanted: renewal.wanted,
      expiresAt: now + SHARE_LEASE_MILLISECONDS,
    };
    entry.leases.set(router, lease);
    const target = now < entry.settledAt
      ? renewal.held ?? fallbackShare(limits)
      : this.#target(router, entry, limits);
    lease.granted = _minimum(target, this.#available(router, entry, limits));
    return lease.granted;
  }

  /** Drops expired leases. */
  tick(now: number): void {
    for (const [workspace, entry] of this.#workspaces) {
      this.#expire(entry, now);
      if (entry.leases.size === 0) this.#workspaces.delete(workspace);
    }
  }

  #entry(workspace: WorkspaceId, now: number): _WorkspaceLeases {
    const known = this.#workspaces.get(workspace);
    if (known) this.#expire(known, now);
    if (known && known.leases.size > 0) return known;
    const entry = {
      settledAt: now + OWNER_WARM_UP_MILLISECONDS,
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
    const place = routers.indexOf(router);
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
      rate: rates[place] ?? 0,
      concurrency: concurrencies[place] ?? 0,
    };
  }

  /**
   * What the other routers leave over. A router counts with the larger of its
   * grant and its last report, because the reply with the grant may be lost.
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
      const used = _maximum(lease.granted, lease.held);
      rate -= used.rate;
      concurrency -= used.concurrency;
    }
    return { rate: Math.max(0, rate), concurrency: Math.max(0, concurrency) };
  }
}

/** Creates the holder's side of one router. */
export function createLimitOwner(): LimitOwner {
  return new LimitOwner();
}
