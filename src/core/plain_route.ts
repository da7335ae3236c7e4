/**
 * Checks routes without a schema. A fleet has hundreds to thousands of routes, and
 * checking each with a schema takes a large part of a router's start and delays
 * the requests in progress whenever a new version is read. A route that is not
 * accepted here is left to the schema, which also explains what is wrong.
 */
import {
  type GatewayRoute,
  isRouteKind,
  MAXIMUM_NAME_LENGTH,
  type RouteTarget,
  type ServiceId,
} from "./gateway_configuration.ts";
import { brandId, type RegionId } from "./ids.ts";

/** The fields of a route, not checked yet. */
export type UncheckedRoute = Readonly<
  Partial<Record<keyof GatewayRoute, unknown>>
>;

function _isName(value: unknown): value is string {
  return typeof value === "string" && value.length > 0 &&
    value.length <= MAXIMUM_NAME_LENGTH;
}

function _isHostName(value: unknown): value is string {
  return value === "" || _isName(value);
}

function _isPrefix(value: unknown): value is string {
  return typeof value === "string" && value.startsWith("/") &&
    value.endsWith("/");
}

function _isPositive(value: unknown): value is number {
  return Number.isFinite(value) && (value as number) > 0;
}

function _isPositiveOrZero(value: unknown): value is number {
  return Number.isFinite(value) && (value as number) >= 0;
}

function _isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 1;
}

function _isRegionList(value: unknown): value is RegionId[] {
  return Array.isArray(value) && value.every(_isName);
}

function _checkTargets(value: unknown): RouteTarget[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const targets: RouteTarget[] = [];
  for (const target of value as unknown[]) {
    if (typeof target !== "object" || target === null) return undefined;
    const { service, weight } = target as Record<string, unknown>;
    if (!_isName(service) || !_isPositiveOrZero(weight)) return undefined;
    targets.push({ service: brandId<ServiceId>(service), weight });
  }
  return targets;
}

/** Returns the route if all its fields are valid. */
export function checkPlainRoute(
  route: UncheckedRoute,
): GatewayRoute | undefined {
  const { name, hostName, pathPrefix, kind, priority } = route;
  const { timeoutMilliseconds, latencyObjectiveMilliseconds } = route;
  const { maximumBackendServers, isPublic, isResumable } = route;
  const { permittedRegions, gapObjectiveMilliseconds: gap } = route;
  const targets = _checkTargets(route.targets);
  if (!targets || !isRouteKind(kind)) return undefined;
  if (!_isName(name) || !_isHostName(hostName)) return undefined;
  if (!_isPrefix(pathPrefix) || !_isPositiveOrZero(priority)) return undefined;
  if (!_isPositive(timeoutMilliseconds)) return undefined;
  if (!_isPositive(latencyObjectiveMilliseconds)) return undefined;
  if (!_isCount(maximumBackendServers)) return undefined;
  if (typeof isPublic !== "boolean") return undefined;
  if (typeof isResumable !== "boolean") return undefined;
  if (permittedRegions !== undefined && !_isRegionList(permittedRegions)) {
    return undefined;
  }
  if (gap !== undefined && !_isPositive(gap)) return undefined;
  return {
    name,
    hostName,
    pathPrefix,
    kind,
    targets,
    maximumBackendServers,
    timeoutMilliseconds,
    latencyObjectiveMilliseconds,
    ...("gapObjectiveMilliseconds" in route
      ? { gapObjectiveMilliseconds: gap }
      : {}),
    priority,
    isPublic,
    isResumable,
    // As the schema does, a field that is present stays present.
    ...("permittedRegions" in route && { permittedRegions }),
  };
}
