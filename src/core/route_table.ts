/**
 * Finds the route, the workspace and the service of a request. The table is
 * built once per configuration, so that a request needs only a few map lookups.
 */
import type {
  GatewayConfiguration,
  GatewayRoute,
  GatewayService,
  GatewayWorkspace,
  ServiceId,
} from "./gateway_configuration.ts";
import type { PermittedRegions } from "./permitted_regions.ts";
import type { RegionId } from "./ids.ts";
import { hash32 } from "./hash32.ts";

/** Looks up routes, workspaces and services of one configuration. */
export interface RouteTable {
  readonly configuration: GatewayConfiguration;
  /** Returns the route with the longest matching path prefix. */
  findRoute(hostName: string, path: string): GatewayRoute | undefined;
  /** Returns the workspace to which an API key belongs. */
  findWorkspace(key: string): GatewayWorkspace | undefined;
  findService(id: ServiceId): GatewayService | undefined;
  /**
   * Returns the regions that any route of a host name allows; undefined if one of
   * its routes allows all regions, or if it has no route.
   */
  regionsOfHost(hostName: string): PermittedRegions;
  /** Returns the shortest gap objective of the routes to a service, if any has one. */
  gapObjectiveOf(service: ServiceId): number | undefined;
}

/** Returns the host name of a Host header, in lower case and without port. */
export function normaliseHostName(host: string): string {
  const port = host.lastIndexOf(":");
  const isAddress = host.endsWith("]");
  const name = port > 0 && !isAddress ? host.slice(0, port) : host;
  return name.toLowerCase();
}

function _routesByHost(
  routes: readonly GatewayRoute[],
): ReadonlyMap<string, ReadonlyMap<string, GatewayRoute>> {
  const hosts = new Map<string, Map<string, GatewayRoute>>();
  for (const route of routes) {
    const prefixes = hosts.get(route.hostName) ??
      new Map<string, GatewayRoute>();
    hosts.set(route.hostName, prefixes);
    prefixes.set(route.pathPrefix, route);
  }
  return hosts;
}

function _unionOfPermittedRegions(
  routes: Iterable<GatewayRoute>,
): PermittedRegions {
  const regions = new Set<RegionId>();
  for (const { permittedRegions } of routes) {
    if (!permittedRegions) return undefined;
    for (const region of permittedRegions) regions.add(region);
  }
  return [...regions];
}

function _workspacesByKey(
  workspaces: readonly GatewayWorkspace[] = [],
): ReadonlyMap<string, GatewayWorkspace> {
  const keys = new Map<string, GatewayWorkspace>();
  for (const workspace of workspaces) {
    for (const key of workspace.keys) keys.set(key, workspace);
  }
  return keys;
}

function _gapObjectivesByService(
  routes: readonly GatewayRoute[],
): ReadonlyMap<ServiceId, number> {
  const objectives = new Map<ServiceId, number>();
  for (const { targets, gapObjectiveMilliseconds: gap } of routes) {
    if (gap === undefined) continue;
    for (const { service } of targets) {
      objectives.set(service, Math.min(gap, objectives.get(service) ?? gap));
    }
  }
  return objectives;
}

/** Creates the route table of a configuration. */
export function createRouteTable(
  configuration: GatewayConfiguration,
): RouteTable {
  const routesByHost = _routesByHost(configuration.routes);
  const workspacesByKey = _workspacesByKey(configuration.workspaces);
  const gapObjectives = _gapObjectivesByService(configuration.routes);
  const services = new Map(
    configuration.services.map((service) => [service.id, service]),
  );
  return {
    configuration,
    findRoute(hostName, path) {
      const prefixes = routesByHost.get(hostName);
      if (!prefixes) return undefined;
      const query = path.indexOf("?");
      let end = query < 0 ? path.length : query;
      while (end > 0) {
        const slash = path.lastIndexOf("/", end - 1);
        if (slash < 0) return undefined;
        const route = prefixes.get(path.slice(0, slash + 1));
        if (route) return route;
        end = slash;
      }
      return undefined;
    },
    findWorkspace: (key) => workspacesByKey.get(key),
    findService: (id) => services.get(id),
    regionsOfHost(hostName) {
      const prefixes = routesByHost.get(hostName);
      return prefixes && _unionOfPermittedRegions(prefixes.values());
    },
    gapObjectiveOf: (service) => gapObjectives.get(service),
  };
}

/**
 * Chooses the service of a request by the weights of its route. The choice
 * depends only on the request id, so no counters have to be shared.
 */
export function pickService(
  route: GatewayRoute,
  requestId: string,
): ServiceId | undefined {
  const weighted = route.targets.filter(({ weight }) => weight > 0);
  const first = weighted[0];
  if (weighted.length <= 1) return first?.service;
  const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = hash32(requestId) % total;
  for (const { service, weight } of weighted) {
    if (remaining < weight) return service;
    remaining -= weight;
  }
  return first?.service;
}
