/** Chooses a backend server from the current registry, load and failure data. */
import {
  type FleetRegions,
  isRegionAllowed,
} from "./core/permitted_regions.ts";
import {
  type CapacityBlock,
  type CapacityReason,
  type ClosingReason,
  isClosing,
  isFull,
  permittedServers,
  type ServerCapacity,
  type UnavailableServer,
} from "./core/load_control/server_capacity.ts";
import type { Evacuations } from "./core/evacuations.ts";
import type { FleetLoad } from "./core/load_control/fleet_load.ts";
import type { BackendServerId, DataCentreId } from "./core/ids.ts";
import {
  choosePlacement,
  type LoadBound,
  type Placement,
  type PlacementInput,
} from "./core/load_control/placement.ts";
import type { PlacementCosts } from "./core/load_control/placement_cost.ts";
import type { PromptDirectory } from "./core/prompt_directory.ts";
import type { PromptReads } from "./core/load_control/prompt_reads.ts";
import type { RandomSource } from "./core/random.ts";
import type { ServerLoadNotices } from "./core/load_control/server_load_notices.ts";
import type { ServerNotices } from "./core/server_notices.ts";
import type { ServerOutcomes } from "./core/server_outcomes.ts";
import type { RegisteredServer } from "./core/server_registry.ts";
import type { GatewayStateTask } from "./gateway_state_task.ts";
import type { CheckedRequest } from "./request_check.ts";
import type { TimerService } from "./timer_service.ts";

/** The sources of the inputs to a choice. */
export interface ServerChoiceContext {
  readonly state: GatewayStateTask;
  readonly load: FleetLoad;
  readonly outcomes: ServerOutcomes;
  readonly evacuations: Evacuations;
  readonly notices: ServerNotices;
  readonly capacity: ServerCapacity;
  readonly loadNotices: ServerLoadNotices;
  /** Whether servers that state their pace are compared by expected cost. */
  readonly placesByCost: boolean;
  readonly promptReads: PromptReads;
  readonly directory: PromptDirectory;
  readonly random: RandomSource;
  readonly timers: TimerService;
  readonly dataCentre: DataCentreId;
  readonly regions: () => FleetRegions;
  readonly loadBound: () => LoadBound;
  /** Whether requests wait while all servers are full. */
  readonly mayWait: () => boolean;
}

/** Why requests cannot be sent to any server of a service for some time. */
export interface ServiceWait {
  readonly reason: Exclude<CapacityReason, ClosingReason>;
  /** Undefined if it is not known, or if only other routers may send to its servers. */
  readonly milliseconds: number | undefined;
}

/**
 * What the servers of a service can take of one request at one time. It is made once
 * for each decision, so that no server is asked twice.
 */
export interface ServerAssessment {
  /** Servers in the regions that the request may use. */
  readonly servers: readonly RegisteredServer[];
  /** Those of them that may not take the request; undefined if all may. */
  readonly blocks: ReadonlyMap<RegisteredServer, CapacityBlock> | undefined;
  /** Those that take only some of the requests that they could get, if any. */
  readonly limited: ReadonlySet<RegisteredServer> | undefined;
}

/** What replaces the defaults of a choice. */
export interface ServerChoiceOptions {
  /** The assessment of this decision, if there is one. */
  readonly assessment?: ServerAssessment;
  /** Whether this request waits while all servers are full. */
  readonly mayWait?: boolean;
}

/** Asks all servers that a request may use what they can take of it now. */
export function assessServers(
  { state, regions, capacity, timers }: ServerChoiceContext,
  request: CheckedRequest,
): ServerAssessment {
  const now = timers.clock.monotonicMilliseconds();
  const servers = permittedServers(
    state.registry.readyServers(request.service),
    request.permittedRegions,
    regions,
  );
  let blocks: Map<RegisteredServer, CapacityBlock> | undefined;
  let limited: Set<RegisteredServer> | undefined;
  for (const server of servers) {
    const block = capacity.blockOf(server, request, now);
    if (block) (blocks ??= new Map()).set(server, block);
    if (capacity.isLimited(server, now)) (limited ??= new Set()).add(server);
  }
  return { servers, blocks, limited };
}

/** Returns what costs are estimated from; undefined if the choice is one by load. */
function _costsOf(
  context: ServerChoiceContext,
  { service, canCopyCache }: CheckedRequest,
  now: number,
): PlacementCosts | undefined {
  const { state, load, loadNotices, promptReads, placesByCost } = context;
  if (!placesByCost || !loadNotices.hasStatedPace(now)) return undefined;
  return {
    paceOf: (server) => loadNotices.paceOf(server, now),
    waitingAt: (server) => loadNotices.waitingAt(server, now),
    tokensOnTheirWay: (server) => promptReads.fleetTokensAt(server, load),
    gapLimitMilliseconds: state.table()?.gapObjectiveOf(service),
    dataCentreOf: (server) => state.registry.get(server)?.dataCentre,
    canCopyCache,
  };
}

