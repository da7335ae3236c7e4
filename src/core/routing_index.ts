/**
 * Index for routing over one configuration generation: the eligible backend
 * servers per model, adapter, service and workspace, and their rendezvous
 * orders. Orders are computed on first use, cached, and carried over to the
 * next generation.
 */
import type { ConfigurationSnapshot, Fleet } from "./fleet_schema.ts";
import type { BackendServerId, ModelId, WorkspaceId } from "./ids.ts";
import { rankByRendezvous } from "./rendezvous.ts";

/** Servers per rendezvous order: preferred ones, and spares for those not usable. */
const ORDER_LENGTH = 16;
/** Orders with fewer servers left lack spares and are not carried over. */
const MINIMUM_ORDER_LENGTH = 12;
/** Limit of each cache; a router serves a few hundred workspaces at a time. */
const MAXIMUM_ORDERS = 4_096;

/** The target of a request: a model with an optional adapter, or a service. */
export type RoutingTarget =
  | {
    readonly kind: "model";
    readonly model: string;
    readonly adapter?: string | undefined;
  }
  | { readonly kind: "service"; readonly service: string };

/** A backend server with the properties that routing needs. */
export interface RoutedServer {
  readonly id: BackendServerId;
  /** Uncached prompt tokens processed per second. */
  readonly prefillTokensPerSecond: number;
}

/** The servers that may serve a target for a workspace. */
export interface EligibleServers {
  /** The index of the load pool; every model and every service has one. */
  readonly pool: number;
  /** The versions that must be loaded, such as `model@version`. */
  readonly versions: readonly string[];
  readonly servers: readonly RoutedServer[];
  find(backendServer: BackendServerId): RoutedServer | undefined;
  /** Returns the first servers in the rendezvous order of a key. */
  rankedServers(key: string): readonly RoutedServer[];
  /** The orders cached so far, reused by the next generation. */
  readonly orders: ReadonlyMap<string, readonly RoutedServer[]>;
}

/** The index of one configuration generation. */
export interface RoutingIndex {
  readonly generation: number;
  readonly loadBoundRatio: number;
  /** Eligible servers by target and workspace, reused by the next generation. */
  readonly compiled: ReadonlyMap<string, EligibleServers | undefined>;
  /** Returns undefined if the workspace may not use the target. */
  eligible(
    workspace: WorkspaceId,
    target: RoutingTarget,
  ): EligibleServers | undefined;
  /** Returns the load pool index of a model or service; -1 if there is none. */
  poolOf(kind: RoutingTarget["kind"], name: string): number;
  /** Returns the length of a workspace's shared prompt in tokens. */
  sharedPromptTokens(workspace: WorkspaceId): number;
}

/** Returns the name of a loaded version as reported by engines. */
export function versionName(name: string, version: string): string {
  return `${name}@${version}`;
}

/** Returns the names of a fleet's load pools, ordered by pool index. */
export function listPools(fleet: Fleet): readonly string[] {
  return [
    ...Object.keys(fleet.models).sort().map((name) => `model ${name}`),
    ...Object.keys(fleet.services).sort().map((name) => `service ${name}`),
  ];
}

function _idOf(server: RoutedServer): string {
  return server.id;
}

/**
 * Updates the orders of the previous generation for servers that joined or
 * left. The servers left in an order are the first of all remaining servers, so
 * merging the joined servers into it gives the first of all servers.
 */
function _carryOverOrders(
  previous: EligibleServers | undefined,
  byId: ReadonlyMap<string, RoutedServer>,
): Map<string, readonly RoutedServer[]> {
  const orders = new Map<string, readonly RoutedServer[]>();
  if (!previous) return orders;
  const joined = [...byId.values()]
    .filter((server) => !previous.find(server.id));
  if (joined.length > ORDER_LENGTH) return orders;
  for (const [key, order] of previous.orders) {
    const remaining = order.flatMap((server) => byId.get(server.id) ?? []);
    const isComplete = order.length === previous.servers.length;
    const length = isComplete ? ORDER_LENGTH : remaining.length;
    if (length < MINIMUM_ORDER_LENGTH) continue;
    const merged = joined.length === 0
      ? remaining
      : rankByRendezvous(key, [...remaining, ...joined], _idOf);
    orders.set(key, merged.slice(0, length));
  }
  return orders;
}

function _createEligible(
  pool: number,
  versions: readonly string[],
  servers: readonly RoutedServer[],
  previous: EligibleServers | undefined,
): EligibleServers {
  const byId = new Map(servers.map((server) => [server.id, server]));
  const orders = _carryOverOrders(previous, byId);
  return {
    pool,
    versions,
    servers,
    orders,
    find: (backendServer) => byId.get(backendServer),
    rankedServers(key) {
      const known = orders.get(key);
      if (known) return known;
      const order = rankByRendezvous(key, servers, _idOf)
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
  const granted = fleet.workspaces[workspace];
  if (!granted) return false;
  if (target.kind === "service") {
    return granted.services.includes(target.service);
  }
  return granted.models.includes(target.model) &&
    (target.adapter === undefined || granted.adapters.includes(target.adapter));
}

function _targetKey(target: RoutingTarget): string {
  return target.kind === "service"
    ? `service ${target.service}`
    : `model ${target.model} ${target.adapter ?? ""}`;
}

/**
 * Creates the index of a configuration, without drained servers. Orders from
 * the index of the previous generation are reused.
 */
export function createRoutingIndex(
  snapshot: ConfigurationSnapshot,
  previous?: RoutingIndex,
): RoutingIndex {
  const { fleet, drains } = snapshot;
  const pools = new Map(listPools(fleet).map((name, index) => [name, index]));
  const drained = new Set(drains.backendServers);
  const drainedHosts = new Set(drains.hosts);
  const compiled = new Map<string, EligibleServers | undefined>();

  function isInService(name: string): boolean {
    const server = fleet.backendServers[name];
    if (!server || drained.has(name)) return false;
    return server.host === undefined || !drainedHosts.has(server.host);
  }

  function compile(
    key: string,
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
    return _createEligible(
      pool,
      versions,
      servers,
      previous?.compiled.get(key),
    );
  }

  function findOrCompile(
    key: string,
    target: RoutingTarget,
    allowed: readonly string[],
  ): EligibleServers | undefined {
    if (compiled.has(key)) return compiled.get(key);
    const eligible = compile(key, target, allowed);
    if (compiled.size >= MAXIMUM_ORDERS) compiled.clear();
    compiled.set(key, eligible);
    return eligible;
  }

  return {
    generation: snapshot.generation,
    loadBoundRatio: fleet.fleet.loadBoundRatio,
    compiled,
    eligible(workspace, target) {
      if (!_isAllowed(fleet, workspace, target)) return undefined;
      const allowed = fleet.workspaces[workspace]?.backendServers ?? [];
      const targetKey = _targetKey(target);
      const key = allowed.length === 0
        ? targetKey
        : `${targetKey} ${workspace}`;
      return findOrCompile(key, target, allowed);
    },
    poolOf(kind, name) {
      return pools.get(`${kind} ${name}`) ?? -1;
    },
    sharedPromptTokens(workspace) {
      return fleet.workspaces[workspace]?.sharedPromptTokens ?? 0;
    },
  };
}
