/** Helpers of the slopes benchmark: heap size, processor time and line fits. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** One metric measured at several sizes, with its least-squares line. */
export interface Slope {
  readonly duty: string;
  readonly metric: string;
  /** Quantity that the size counts, such as routers or workspaces. */
  readonly driver: string;
  readonly sizes: readonly number[];
  readonly values: readonly number[];
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the residuals relative to the mean value. */
  readonly residual: number;
}

setFlagsFromString("--expose-gc");
const _collectGarbage = runInNewContext("gc") as () => void;

/** Returns the bytes of heap and array buffers after a garbage collection. */
export function usedBytes(): number {
  _collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Returns the processor time of this process so far. */
export function cpuMicroseconds(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

/** Rounds to significant digits to keep the figures on the page short. */
export function significant(value: number, digits = 4): number {
  return Number(value.toPrecision(digits));
}

/** Fits a least-squares line through the points. */
export function fitSlope(
  duty: string,
  metric: string,
  driver: string,
  points: readonly (readonly [number, number])[],
): Slope {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let [covariance, variance] = [0, 0];
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const squares = points.reduce(
    (sum, [x, y]) => sum + (y - intercept - slope * x) ** 2,
    0,
  );
  return {
    duty,
    metric,
    driver,
    sizes: points.map(([x]) => x),
    values: points.map(([, y]) => significant(y)),
    slope: significant(slope),
    intercept: significant(intercept),
    residual: meanY === 0
      ? 0
      : significant(Math.sqrt(squares / count) / Math.abs(meanY), 2),
  };
}

/** Evaluates a fitted line at a size. */
export function valueAt({ slope, intercept }: Slope, size: number): number {
  return intercept + slope * size;
}
