/**
 * Chooses the router addresses that a caller gets: routers of its own data
 * centre while they have capacity, since traffic between data centres is
 * expensive, plus others when the local ones are few or busy. With local
 * routers only, the few of a data centre would have to handle all requests when
 * callers move there or a burst arrives.
 *
 * Where the capacities of the routers differ, each is listed as often as its remaining
 * capacity allows, and others are added gradually as the local ones become busy.
 *
 * Callers whose requests are restricted to some regions get routers of these regions
 * first, since requests that enter elsewhere cross regions to reach a server.
 */
import {
  createEntryDraw,
  type EntryMoment,
  type EntryRouter,
  hasUnevenCapacities,
  meanUtilization,
  remainingCapacities,
  sampleRouters,
  type WeightedRouter,
} from "./entry_weights.ts";
import { brandId, type DataCentreId, type SocketAddress } from "./ids.ts";
import {
  type FleetRegions,
  isRegionAllowed,
  type PermittedRegions,
} from "./permitted_regions.ts";

export type { EntryMoment, EntryRouter } from "./entry_weights.ts";

/** Routers with a mean busy share above this have no spare capacity. */
const FULL_BUSY_RATIO = 0.7;
/** Uneven routers get others added from the first utilization on, all by the second. */
const FIRST_FALLBACK_UTILIZATION = 0.6;
const FULL_FALLBACK_UTILIZATION = 0.9;
/** Weight of routers that are added only because the preferred are too few. */
const SPARE_WEIGHT_RATIO = 1e-3;
/** A caller needs a second address in case one router fails. */
const MINIMUM_ADDRESSES = 2;
/** Callers use at most this many addresses. */
const MAXIMUM_ADDRESSES = 64;

const LIST_LIMITS = { minimum: MINIMUM_ADDRESSES, maximum: MAXIMUM_ADDRESSES };

/** Used where the routers are alike, so that nothing is drawn. */
const NO_MOMENT: EntryMoment = {
  callerAddress: brandId<SocketAddress>(""),
  dataCentre: brandId<DataCentreId>(""),
  now: 0,
};

function _meanBusyShare(routers: readonly EntryRouter[]): number {
  const sum = routers.reduce((total, { busyShare }) => total + busyShare, 0);
  return routers.length > 0 ? sum / routers.length : 1;
}

/** What a response depends on besides the routers and the caller's data centre. */
export interface EntryOptions {
  /** Regions whose routers come first; undefined if none is preferred. */
  readonly permittedRegions: PermittedRegions;
  readonly regions: FleetRegions;
  /** Seed of the random choice among uneven routers. */
  readonly moment?: EntryMoment | undefined;
}

const ALL_REGIONS: EntryOptions = {
  permittedRegions: undefined,
  regions: new Map(),
};

/** Routers in the order of preference of a caller. */
interface _EntryTiers {
  readonly local: readonly EntryRouter[];
  readonly remote: readonly EntryRouter[];
  /** Routers outside the allowed regions. */
  readonly others: readonly EntryRouter[];
}

function _sortByUtilization(routers: readonly EntryRouter[]): EntryRouter[] {
  return [...routers].sort((left, right) => left.busyShare - right.busyShare);
}

/** Returns preferred routers, and others if the preferred are few or busy. */
function _addFallback(
  preferred: readonly EntryRouter[],
  others: readonly EntryRouter[],
): EntryRouter[] {
  const remote = _sortByUtilization(others);
  const fallback = _meanBusyShare(preferred) > FULL_BUSY_RATIO
    ? remote
    : remote.slice(0, Math.max(0, MINIMUM_ADDRESSES - preferred.length));
  return [...preferred, ...fallback];
}

/** Lists routers that are alike. */
function _listAlike({ local, remote, others }: _EntryTiers): EntryRouter[] {
  return _addFallback(_addFallback(local, remote), others)
    .slice(0, MAXIMUM_ADDRESSES);
}

/** Returns the part of the weights of other routers that counts, 0 to 1. */
function _fallbackRatio(preferred: readonly WeightedRouter[]): number {
  const excess = meanUtilization(preferred) - FIRST_FALLBACK_UTILIZATION;
  const ratio = Math.min(
    1,
    excess / (FULL_FALLBACK_UTILIZATION - FIRST_FALLBACK_UTILIZATION),
  );
  return preferred.length < MINIMUM_ADDRESSES
    ? Math.max(SPARE_WEIGHT_RATIO, ratio)
    : Math.max(0, ratio);
}

/** Adds others with a weight that grows from 0 to 1 with the use of the preferred. */
function _addFallbackShares(
  preferred: readonly WeightedRouter[],
  others: readonly EntryRouter[],
): WeightedRouter[] {
  const weight = _fallbackRatio(preferred);
  if (weight === 0) return [...preferred];
  const fallback = _sortByUtilization(others)
    .map((router) => ({ router, weight }));
  return [...preferred, ...fallback];
}

/** Returns routers of uneven capacity that may be listed, with their weights. */
function _weigh({ local, remote, others }: _EntryTiers): WeightedRouter[] {
  const shares = _addFallbackShares(
    _addFallbackShares(
      local.map((router) => ({ router, weight: 1 })),
      remote,
    ),
    others,
  );
  return remainingCapacities(shares.map(({ router }) => router))
    .map(({ router, weight }, index) => ({
      router,
      weight: weight * shares[index]!.weight,
    }));
}

/** Returns the router addresses for a caller in a data centre. */
export function chooseEntryAddresses(
  routers: readonly EntryRouter[],
  dataCentre: DataCentreId | undefined,
  { permittedRegions, regions, moment = NO_MOMENT }: EntryOptions = ALL_REGIONS,
): SocketAddress[] {
  function isPreferred(router: EntryRouter): boolean {
    return isRegionAllowed(permittedRegions, router.dataCentre, regions);
  }

  const preferred = routers.filter(isPreferred);
  const tiers = {
    local: preferred.filter((router) => router.dataCentre === dataCentre),
    remote: preferred.filter((router) => router.dataCentre !== dataCentre),
    others: routers.filter((router) => !isPreferred(router)),
  };
  const listed = hasUnevenCapacities(routers)
    ? sampleRouters(
      _weigh(tiers),
      LIST_LIMITS,
      createEntryDraw(routers, dataCentre, moment),
    )
    : _listAlike(tiers);
  return listed.map(({ callerAddress }) => callerAddress);
}
