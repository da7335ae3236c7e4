/**
 * Checks samples of engine loads against the load bound. Routers apply the bound
 * when they admit a request and cannot revoke the admission, so the check covers
 * only engines whose load rose, against the largest mean since the admission. A
 * load above the bound only because other engines finished work is no violation:
 * it was within the bound when its requests were admitted.
 */

/** Longest time from the admission of a request to its arrival at the engine. */
const MAXIMUM_ARRIVAL_MILLISECONDS = 100;

/** The bound: the larger of a multiple of the mean and the mean plus one request. */
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

/** Results of the check so far. */
export interface LoadObservation {
  /** Samples in which at least one engine was busy. */
  readonly samples: number;
  /** Largest ratio of a load to the mean of the engines that accept new work. */
  readonly maximumOverMean: number;
  readonly violations: readonly LoadBoundViolation[];
  /** Samples above the bound only because finished work lowered the mean. */
  readonly samplesAfterMeanFell: number;
}

/** A check that takes samples in order of time. */
export interface LoadBoundCheck {
  readonly observation: LoadObservation;
  add(sample: LoadSample): void;
}

function _mean({ loads }: LoadSample): number {
  const values = Object.values(loads);
  const sum = values.reduce((total, load) => total + load, 0);
  return values.length > 0 ? sum / values.length : 0;
}

/** Creates a check without samples. */
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
