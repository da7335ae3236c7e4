/** The connections to the servers and what these can take, of one gateway. */
import {
  type BackendConnections,
  createBackendConnections,
} from "./backend_connections.ts";
import type { ServiceId } from "./core/gateway_configuration.ts";
import { decideConnectionShare } from "./core/load_control/connection_shares.ts";
import {
  createServerCapacity,
  type ServerCapacity,
  type ServerCapacitySources,
} from "./core/load_control/server_capacity.ts";
import type { FleetLoad } from "./core/load_control/fleet_load.ts";
import type { LoadStatements } from "./core/load_control/load_statements.ts";
import type { ServerLoadNotices } from "./core/load_control/server_load_notices.ts";
import { createServerMemory } from "./core/load_control/server_memory.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayStateTask } from "./gateway_state_task.ts";
import type { TimerService } from "./timer_service.ts";

/** What the bounds follow from. */
export interface CapacityContext {
  readonly state: GatewayStateTask;
  /** Number of routers that share the servers, at least 1. */
  readonly sharingRouters: () => number;
}

/** Where changes are logged. */
export interface GatewayConnectionsOptions extends CapacityContext {
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

/** What a gateway knows of the servers. */
export interface GatewayCapacityOptions
  extends
    CapacityContext,
    LoadStatementsOptions,
    Pick<ServerCapacitySources, "notices" | "rateLimits" | "warmUp"> {
  readonly connections: BackendConnections;
  readonly load: FleetLoad;
  /** Address of this router. */
  readonly self: string;
}

/** Where servers state their pace. */
export interface LoadStatementsOptions {
  readonly loadNotices: ServerLoadNotices;
  readonly timers: TimerService;
  /** Replaces the statements that servers make in their responses. */
  readonly statements: LoadStatements | undefined;
}

/** Returns whether servers state their pace. */
export function loadStatementsOf(
  { loadNotices, timers, statements }: LoadStatementsOptions,
): LoadStatements {
  return statements ?? {
    hasStatedPace: () =>
      loadNotices.hasStatedPace(timers.clock.monotonicMilliseconds()),
  };
}

function _connectionShareOf(
  { state, sharingRouters }: CapacityContext,
  service: ServiceId,
): number {
  const maximum = state.table()?.findService(service)?.maximumConnections;
  return maximum === undefined
    ? Infinity
    : decideConnectionShare(maximum, sharingRouters());
}

/** Creates a pool whose connections stay within the router's share. */
export function createGatewayConnections(
  options: GatewayConnectionsOptions,
): BackendConnections {
  const { log, metrics } = options;
  return createBackendConnections({
    shareOf: (service) => _connectionShareOf(options, service),
    onIdleLimit: (service, milliseconds) =>
      log.write("service.idle_limit", {
        service,
        milliseconds: Math.round(milliseconds),
      }),
    onExcess(excess) {
      metrics.excessResponses.inc({ phase: excess.phase });
      const { requestId: request, ...fields } = excess;
      log.write("server.excess_bytes", { request, ...fields });
    },
  });
}

/** Creates the capacity of the servers as one gateway sees it. */
export function createGatewayCapacity(
  options: GatewayCapacityOptions,
): ServerCapacity {
  const { connections, state, load, self, sharingRouters } = options;
  const { notices, rateLimits, warmUp } = options;
  const statements = loadStatementsOf(options);
  return createServerCapacity({
    notices,
    rateLimits,
    warmUp,
    evacuations: state.evacuationTask.evacuations,
    connections: {
      inUse: (server) => connections.inUse(server),
      shareOf: ({ service }) => _connectionShareOf(options, service),
    },
    memory: createServerMemory({
      self,
      tokensOf: (service) => state.table()?.findService(service)?.memoryTokens,
      isBinding: () => statements.hasStatedPace(),
      inFlight: (server) => load.inFlight(server),
      ownInFlight: (server) => load.ownInFlight(server),
      sharingRouters,
      serversOf: (service) => state.registry.readyServers(service).length,
      loadAgeMilliseconds: (now) => load.ageMilliseconds(now),
    }),
  });
}
