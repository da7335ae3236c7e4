/**
 * What routing precomputes for one configuration generation: the eligible
 * backend servers per model, adapter, service and workspace, and rendezvous
 * orders, which are computed on first use and kept.
 */
import type { ConfigurationSnapshot, Fleet } from "./fleet_schema.ts";
import type { BackendServerId, ModelId, WorkspaceId } from "./ids.ts";
import { rankByRendezvous } from "./rendezvous.ts";

/** Servers per rendezvous order: the preferred ones and spares for those that are out. */
const ORDER_LENGTH = 16;
/** Orders kept; a router serves a few hundred workspaces at a time. */
const MAXIMUM_ORDERS = 4_096;

/** What a request asks for: a model with an optional adapter, or a service. */
export type RoutingTarget =
  | {
    readonly kind: "model";
    readonly model: string;
    readonly adapter?: string | undefined;
  }
  | { readonly kind: "service"; readonly service: string };

/** A backend server as routing sees it. */
export interface RoutedServer {
  readonly id: BackendServerId;
  /** Tokens per second of uncached prompt. */
  readonly prefillTokensPerSecond: number;
}

/** The servers that may serve one target for one workspace. */
export interface EligibleServers {
  /** The number of the load pool: one per model and one per service. */
  readonly pool: number;
  /** The versions that must be loaded, such as `model@version`. */
  readonly versions: readonly string[];
  readonly servers: readonly RoutedServer[];
  contains(backendServer: BackendServerId): RoutedServer | undefined;
  /** The first servers in rendezvous order of a key. */
  orderOf(key: string): readonly RoutedServer[];
}

/** The index of one configuration generation. */
export interface RoutingIndex {
  readonly generation: number;
  readonly loadBoundRatio: number;
  /** Returns undefined if the workspace may not use the target. */
  eligible(
    workspace: WorkspaceId,
    target: RoutingTarget,
  ): EligibleServers | undefined;
  /** The load pool of a model or service; -1 if there is none. */
  poolOf(kind: RoutingTarget["kind"], name: string): number;
  /** The shared prompt of a workspace in tokens. */
  sharedPromptTokens(workspace: WorkspaceId): number;
}

/** Names a loaded version as engines report it. */
export function versionName(name: string, version: string): string {
  return `${name}@${version}`;
}

/** Names the load pools of a fleet; the position is the pool's number. */
export function listPools(fleet: Fleet): readonly string[] {
  return [
    ...Object.keys(fleet.models).sort().map((name) => `model ${name}`),
    ...Object.keys(fleet.services).sort().map((name) => `service ${name}`),
  ];
}

function _createEligible(
  pool: number,
  versions: readonly string[],
  servers: readonly RoutedServer[],
): EligibleServers {
  const byId = new Map(servers.map((server) => [server.id, server]));
  const orders = new Map<string, readonly RoutedServer[]>();
  return {
    pool,
    versions,
    servers,
    contains: (backendServer) => byId.get(backendServer),
    orderOf(key) {
      const known = orders.get(key);
      if (known) return known;
      const order = rankByRendezvous(key, servers, (server) => server.id)
        .slice(0, ORDER_LENGTH);
      if (orders.size >= MAXIMUM_ORDERS) orders.clear();
      orders.set(key, order);
      return order;
    },
  };
}

function _modelServers(
  fleet: Fleet,
  model: ModelId,
  adapter: string | undefined,
): string[] {
  const names = Object.values(fleet.placements)
    .filter((placement) =>
      placement.model === model &&
      (adapter === undefined || placement.adapters.includes(adapter))
    )
    .flatMap((placement) => placement.backendServers);
  return [...new Set(names)].sort();
}

function _serviceServers(fleet: Fleet, service: string): string[] {
  return Object.entries(fleet.backendServers)
    .filter(([_name, server]) =>
      server.kind === "service" && server.service === service
    )
    .map(([name]) => name)
    .sort();
}

