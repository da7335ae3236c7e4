/**
 * The grants of one backend server and the load bound they must respect. The
 * steward of the server holds one of these; it never exceeds the bound by more
 * than what another steward grants within the lag of one load report.
 */
import type { HostId, WorkspaceId } from "./ids.ts";

/** A grant that its holder does not renew is dropped after this time. */
export const GRANT_LIFETIME_MILLISECONDS = 15_000;
/** A load reading older than this says nothing about the present load. */
export const READING_LIFETIME_MILLISECONDS = 5_000;
/**
 * Longest time between a grant and the arrival of its request at the backend
 * server. A grant this close to a measurement may be missing from it.
 */
export const ARRIVAL_MARGIN_MILLISECONDS = 100;

/**
 * Time in which a pool may lose most of its load when no more requests arrive.
 * Once a mean has fallen it is taken to fall on at this rate, so that an old
 * mean does not let a server exceed the bound while the pool drains.
 */
export const MEAN_LOAD_DECAY_MILLISECONDS = 10_000;

/** A pool that three summaries in a row did not refresh is taken to fall. */
export const POOL_LOAD_FRESH_MILLISECONDS = 750;

/** Typical age of the loads in a summary when it is received. */
export const POOL_LOAD_LAG_MILLISECONDS = 400;

/**
 * Part of the mean that grants leave unused. When an entry router crashes, its
 * requests end at once and the mean falls while other servers keep their load.
 */
export const MEAN_HEADROOM_RATIO = 0.1;

/** The load that a backend server reports. */
export interface LoadReading {
  readonly tokensInFlight: number;
  readonly requestsInFlight: number;
  readonly capacityTokens: number;
  /** Time since the server measured the load. */
  readonly ageMilliseconds: number;
}

/** The load of all live servers of a pool. */
export interface PoolLoad {
  readonly totalTokens: number;
  readonly totalCapacityTokens: number;
  readonly engineCount: number;
}

/** A grant as its holder presents it. */
export interface HeldGrant {
  readonly grantId: string;
  readonly workspace: WorkspaceId;
  readonly weightTokens: number;
  /** Time since it was granted. */
  readonly heldMilliseconds: number;
}

/** A request for a grant. */
export interface GrantRequest {
  readonly grantId: string;
  readonly holder: HostId;
  readonly workspace: WorkspaceId;
  readonly weightTokens: number;
}

/** Why a grant was refused. */
export type GrantRefusal =
  | "leaving"
  | "load_unknown"
  | "above_capacity"
  | "above_bound";

/** What the configuration says about the backend server. */
export interface AdmissionSettings {
  readonly loadBoundRatio: number;
  /** The server's share of the pool is proportional to its capacity. */
  readonly capacityTokens: number;
  /** False while the server is leaving or draining. */
  readonly accepting: boolean;
  /**
   * True for plain services, which report no load: their load is what was
   * granted, and only the capacity bounds it.
   */
  readonly countsGrantsOnly?: boolean;
}

/** The grants of one backend server. */
export interface Admission {
  configure(settings: AdmissionSettings): void;
  recordLoad(reading: LoadReading, nowMilliseconds: number): void;
  setPool(pool: PoolLoad | undefined, nowMilliseconds: number): void;
  /** Grants and returns undefined, or returns why not. */
  tryGrant(
    request: GrantRequest,
    nowMilliseconds: number,
  ): GrantRefusal | undefined;
  /** Renews the grants a holder presents; unknown ones are registered. */
  renew(
    holder: HostId,
    grants: readonly HeldGrant[],
    nowMilliseconds: number,
  ): void;
  /** Returns the weight that was released. */
  release(grantId: string, nowMilliseconds: number): number;
  /** Drops grants that were not renewed and returns how many. */
  expire(nowMilliseconds: number): number;
  /** False if the weight exceeds the capacity of the empty server. */
  canEverFit(weightTokens: number): boolean;
  /** Whether a usable load reading is at hand. */
  isLoadKnown(nowMilliseconds: number): boolean;
  /** The most tokens that may be in flight at the server. */
  loadTokens(): number;
  /** The least tokens in flight; means are made of these. */
  leastLoadTokens(): number;
  /** The least that the server's share of the pool's load can be now. */
  meanTokens(nowMilliseconds: number): number;
  grantCount(): number;
  /** The grants as their holders would present them. */
  exportGrants(nowMilliseconds: number): HeldGrant[];
  /** Granted tokens of each workspace, for the state dump. */
  tokensByWorkspace(): Map<WorkspaceId, number>;
}

