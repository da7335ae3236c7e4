/**
 * Estimates the load of one backend server from its last reading and from the
 * grants and releases that the reading may not include.
 */

/** Load readings older than this are too stale to base grants on. */
export const READING_LIFETIME_MILLISECONDS = 5_000;
/**
 * Maximum time between a grant and the arrival of its request at the backend
 * server. A measurement may not include grants made within this time before it.
 */
export const ARRIVAL_MARGIN_MILLISECONDS = 100;

/** The load that a backend server reports. */
export interface LoadReading {
  readonly tokensInFlight: number;
  readonly requestsInFlight: number;
  readonly capacityTokens: number;
  /** Time since the server measured the load. */
  readonly ageMilliseconds: number;
}

/** A grant as far as the estimate needs it. */
export interface EstimatedGrant {
  readonly weightTokens: number;
  readonly grantedAt: number;
}

/** The estimated load of one backend server. */
export interface LoadEstimate {
  record(reading: LoadReading, nowMilliseconds: number): void;
  addGrant(grantId: string, grant: EstimatedGrant): void;
  /** Removes a grant that ended without a release. */
  forgetGrant(grantId: string): void;
  release(
    grantId: string,
    grant: EstimatedGrant,
    nowMilliseconds: number,
  ): void;
  /** Whether a recent enough reading is available. */
  isKnown(nowMilliseconds: number): boolean;
  /** The capacity of the last reading; infinite if there is none. */
  capacityTokens(): number;
  /** Upper bound of the tokens in flight at the server. */
  tokens(): number;
  /** Lower bound of the tokens in flight at the server. */
  minimumTokens(): number;
}

interface _Release extends EstimatedGrant {
  readonly releasedAt: number;
}

/** Creates an estimate without a reading. */
export function createLoadEstimate(): LoadEstimate {
  let reading: LoadReading | undefined;
  let measuredAt = -Infinity;
  const recentGrants = new Map<string, EstimatedGrant>();
  let recentReleases: _Release[] = [];

  /** Whether the latest reading is certain to include a grant. */
  function isMeasured(grant: { readonly grantedAt: number }): boolean {
    return grant.grantedAt <= measuredAt - ARRIVAL_MARGIN_MILLISECONDS;
  }

  function record(next: LoadReading, now: number): void {
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

  function tokens(): number {
    let sum = reading?.tokensInFlight ?? 0;
    for (const grant of recentGrants.values()) sum += grant.weightTokens;
    for (const release of recentReleases) {
      const releasedAfterReading =
        release.releasedAt > measuredAt + ARRIVAL_MARGIN_MILLISECONDS;
      if (isMeasured(release) && releasedAfterReading) {
        sum -= release.weightTokens;
      }
    }
    return Math.max(0, sum);
  }

  function minimumTokens(): number {
    let tokens = reading?.tokensInFlight ?? 0;
    for (const grant of recentGrants.values()) {
      if (grant.grantedAt > measuredAt) tokens += grant.weightTokens;
    }
    for (const release of recentReleases) {
      if (release.grantedAt <= measuredAt) tokens -= release.weightTokens;
    }
    return Math.max(0, tokens);
  }

  function release(
    grantId: string,
    { weightTokens, grantedAt }: EstimatedGrant,
    now: number,
  ): void {
    recentGrants.delete(grantId);
    recentReleases.push({ weightTokens, grantedAt, releasedAt: now });
  }

  return {
    record,
    addGrant: (grantId, grant) => {
      if (!isMeasured(grant)) recentGrants.set(grantId, grant);
    },
    forgetGrant: (grantId) => void recentGrants.delete(grantId),
    release,
    isKnown: (now) =>
      reading !== undefined &&
      now - measuredAt <= READING_LIFETIME_MILLISECONDS,
    capacityTokens: () => reading?.capacityTokens ?? Infinity,
    tokens,
    minimumTokens,
  };
}