/** Whether a block says nothing about how well the server serves. */
function _isComparable(block: CapacityBlock | undefined): boolean {
  return block === undefined ||
    !(isClosing(block.reason) || block.reason === "pausing");
}

/**
 * Returns the servers that take all requests that they could get, by which outliers
 * are found. Servers that the request may not use are compared as well.
 */
function _comparableServers(
  { state, capacity }: ServerChoiceContext,
  { service, permittedRegions }: CheckedRequest,
  { blocks, limited }: ServerAssessment,
  now: number,
): readonly RegisteredServer[] {
  const servers = state.registry.readyServers(service);
  if (!permittedRegions) {
    return servers.filter((server) =>
      _isComparable(blocks?.get(server)) && !limited?.has(server)
    );
  }
  // Servers of other regions were not assessed.
  return servers.filter((server) =>
    _isComparable(capacity.closureOf(server, now)) &&
    !capacity.isLimited(server, now)
  );
}

/** Chooses a server for a request; `tried` are the servers it was already sent to. */
export function chooseServer(
  context: ServerChoiceContext,
  request: CheckedRequest,
  tried: ReadonlySet<BackendServerId>,
  {
    assessment = assessServers(context, request),
    mayWait = context.mayWait(),
  }: ServerChoiceOptions = {},
): Placement | undefined {
  const { service, metadata, permittedRegions } = request;
  const { state, load, outcomes, notices, directory } = context;
  const { evacuations } = context;
  const { servers, blocks, limited } = assessment;
  const now = context.timers.clock.monotonicMilliseconds();
  if (outcomes.isDue(service, now)) {
    const comparable = _comparableServers(context, request, assessment, now);
    outcomes.evaluate(service, comparable, now);
  }

  /**
   * Whether the first request after the server's pause is under way, or no cache may
   * be copied from it because its data centre is evacuated or not allowed.
   */
  function isAvoided(id: BackendServerId): boolean {
    const server = state.registry.get(id);
    if (!server) return false;
    const { dataCentre } = server;
    return notices.isTrying(server) || evacuations.isEvacuated(dataCentre) ||
      !isRegionAllowed(permittedRegions, dataCentre, context.regions());
  }

  const input: PlacementInput = {
    servers,
    inFlight: (server) => load.inFlight(server),
    isUnavailable: (server) => blocks?.has(server) ?? false,
    isRateLimited: (server) => limited?.has(server) ?? false,
    isExcluded: (server) =>
      outcomes.isExcluded(server, now) || isAvoided(server),
    tried,
    promptParts: metadata.promptParts,
    holders: (part) => directory.serversWith(part),
    dataCentre: context.dataCentre,
    bound: context.loadBound(),
    random: context.random,
    costs: _costsOf(context, request, now),
  };
  const placement = choosePlacement(input);
  if (placement || !isAnyFull(assessment, tried) || mayWait) return placement;
  // A request that cannot wait is sent beyond the share of connections: a server that
  // may refuse it is better than none. One beyond its memory would crash.
  return choosePlacement({
    ...input,
    isUnavailable(server) {
      const block = blocks?.get(server);
      return block !== undefined && block.reason !== "connections";
    },
  });
}

/** Whether a request could be sent to a server that it was not sent to, if it had room. */
export function isAnyFull(
  { blocks }: ServerAssessment,
  tried: ReadonlySet<BackendServerId>,
): boolean {
  for (const [{ id }, { reason }] of blocks ?? []) {
    if (isFull(reason) && !tried.has(id)) return true;
  }
  return false;
}

/** Returns the servers of a service that get no requests, and why. */
export function unavailableServers(
  context: ServerChoiceContext,
  request: CheckedRequest,
  { blocks } = assessServers(context, request),
): UnavailableServer[] {
  return [...blocks ?? []].map(([{ id }, { reason, ageMilliseconds }]) => ({
    server: id,
    reason,
    ageMilliseconds,
  }));
}

/**
 * Returns the time until a server of a service may get requests again, if none may
 * now although some stay.
 */
export function waitOfService(
  context: ServerChoiceContext,
  request: CheckedRequest,
  { servers, blocks } = assessServers(context, request),
): ServiceWait | undefined {
  if (!blocks || blocks.size < servers.length) return undefined;
  let reason: ServiceWait["reason"] = "pausing";
  let shortest: number | undefined;
  for (const block of blocks.values()) {
    if (isClosing(block.reason)) continue;
    if (block.reason !== "pausing") reason = block.reason;
    const wait = block.waitMilliseconds;
    shortest = Math.min(shortest ?? wait, wait);
  }
  if (shortest === undefined) return undefined;
  const milliseconds = Number.isFinite(shortest) ? shortest : undefined;
  return { reason, milliseconds };
}

/** Returns the address from which the chosen server can copy a prefix cache. */
export function cacheSourceAddress(
  { state }: ServerChoiceContext,
  { canCopyCache }: CheckedRequest,
  { cacheSource }: Placement,
): string | undefined {
  if (!canCopyCache || cacheSource === undefined) return undefined;
  return state.registry.get(cacheSource)?.address;
}