interface _Grant {
  readonly holder: HostId;
  readonly workspace: WorkspaceId;
  readonly weightTokens: number;
  readonly grantedAt: number;
  renewedAt: number;
}

interface _Release {
  readonly weightTokens: number;
  readonly grantedAt: number;
  readonly releasedAt: number;
}

function _ratio({ totalTokens, totalCapacityTokens }: PoolLoad): number {
  return totalTokens / Math.max(1, totalCapacityTokens);
}

/** Creates the grants of one backend server; it knows no load at first. */
export function createAdmission(initial: AdmissionSettings): Admission {
  let settings = initial;
  let pool: PoolLoad | undefined;
  let poolAt = 0;
  let isPoolFalling = true;
  let reading: LoadReading | undefined;
  let measuredAt = -Infinity;
  const grants = new Map<string, _Grant>();
  const recentGrants = new Map<string, _Grant>();
  let recentReleases: _Release[] = [];

  /** Whether the latest reading certainly includes a grant. */
  function isMeasured(grant: { readonly grantedAt: number }): boolean {
    return grant.grantedAt <= measuredAt - ARRIVAL_MARGIN_MILLISECONDS;
  }

  function recordLoad(next: LoadReading, now: number): void {
    const nextMeasuredAt = now - next.ageMilliseconds;
    if (nextMeasuredAt < measuredAt) return;
    reading = next;
    measuredAt = nextMeasuredAt;
    for (const [grantId, grant] of recentGrants) {
      if (isMeasured(grant)) recentGrants.delete(grantId);
    }
    recentReleases = recentReleases.filter((release) =>
      release.releasedAt >= measuredAt
    );
  }

  function grantedTokens(): number {
    let tokens = 0;
    for (const grant of grants.values()) tokens += grant.weightTokens;
    return tokens;
  }

  function loadTokens(): number {
    if (settings.countsGrantsOnly) return grantedTokens();
    let tokens = reading?.tokensInFlight ?? 0;
    for (const grant of recentGrants.values()) tokens += grant.weightTokens;
    for (const release of recentReleases) {
      const releasedAfterReading =
        release.releasedAt > measuredAt + ARRIVAL_MARGIN_MILLISECONDS;
      if (isMeasured(release) && releasedAfterReading) {
        tokens -= release.weightTokens;
      }
    }
    return Math.max(0, tokens);
  }

  function setPool(next: PoolLoad | undefined, at: number): void {
    if (at > poolAt) {
      isPoolFalling = !next || !pool || _ratio(next) < _ratio(pool);
    }
    pool = next;
    poolAt = at;
  }

  function leastLoadTokens(): number {
    let tokens = reading?.tokensInFlight ?? 0;
    for (const grant of recentGrants.values()) {
      if (grant.grantedAt > measuredAt) tokens += grant.weightTokens;
    }
    for (const release of recentReleases) {
      if (release.grantedAt <= measuredAt) tokens -= release.weightTokens;
    }
    return Math.max(0, tokens);
  }

  /** The server's share of the pool's load with `added` more tokens in it. */
  function shareOfPool(added: number, drainedMilliseconds: number): number {
    if (!pool || pool.totalCapacityTokens <= 0) return 0;
    const share = settings.capacityTokens / pool.totalCapacityTokens;
    const mayFall = isPoolFalling ||
      drainedMilliseconds > POOL_LOAD_FRESH_MILLISECONDS;
    const drained = mayFall
      ? drainedMilliseconds + POOL_LOAD_LAG_MILLISECONDS
      : 0;
    const rest = Math.exp(-drained / MEAN_LOAD_DECAY_MILLISECONDS);
    return (pool.totalTokens * rest + added) * Math.min(1, share);
  }

  /** Whether the bound still holds after the mean falls by the headroom. */
  function isWithinBound(load: number, weight: number, now: number): boolean {
    const safeMean = (1 - MEAN_HEADROOM_RATIO) *
      shareOfPool(weight, now - poolAt);
    if (load + weight <= settings.loadBoundRatio * safeMean) return true;
    if (load > shareOfPool(weight, 0)) return false;
    let largest = weight;
    for (const grant of grants.values()) {
      largest = Math.max(largest, grant.weightTokens);
    }
    return load === 0 || load + weight <= safeMean + largest;
  }

  function isLoadKnown(now: number): boolean {
    if (settings.countsGrantsOnly) return true;
    return reading !== undefined &&
      now - measuredAt <= READING_LIFETIME_MILLISECONDS;
  }

  function refusalFor(weight: number, now: number): GrantRefusal | undefined {
    if (!settings.accepting) return "leaving";
    if (settings.countsGrantsOnly) {
      const fits = grantedTokens() + weight <= settings.capacityTokens;
      return fits ? undefined : "above_capacity";
    }
    if (!reading || !isLoadKnown(now)) return "load_unknown";
    const load = loadTokens();
    if (load + weight > reading.capacityTokens) return "above_capacity";
    return isWithinBound(load, weight, now) ? undefined : "above_bound";
  }

  function capacityTokens(): number {
    if (settings.countsGrantsOnly) return settings.capacityTokens;
    return reading?.capacityTokens ?? Infinity;
  }

  function insert(grantId: string, grant: _Grant): void {
    grants.set(grantId, grant);
    if (!isMeasured(grant)) recentGrants.set(grantId, grant);
  }

  function tryGrant(
    request: GrantRequest,
    now: number,
  ): GrantRefusal | undefined {
    if (grants.has(request.grantId)) return undefined;
    const refusal = refusalFor(request.weightTokens, now);
    if (refusal) return refusal;
    insert(request.grantId, {
      holder: request.holder,
      workspace: request.workspace,
      weightTokens: request.weightTokens,
      grantedAt: now,
      renewedAt: now,
    });
    return undefined;
  }

  function renew(
    holder: HostId,
    held: readonly HeldGrant[],
    now: number,
  ): void {
    for (const { grantId, workspace, weightTokens, heldMilliseconds } of held) {
      const known = grants.get(grantId);
      if (known) {
        known.renewedAt = now;
        continue;
      }
      insert(grantId, {
        holder,
        workspace,
        weightTokens,
        grantedAt: now - heldMilliseconds,
        renewedAt: now,
      });
    }
  }

  function release(grantId: string, now: number): number {
    const grant = grants.get(grantId);
    if (!grant) return 0;
    grants.delete(grantId);
    recentGrants.delete(grantId);
    const { weightTokens, grantedAt } = grant;
    recentReleases.push({ weightTokens, grantedAt, releasedAt: now });
    return weightTokens;
  }

  function expire(now: number): number {
    let expired = 0;
    for (const [grantId, grant] of grants) {
      if (now - grant.renewedAt <= GRANT_LIFETIME_MILLISECONDS) continue;
      grants.delete(grantId);
      recentGrants.delete(grantId);
      expired++;
    }
    return expired;
  }

  function tokensByWorkspace(): Map<WorkspaceId, number> {
    const tokens = new Map<WorkspaceId, number>();
    for (const { workspace, weightTokens } of grants.values()) {
      tokens.set(workspace, (tokens.get(workspace) ?? 0) + weightTokens);
    }
    return tokens;
  }

  return {
    configure: (next) => void (settings = next),
    recordLoad,
    setPool,
    tryGrant,
    renew,
    release,
    expire,
    canEverFit: (weight) => weight <= capacityTokens(),
    isLoadKnown,
    loadTokens,
    leastLoadTokens,
    meanTokens: (now) => shareOfPool(0, now - poolAt),
    grantCount: () => grants.size,
    exportGrants: (now) =>
      [...grants].map(([grantId, { workspace, weightTokens, grantedAt }]) => ({
        grantId,
        workspace,
        weightTokens,
        heldMilliseconds: now - grantedAt,
      })),
    tokensByWorkspace,
  };
}
