/**
 * What routing precomputes for one configuration generation: the eligible
 * backend servers per model, adapter, service and workspace, and rendezvous
 * orders, which are computed on first use, kept, and carried over to the next
 * generation.
 */
import type { ConfigurationSnapshot, Fleet } from "./fleet_schema.ts";
import type { BackendServerId, ModelId, WorkspaceId } from "./ids.ts";
import { rankByRendezvous } from "./rendezvous.ts";

/** Servers per rendezvous order: the preferred ones and spares for those that are out. */
const ORDER_LENGTH = 16;
/** A shorter order has lost too many spares to carry over. */
const MINIMUM_ORDER_LENGTH = 12;
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
  /** The orders computed so far, for the next generation. */
  readonly orders: ReadonlyMap<string, readonly RoutedServer[]>;
}

/** The index of one configuration generation. */
export interface RoutingIndex {
  readonly generation: number;
  readonly loadBoundRatio: number;
  /** What was compiled so far, by target and workspace, for the next generation. */
  readonly compiled: ReadonlyMap<string, EligibleServers | undefined>;
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

function _identityOf(server: RoutedServer): string {
  return server.id;
}

/**
 * Updates the orders of the previous generation for the servers that joined and
 * left. What is left of an order are the first servers of those that stayed,
 * so merging the joined ones into it gives the first servers of all.
 */
function _carryOver(
  previous: EligibleServers | undefined,
  byId: ReadonlyMap<string, RoutedServer>,
): Map<string, readonly RoutedServer[]> {
  const orders = new Map<string, readonly RoutedServer[]>();
  if (!previous) return orders;
  const joined = [...byId.values()]
    .filter((server) => !previous.contains(server.id));
  if (joined.length > ORDER_LENGTH) return orders;
  for (const [key, order] of previous.orders) {
    const stayed = order.flatMap((server) => byId.get(server.id) ?? []);
    const isWhole = order.length === previous.servers.length;
    const length = isWhole ? ORDER_LENGTH : stayed.length;
    if (length < MINIMUM_ORDER_LENGTH) continue;
    const merged = joined.length === 0
      ? stayed
      : rankByRendezvous(key, [...stayed, ...joined], _identityOf);
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
  const orders = _carryOver(previous, byId);
  return {
    pool,
    versions,
    servers,
    orders,
    contains: (backendServer) => byId.get(backendServer),
    orderOf(key) {
      const known = orders.get(key);
      if (known) return known;
      const order = rankByRendezvous(key, servers, _identityOf)
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

/**
 * Builds the index of a configuration; servers in its drains are left out. The
 * index of the generation before saves computing the orders again.
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

  function cached(
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
      const name = _targetName(target);
      const key = allowed.length === 0 ? name : `${name} ${workspace}`;
      return cached(key, target, allowed);
    },
    poolOf(kind, name) {
      return pools.get(`${kind} ${name}`) ?? -1;
    },
    sharedPromptTokens(workspace) {
      return fleet.workspaces[workspace]?.sharedPromptTokens ?? 0;
    },
  };
}
