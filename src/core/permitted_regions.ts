/**
 * Regions in which the requests of a route or a workspace may be served. Where both
 * name regions, a server must be in the regions of both.
 */
import { brandId, type DataCentreId, type RegionId } from "./ids.ts";

/** Names of the allowed regions; undefined if all are allowed. */
export type PermittedRegions = readonly RegionId[] | undefined;

/** The regions of the data centres, as the settings name them. */
export type FleetRegions = ReadonlyMap<DataCentreId, RegionId>;

/** Returns the regions by data centre; `regions` maps names to names. */
export function createFleetRegions(
  regions: Readonly<Record<string, string>> = {},
): FleetRegions {
  return new Map(
    Object.entries(regions).map(([dataCentre, region]) => [
      brandId<DataCentreId>(dataCentre),
      brandId<RegionId>(region),
    ]),
  );
}

/** Returns the regions that two lists allow together. */
export function intersectRegions(
  first: PermittedRegions,
  second: PermittedRegions,
): PermittedRegions {
  if (!first || !second) return first ?? second;
  return first.filter((region) => second.includes(region));
}

/** Whether a data centre lies in the allowed regions; one of an unknown region does not. */
export function isRegionAllowed(
  allowed: PermittedRegions,
  dataCentre: DataCentreId,
  regions: FleetRegions,
): boolean {
  if (!allowed) return true;
  const region = regions.get(dataCentre);
  return region !== undefined && allowed.includes(region);
}
