/**
 * Which of several uneven routers a response of the directory lists. Callers choose a
 * listed router at random, so a router is listed with a probability in proportion to its
 * weight, which is its remaining capacity.
 *
 * The number of listed routers is fixed up to rounding (Pareto sampling): with independent
 * choices, routers that are always listed get too much whenever few others are.
 *
 * The draw of a router does not depend on the weights, so a changed weight replaces few
 * listed routers. The draws move slowly, and at any time those of the responding routers of
 * a data centre are evenly spaced, so that each router is in its part of the responses.
 */
import { hash32, HASH_RANGE } from "./hash32.ts";
import type { DataCentreId, SocketAddress } from "./ids.ts";

/** A router whose address callers may get. */
export interface EntryRouter {
  readonly callerAddress: SocketAddress;
  readonly dataCentre: DataCentreId;
  /** Utilization of the router, 0 to 1. */
  readonly busyShare: number;
  /** Relative capacity of the router's host; 1 by default. */
  readonly capacity?: number;
}

/** The router that responds, and when. */
export interface EntryMoment {
  readonly callerAddress: SocketAddress;
  readonly dataCentre: DataCentreId;
  /** Wall-clock time in milliseconds, which all routers roughly share. */
  readonly now: number;
}

/** A router with the weight with which it counts in a choice or in a mean. */
export interface WeightedRouter {
  readonly router: EntryRouter;
  readonly weight: number;
}

/**
 * Returns the draw of a key for the moment and the callers of a response, 0 to 1. Keys
 * are the addresses of routers; the empty one rounds the number of listed routers.
 */
export type EntryDraw = (key: string) => number;

/** Bounds of the number of listed routers. */
export interface ListLimits {
  readonly minimum: number;
  readonly maximum: number;
}

/** Capacities that differ by less count as alike. */
export const UNEVEN_CAPACITY_RATIO = 1.5;
/** Routers above this utilization are overloaded. */
export const OVERLOAD_UTILIZATION = 0.9;
/** Capacities arrive as hundredths, whose ratios are not exact. */
const RATIO_TOLERANCE = 1e-9;
/** Routers without remaining capacity are listed only if others are too few. */
const MINIMUM_WEIGHT_RATIO = 1e-12;
/**
 * Time in which a draw takes all values, at least. Callers keep a response for up to 6 s;
 * a router that is listed with a probability of 0.1 stays listed for twice that time.
 */
const DRAW_PERIOD_MILLISECONDS = 120_000;
/** Draws of different routers move at different speeds, so that none stay close. */
const DRAW_PERIOD_SPREAD = 0.5;
/** Multiplicative hashing gives a second number from a hash. */
const GOLDEN_RATIO_FACTOR = 0x9e3779b1;

/** Returns a router's relative capacity; a figure that cannot be right counts as none. */
export function capacityOf({ capacity = 1 }: EntryRouter): number {
  return Number.isFinite(capacity) ? Math.max(0, capacity) : 0;
}

/** Returns a router's utilization, 0 to 1; one that is not a number counts as full. */
export function utilizationOf({ busyShare }: EntryRouter): number {
  return Number.isNaN(busyShare) ? 1 : Math.min(1, Math.max(0, busyShare));
}

/** Returns whether capacities differ so much that routers are listed by weight. */
export function hasUnevenCapacities(routers: readonly EntryRouter[]): boolean {
  const capacities = routers.map(capacityOf);
  const largest = Math.max(0, ...capacities);
  const smallest = Math.min(...capacities);
  return largest > 0 &&
    largest >= smallest * UNEVEN_CAPACITY_RATIO - RATIO_TOLERANCE;
}

/** Returns the mean utilization by weight and capacity; 1 if there is no capacity. */
export function meanUtilization(routers: readonly WeightedRouter[]): number {
  let capacity = 0;
  let used = 0;
  for (const { router, weight } of routers) {
    capacity += weight * capacityOf(router);
    used += weight * capacityOf(router) * utilizationOf(router);
  }
  return capacity > 0 ? used / capacity : 1;
}

/**
 * Returns what each router can still take. If all are overloaded, callers are divided by
 * capacity: what little remains would change with every report.
 */
