/**
 * Checks samples of engine loads against the load bound. Routers apply the
 * bound at admission, which cannot be revoked, so only engines whose load rose
 * are checked, against the largest mean since the admission. A load above the
 * bound only because other engines finished work is no violation, as that load
 * was within the bound at admission.
 */

/** Longest time from a request's admission to its arrival at the engine. */
const MAXIMUM_ARRIVAL_MILLISECONDS = 100;

/** The load bound: the larger of `ratio * mean` and `mean + requestTokens`. */
export interface LoadBoundLimits {
  readonly ratio: number;
  /** Size of the largest request, in tokens. */
  readonly requestTokens: number;
}

/** Loads of all engines that accept new work, at one time. */
export interface LoadSample {
  readonly atMilliseconds: number;
  /** Tokens in flight by engine. */
  readonly loads: Readonly<Record<string, number>>;
}

/** A sample in which a new request raised an engine's load above the bound. */
export interface LoadBoundViolation extends LoadSample {
  /** Mean load that the bound was computed from, in tokens. */
  readonly meanTokens: number;
}

/** Results of the samples checked so far. */
export interface LoadObservation {
  /** Samples in which at least one engine was busy. */
  readonly samples: number;
  /** Largest ratio of an engine's load to the mean of accepting engines. */
  readonly maximumOverMean: number;
  readonly violations: readonly LoadBoundViolation[];
  /** Samples above the bound only because finished work lowered the mean. */
  readonly samplesAfterMeanFell: number;
}

/** A load bound check, which takes samples in chronological order. */
export interface LoadBoundCheck {
  readonly observation: LoadObservation;
  add(sample: LoadSample): void;
}

function _mean({ loads }: LoadSample): number {
  const values = Object.values(loads);
  const sum = values.reduce((total, load) => total + load, 0);
  return values.length > 0 ? sum / values.length : 0;
}

/** Creates a load bound check that has no samples yet. */
export function createLoadBoundCheck(limits: LoadBoundLimits): LoadBoundCheck {
  const violations: LoadBoundViolation[] = [];
  const observation = {
    samples: 0,
    maximumOverMean: 0,
    violations,
    samplesAfterMeanFell: 0,
  };
  let recentSamples: LoadSample[] = [];

  function isAboveBound(load: number, mean: number): boolean {
    return load > Math.max(limits.ratio * mean, mean + limits.requestTokens);
  }

  function add(sample: LoadSample): void {
    const previous = recentSamples.at(-1);
    const oldest = sample.atMilliseconds - MAXIMUM_ARRIVAL_MILLISECONDS;
    recentSamples = recentSamples.filter(({ atMilliseconds }) =>
      atMilliseconds >= oldest
    );
    recentSamples.push(sample);
    const mean = _mean(sample);
    if (mean === 0) return;
    observation.samples++;
    const highest = Math.max(...Object.values(sample.loads));
    observation.maximumOverMean = Math.max(
      observation.maximumOverMean,
      highest / mean,
    );
    if (!isAboveBound(highest, mean)) return;
    const boundMean = Math.max(...recentSamples.map(_mean));
    const isViolated = Object.entries(sample.loads).some(([engine, load]) =>
      load > (previous?.loads[engine] ?? 0) && isAboveBound(load, boundMean)
    );
    if (isViolated) violations.push({ ...sample, meanTokens: boundMean });
    else observation.samplesAfterMeanFell++;
  }

  return { observation, add };
}