function _versionsOf(
  fleet: Fleet,
  target: RoutingTarget,
): readonly string[] | undefined {
  if (target.kind === "service") {
    return fleet.services[target.service] ? [] : undefined;
  }
  const model = fleet.models[target.model];
  if (!model) return undefined;
  const versions = [versionName(target.model, model.version)];
  if (target.adapter === undefined) return versions;
  const adapter = fleet.adapters[target.adapter];
  if (!adapter || adapter.model !== target.model) return undefined;
  return [...versions, versionName(target.adapter, adapter.version)];
}

function _isAllowed(
  fleet: Fleet,
  workspace: WorkspaceId,
  target: RoutingTarget,
): boolean {
  const rights = fleet.workspaces[workspace];
  if (!rights) return false;
  if (target.kind === "service") {
    return rights.services.includes(target.service);
  }
  return rights.models.includes(target.model) &&
    (target.adapter === undefined || rights.adapters.includes(target.adapter));
}

function _targetName(target: RoutingTarget): string {
  return target.kind === "service"
    ? `service ${target.service}`
    : `model ${target.model} ${target.adapter ?? ""}`;
}

/** Builds the index of a configuration; servers in its drains are left out. */
export function createRoutingIndex(
  snapshot: ConfigurationSnapshot,
): RoutingIndex {
  const { fleet, drains } = snapshot;
  const pools = new Map(listPools(fleet).map((name, index) => [name, index]));
  const drained = new Set(drains.backendServers);
  const drainedHosts = new Set(drains.hosts);
  const shared = new Map<string, EligibleServers | undefined>();
  const restricted = new Map<string, EligibleServers | undefined>();

  function isInService(name: string): boolean {
    const server = fleet.backendServers[name];
    if (!server || drained.has(name)) return false;
    return server.host === undefined || !drainedHosts.has(server.host);
  }

  function compile(
    target: RoutingTarget,
    allowed: readonly string[],
  ): EligibleServers | undefined {
    const versions = _versionsOf(fleet, target);
    if (!versions) return undefined;
    const names = target.kind === "service"
      ? _serviceServers(fleet, target.service)
      : _modelServers(fleet, target.model as ModelId, target.adapter);
    const rate = target.kind === "service"
      ? Infinity
      : fleet.models[target.model]?.prefillTokensPerSecond ?? 1;
    const permitted = new Set(allowed);
    const servers = names
      .filter((name) => permitted.size === 0 || permitted.has(name))
      .filter(isInService)
      .map((name) => ({
        id: name as BackendServerId,
        prefillTokensPerSecond: rate,
      }));
    const pool = pools.get(
      target.kind === "service"
        ? `service ${target.service}`
        : `model ${target.model}`,
    ) ?? -1;
    return _createEligible(pool, versions, servers);
  }

  function cached(
    cache: Map<string, EligibleServers | undefined>,
    key: string,
    target: RoutingTarget,
    allowed: readonly string[],
  ): EligibleServers | undefined {
    if (cache.has(key)) return cache.get(key);
    const eligible = compile(target, allowed);
    if (cache.size >= MAXIMUM_ORDERS) cache.clear();
    cache.set(key, eligible);
    return eligible;
  }

  return {
    generation: snapshot.generation,
    loadBoundRatio: fleet.fleet.loadBoundRatio,
    eligible(workspace, target) {
      if (!_isAllowed(fleet, workspace, target)) return undefined;
      const allowed = fleet.workspaces[workspace]?.backendServers ?? [];
      const name = _targetName(target);
      return allowed.length === 0
        ? cached(shared, name, target, allowed)
        : cached(restricted, `${name} ${workspace}`, target, allowed);
    },
    poolOf(kind, name) {
      return pools.get(`${kind} ${name}`) ?? -1;
    },
    sharedPromptTokens(workspace) {
      return fleet.workspaces[workspace]?.sharedPromptTokens ?? 0;
    },
  };
}