export function remainingCapacities(
  routers: readonly EntryRouter[],
): WeightedRouter[] {
  const isOverloaded = routers.every((router) =>
    utilizationOf(router) > OVERLOAD_UTILIZATION
  );
  return routers.map((router) => ({
    router,
    weight: capacityOf(router) * (isOverloaded ? 1 : 1 - utilizationOf(router)),
  }));
}

/**
 * Returns the probabilities of being listed: the weights relative to the largest, scaled
 * where their sum is beyond the bounds of the number of listed routers.
 */
export function listingProbabilities(
  weights: readonly number[],
  { minimum, maximum }: ListLimits,
): number[] {
  const largest = Math.max(...weights);
  const relative = weights.map((weight) =>
    largest > 0 ? Math.max(weight / largest, MINIMUM_WEIGHT_RATIO) : 1
  );
  const sum = relative.reduce((total, weight) => total + weight, 0);
  if (sum > maximum) return relative.map((weight) => weight * maximum / sum);
  const expected = Math.min(minimum, weights.length);
  if (sum >= expected) return relative;
  // Scaled up, the largest reach a probability of 1 and the others share the rest.
  let scale = expected / sum;
  let certain = 0;
  let free = sum;
  for (const weight of [...relative].sort((left, right) => right - left)) {
    if (weight * scale < 1 || certain === expected - 1) break;
    certain++;
    free -= weight;
    scale = (expected - certain) / free;
  }
  return relative.map((weight) => Math.min(1, weight * scale));
}

/** Order of a router in Pareto sampling; the lowest are listed. */
function _paretoRank(probability: number, draw: number): number {
  if (probability >= 1) return -1;
  return draw / (1 - draw) * (1 - probability) / probability;
}

/** Returns the listed routers, in the order in which they are given. */
export function sampleRouters(
  routers: readonly WeightedRouter[],
  limits: ListLimits,
  draw: EntryDraw,
): EntryRouter[] {
  const probabilities = listingProbabilities(
    routers.map(({ weight }) => weight),
    limits,
  );
  const expected = probabilities.reduce((total, part) => total + part, 0);
  // Rounded by a draw of its own, so that the mean number is the expected one.
  const count = Math.floor(expected + RATIO_TOLERANCE + draw(""));
  const listed = new Set(
    routers
      .map(({ router }, index) => ({
        router,
        rank: _paretoRank(probabilities[index]!, draw(router.callerAddress)),
      }))
      .sort((left, right) => left.rank - right.rank)
      .slice(0, Math.min(count, limits.maximum))
      .map(({ router }) => router),
  );
  return routers
    .map(({ router }) => router)
    .filter((router) => listed.has(router));
}

function _greatestCommonDivisor(left: number, right: number): number {
  return right === 0 ? left : _greatestCommonDivisor(right, left % right);
}

/** Returns a number that is coprime to the count, so that its multiples permute positions. */
function _chooseMultiplier(first: number, count: number): number {
  let multiplier = first;
  while (_greatestCommonDivisor(multiplier, count) !== 1) multiplier++;
  return multiplier;
}

/** Creates the draws of a response to callers of a data centre. */
export function createEntryDraw(
  routers: readonly EntryRouter[],
  dataCentre: DataCentreId | undefined,
  { callerAddress: own, dataCentre: ownDataCentre, now }: EntryMoment,
): EntryDraw {
  const others = routers.filter((router) =>
    router.dataCentre === ownDataCentre && router.callerAddress !== own
  );
  const responders = others.length + 1;
  const position = others.filter((router) => router.callerAddress < own).length;
  return (key) => {
    const hash = hash32(`${dataCentre ?? ""} ${key}`);
    const phase = hash / HASH_RANGE;
    const speed = (Math.imul(hash, GOLDEN_RATIO_FACTOR) >>> 0) / HASH_RANGE;
    const period = DRAW_PERIOD_MILLISECONDS * (1 + DRAW_PERIOD_SPREAD * speed);
    const multiplier = _chooseMultiplier(1 + hash % responders, responders);
    const spaced = (position * multiplier % responders) / responders;
    return (spaced + phase + now / period) % 1;
  };
}
