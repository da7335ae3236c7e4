/** The waiting requests of a gateway, connected to what it knows of the servers. */
import {
  type CapacityBlock,
  isClosing,
  isFull,
  permittedServers,
} from "./core/load_control/server_capacity.ts";
import type {
  RoomSource,
  ServerStanding,
} from "./core/load_control/service_room.ts";
import {
  loadStatementsOf,
  type LoadStatementsOptions,
} from "./gateway_capacity.ts";
import type { ServerChoiceContext } from "./server_choice.ts";
import {
  createWaitingRequests,
  type WaitingRequests,
} from "./waiting_requests.ts";

/** Dependencies of a gateway's waiting requests. */
export interface GatewayWaitingOptions extends
  LoadStatementsOptions,
  Pick<
    ServerChoiceContext,
    | "state"
    | "load"
    | "capacity"
    | "notices"
    | "outcomes"
    | "regions"
  > {
  /** Number of routers that share the servers, at least 1. */
  readonly sharingRouters: () => number;
}

function _createRoomSource(
  { capacity, load, notices, outcomes, sharingRouters }: GatewayWaitingOptions,
): RoomSource {
  return {
    standingOf(server, demand, now) {
      const block = capacity.blockOf(server, demand, now);
      if (block) return _standingOf(block);
      const isExcluded = outcomes.isExcluded(server.id, now) ||
        notices.isTrying(server);
      return isExcluded ? "excluded" : "open";
    },
    inFlight: (server) => load.inFlight(server),
    ownInFlight: (server) => load.ownInFlight(server),
    sharingRouters,
  };
}

/**
 * A full server is waited for although nobody knows how long. One that wants a pause
 * is not: it may want another one.
 */
function _standingOf(
  { reason, waitMilliseconds }: CapacityBlock,
): ServerStanding {
  if (isFull(reason)) return "limited";
  if (isClosing(reason) || reason === "pausing") return "closed";
  return Number.isFinite(waitMilliseconds) ? "limited" : "closed";
}

/** Creates the waiting requests of a gateway; reports of peers wake them. */
export function createGatewayWaiting(
  options: GatewayWaitingOptions,
): WaitingRequests {
  const { timers, state, load, regions, capacity } = options;
  const waiting = createWaitingRequests({
    timers,
    statements: loadStatementsOf(options),
    room: _createRoomSource(options),
    servers: (service, permitted) =>
      permittedServers(
        state.registry.readyServers(service),
        permitted,
        regions,
      ),
    isTooLarge: (service, demand) => capacity.isTooLarge(service, demand),
    loadAgeMilliseconds: (now) => load.ageMilliseconds(now),
  });
  load.onReport(() => waiting.recordReports());
  return waiting;
}
