/**
 * Tracks the grants of one backend server and enforces its load bound. The
 * server's owner keeps one instance. While two routers consider themselves the
 * owner, the bound is exceeded by at most the tokens that the second grants
 * within the lag of one load report.
 */
import type { HostId, WorkspaceId } from "./ids.ts";

/** Grants that their holder does not renew for this long expire. */
export const GRANT_LIFETIME_MILLISECONDS = 15_000;
/** Load readings older than this are too stale to base grants on. */
export const READING_LIFETIME_MILLISECONDS = 5_000;
/**
 * Maximum time between a grant and the arrival of its request at the backend
 * server. A measurement may not include grants made within this time before it.
 */
export const ARRIVAL_MARGIN_MILLISECONDS = 100;

/**
 * Time in which a pool can lose most of its load when requests stop arriving:
 * the time constant of an exponential decay. Once the mean has fallen it is
 * assumed to keep falling at this rate, so that a stale mean lets no server
 * exceed the bound while the pool drains.
 */
export const MEAN_LOAD_DECAY_MILLISECONDS = 10_000;

/** A pool load not refreshed for three summary periods is assumed to fall. */
export const POOL_LOAD_FRESH_MILLISECONDS = 750;

/** Typical age of the loads in a summary on receipt. */
export const POOL_LOAD_LAG_MILLISECONDS = 400;

/**
 * Fraction of the mean that grants leave unused. When an entry router crashes,
 * all its requests end at once, so the mean falls while other servers keep
 * their load.
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

/** The summed load of all live servers of a pool. */
export interface PoolLoad {
  readonly totalTokens: number;
  readonly totalCapacityTokens: number;
  readonly engineCount: number;
}

/** A grant as reported by its holder. */
export interface HeldGrant {
  readonly grantId: string;
  readonly workspace: WorkspaceId;
  readonly weightTokens: number;
  /** Time since the grant was made. */
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

/** Configured settings of the backend server. */
export interface AdmissionSettings {
  readonly loadBoundRatio: number;
  /** The server's share of the pool is proportional to its capacity. */
  readonly capacityTokens: number;
  /** False while the server is leaving or draining. */
  readonly accepting: boolean;
  /**
   * True for plain services, which report no load: their load is the sum of the
   * grants, limited only by the capacity.
   */
  readonly countsGrantsOnly?: boolean;
}

/** Admission control for one backend server. */
export interface Admission {
  configure(settings: AdmissionSettings): void;
  recordLoad(reading: LoadReading, nowMilliseconds: number): void;
  setPool(pool: PoolLoad | undefined, nowMilliseconds: number): void;
  /** Returns undefined if granted, otherwise the reason for the refusal. */
  tryGrant(
    request: GrantRequest,
    nowMilliseconds: number,
  ): GrantRefusal | undefined;
  /** Renews the grants that a holder reports; unknown ones are registered. */
  renew(
    holder: HostId,
    grants: readonly HeldGrant[],
    nowMilliseconds: number,
  ): void;
  /** Releases a grant and returns its weight; 0 if it is unknown. */
  release(grantId: string, nowMilliseconds: number): number;
  /** Drops grants that were not renewed and returns their number. */
  expire(nowMilliseconds: number): number;
  /** False if the weight exceeds the capacity of the empty server. */
  canEverFit(weightTokens: number): boolean;
  /** Whether a recent enough load reading is available. */
  isLoadKnown(nowMilliseconds: number): boolean;
  /** Upper bound of the tokens in flight at the server. */
  loadTokens(): number;
  /** Lower bound of the tokens in flight; pool means are computed from it. */
  minimumLoadTokens(): number;
  /** Lower bound of the server's current share of the pool's load. */
  meanTokens(nowMilliseconds: number): number;
  grantCount(): number;
  /** Returns the grants as their holders report them. */
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

function _utilization({ totalTokens, totalCapacityTokens }: PoolLoad): number {
  return totalTokens / Math.max(1, totalCapacityTokens);
}

/** Creates an admission control without grants or a load reading. */
export function createAdmission(initial: AdmissionSettings): Admission {
  let settings = initial;
  let pool: PoolLoad | undefined;
  let poolReceivedAt = 0;
  let isPoolFalling = true;
  let reading: LoadReading | undefined;
  let measuredAt = -Infinity;
  const grants = new Map<string, _Grant>();
  const recentGrants = new Map<string, _Grant>();
  let recentReleases: _Release[] = [];

  /** Whether the latest reading is certain to include a grant. */
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
    if (at > poolReceivedAt) {
      isPoolFalling = !next || !pool || _utilization(next) < _utilization(pool);
    }
    pool = next;
    poolReceivedAt = at;
  }

  function minimumLoadTokens(): number {
    let tokens = reading?.tokensInFlight ?? 0;
    for (const grant of recentGrants.values()) {
      if (grant.grantedAt > measuredAt) tokens += grant.weightTokens;
    }
    for (const release of recentReleases) {
      if (release.grantedAt <= measuredAt) tokens -= release.weightTokens;
    }
    return Math.max(0, tokens);
  }

  /** The server's share of the pool's load plus `addedTokens`. */
  function shareOfPool(
    addedTokens: number,
    poolAgeMilliseconds: number,
  ): number {
    if (!pool || pool.totalCapacityTokens <= 0) return 0;
    const share = settings.capacityTokens / pool.totalCapacityTokens;
    const mayDecay = isPoolFalling ||
      poolAgeMilliseconds > POOL_LOAD_FRESH_MILLISECONDS;
    const decayMilliseconds = mayDecay
      ? poolAgeMilliseconds + POOL_LOAD_LAG_MILLISECONDS
      : 0;
    const remainingRatio = Math.exp(
      -decayMilliseconds / MEAN_LOAD_DECAY_MILLISECONDS,
    );
    return (pool.totalTokens * remainingRatio + addedTokens) *
      Math.min(1, share);
  }

  /**
   * Whether a grant keeps the load within the bound even if the mean falls by
   * the headroom. A server at or below its share may also be granted a request
   * if it is idle, or if the load then exceeds the reduced mean by at most the
   * largest grant.
   */
  function isWithinBound(load: number, weight: number, now: number): boolean {
    const safeMean = (1 - MEAN_HEADROOM_RATIO) *
      shareOfPool(weight, now - poolReceivedAt);
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
    minimumLoadTokens,
    meanTokens: (now) => shareOfPool(0, now - poolReceivedAt),
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
