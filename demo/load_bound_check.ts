/**
 * Checks samples of engine loads against the load bound. Routers decide the
 * load of an engine when they grant a request and cannot take a grant back, so
 * the bound is checked where a load rose, against the largest mean since the
 * grant. A load that stays while work ends elsewhere was within the bound.
 */

/** A request reaches its engine at most this long after it was granted. */
const ARRIVAL_MILLISECONDS = 100;

/** The bound: the larger of a multiple of the mean and the mean plus a request. */
export interface LoadBoundLimits {
  readonly ratio: number;
  /** Size of the largest request, in tokens. */
  readonly requestTokens: number;
}

/** Tokens in flight of all accepting engines at one time. */
export interface LoadSample {
  readonly atMilliseconds: number;
  /** Tokens in flight by engine. */
  readonly loads: Readonly<Record<string, number>>;
}

/** A sample in which a new request took an engine above the bound. */
export interface LoadBoundViolation extends LoadSample {
  /** Mean load that the bound was taken from, in tokens. */
  readonly meanTokens: number;
}

/** What was seen of the engines' loads. */
export interface LoadObservation {
  /** Samples in which at least one engine was busy. */
  readonly samples: number;
  /** Largest load relative to the mean of the accepting engines. */
  readonly maximumOverMean: number;
  readonly violations: readonly LoadBoundViolation[];
  /** Samples above the bound only because work that ended lowered the mean. */
  readonly samplesAfterMeanFell: number;
}

/** A check that is fed with samples in order of time. */
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
  let recent: LoadSample[] = [];

  function isAbove(load: number, mean: number): boolean {
    return load > Math.max(limits.ratio * mean, mean + limits.requestTokens);
  }

  function add(sample: LoadSample): void {
    const previous = recent.at(-1);
    const oldest = sample.atMilliseconds - ARRIVAL_MILLISECONDS;
    recent = recent.filter(({ atMilliseconds }) => atMilliseconds >= oldest);
    recent.push(sample);
    const mean = _mean(sample);
    if (mean === 0) return;
    observation.samples++;
    const highest = Math.max(...Object.values(sample.loads));
    observation.maximumOverMean = Math.max(
      observation.maximumOverMean,
      highest / mean,
    );
    if (!isAbove(highest, mean)) return;
    const grantMean = Math.max(...recent.map(_mean));
    const isViolated = Object.entries(sample.loads).some(([engine, load]) =>
      load > (previous?.loads[engine] ?? 0) && isAbove(load, grantMean)
    );
    if (isViolated) violations.push({ ...sample, meanTokens: grantMean });
    else observation.samplesAfterMeanFell++;
  }

  return { observation, add };
}
