/**
 * Finds the route, the workspace and the service of a request. Built once for
 * each configuration, so that a request costs a few map look-ups.
 */
import type {
  GatewayConfiguration,
  GatewayRoute,
  GatewayService,
  GatewayWorkspace,
  ServiceId,
} from "./gateway_configuration.ts";
import { hash32 } from "./rendezvous.ts";

/** Look-ups over one configuration. */
export interface RouteTable {
  readonly configuration: GatewayConfiguration;
  /** Returns the route with the longest prefix that begins the path. */
  findRoute(hostName: string, path: string): GatewayRoute | undefined;
  /** Returns the workspace that holds a key. */
  findWorkspace(key: string): GatewayWorkspace | undefined;
  findService(id: ServiceId): GatewayService | undefined;
}

/** Returns the host name of a Host header: without port and in lower case. */
export function readHostName(host: string): string {
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

function _workspacesByKey(
  workspaces: readonly GatewayWorkspace[] = [],
): ReadonlyMap<string, GatewayWorkspace> {
  const keys = new Map<string, GatewayWorkspace>();
  for (const workspace of workspaces) {
    for (const key of workspace.keys) keys.set(key, workspace);
  }
  return keys;
}

/** Builds the look-ups of a configuration. */
export function createRouteTable(
  configuration: GatewayConfiguration,
): RouteTable {
  const hosts = _routesByHost(configuration.routes);
  const keys = _workspacesByKey(configuration.workspaces);
  const services = new Map(
    configuration.services.map((service) => [service.id, service]),
  );
  return {
    configuration,
    findRoute(hostName, path) {
      const prefixes = hosts.get(hostName);
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
    findWorkspace: (key) => keys.get(key),
    findService: (id) => services.get(id),
  };
}

/**
 * Returns the service of a request. The same request id always gets the same
 * service, so a route's weights hold without shared counters.
 */
export function pickService(
  route: GatewayRoute,
  requestId: string,
): ServiceId | undefined {
  const weighted = route.targets.filter(({ weight }) => weight > 0);
  const only = weighted[0];
  if (weighted.length <= 1) return only?.service;
  const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
  let rest = hash32(requestId) % total;
  for (const { service, weight } of weighted) {
    if (rest < weight) return service;
    rest -= weight;
  }
  return only?.service;
}
