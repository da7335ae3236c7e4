/**
 * Tracks the grants of one backend server and enforces its load bound. The
 * server's owner keeps one instance. While two routers consider themselves the
 * owner, the bound is exceeded by at most the tokens that the second grants
 * within the lag of one load report.
 */
import type { HostId, WorkspaceId } from "./ids.ts";
import { createLoadEstimate, type LoadReading } from "./load_estimate.ts";
import { createPoolShare, type PoolLoad } from "./pool_share.ts";

/** Grants that their holder does not renew for this long expire. */
export const GRANT_LIFETIME_MILLISECONDS = 15_000;
/**
 * Fraction of the mean that grants leave unused. When an entry router crashes,
 * all its requests end at once, so the mean falls while other servers keep
 * their load.
 */
export const MEAN_HEADROOM_RATIO = 0.1;

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

/** Creates an admission control without grants or a load reading. */
export function createAdmission(initial: AdmissionSettings): Admission {
  let settings = initial;
  const pool = createPoolShare();
  const estimate = createLoadEstimate();
  const grants = new Map<string, _Grant>();

  function grantedTokens(): number {
    let tokens = 0;
    for (const grant of grants.values()) tokens += grant.weightTokens;
    return tokens;
  }

  function loadTokens(): number {
    return settings.countsGrantsOnly ? grantedTokens() : estimate.tokens();
  }

  /**
   * Whether a grant keeps the load within the bound even if the mean falls by
   * the headroom. A server at or below its share may also be granted a request
   * if it is idle, or if the load then exceeds the reduced mean by at most the
   * largest grant.
   */
  function isWithinBound(load: number, weight: number, now: number): boolean {
    const { capacityTokens } = settings;
    const safeMean = (1 - MEAN_HEADROOM_RATIO) *
      pool.tokensAt(now, capacityTokens, weight);
    if (load + weight <= settings.loadBoundRatio * safeMean) return true;
    if (load > pool.tokens(capacityTokens, weight)) return false;
    let largest = weight;
    for (const grant of grants.values()) {
      largest = Math.max(largest, grant.weightTokens);
    }
    return load === 0 || load + weight <= safeMean + largest;
  }

  function isLoadKnown(now: number): boolean {
    return settings.countsGrantsOnly === true || estimate.isKnown(now);
  }

  function refusalFor(weight: number, now: number): GrantRefusal | undefined {
    if (!settings.accepting) return "leaving";
    if (settings.countsGrantsOnly) {
      const fits = grantedTokens() + weight <= settings.capacityTokens;
      return fits ? undefined : "above_capacity";
    }
    if (!estimate.isKnown(now)) return "load_unknown";
    const load = loadTokens();
    if (load + weight > estimate.capacityTokens()) return "above_capacity";
    return isWithinBound(load, weight, now) ? undefined : "above_bound";
  }

  function capacityTokens(): number {
    return settings.countsGrantsOnly
      ? settings.capacityTokens
      : estimate.capacityTokens();
  }

  function insert(grantId: string, grant: _Grant): void {
    grants.set(grantId, grant);
    estimate.addGrant(grantId, grant);
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
    estimate.release(grantId, grant, now);
    return grant.weightTokens;
  }

  function expire(now: number): number {
    let expired = 0;
    for (const [grantId, grant] of grants) {
      if (now - grant.renewedAt <= GRANT_LIFETIME_MILLISECONDS) continue;
      grants.delete(grantId);
      estimate.forgetGrant(grantId);
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
    recordLoad: (reading, now) => estimate.record(reading, now),
    setPool: (load, now) => pool.set(load, now),
    tryGrant,
    renew,
    release,
    expire,
    canEverFit: (weight) => weight <= capacityTokens(),
    isLoadKnown,
    loadTokens,
    minimumLoadTokens: () => estimate.minimumTokens(),
    meanTokens: (now) => pool.tokensAt(now, settings.capacityTokens, 0),
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
