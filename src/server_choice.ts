/** Chooses a backend server from the current registry, load and failure data. */
import type { FleetLoad } from "./core/fleet_load.ts";
import type { BackendServerId, DataCentreId } from "./core/ids.ts";
import {
  choosePlacement,
  type LoadBound,
  type Placement,
} from "./core/placement.ts";
import type { PromptDirectory } from "./core/prompt_directory.ts";
import type { RandomSource } from "./core/random.ts";
import type {
  ServerNotices,
  UnavailableServer,
} from "./core/server_notices.ts";
import type { ServerOutcomes } from "./core/server_outcomes.ts";
import type { GatewayStateTask } from "./gateway_state_task.ts";
import type { CheckedRequest } from "./request_check.ts";
import type { TimerService } from "./timer_service.ts";

/** The sources of the inputs to a choice. */
export interface ServerChoiceContext {
  readonly state: GatewayStateTask;
  readonly load: FleetLoad;
  readonly outcomes: ServerOutcomes;
  readonly notices: ServerNotices;
  readonly directory: PromptDirectory;
  readonly random: RandomSource;
  readonly timers: TimerService;
  readonly dataCentre: DataCentreId;
  readonly loadBound: () => LoadBound;
}

/** Chooses a server for a request; `tried` are the servers it was already sent to. */
export function chooseServer(
  context: ServerChoiceContext,
  { service, metadata }: CheckedRequest,
  tried: ReadonlySet<BackendServerId>,
): Placement | undefined {
  const { state, load, outcomes, notices, directory } = context;
  const now = context.timers.clock.monotonicMilliseconds();
  const servers = state.registry.readyServers(service);
  outcomes.evaluate(service, servers, now);

  /** Whether the first request after the server's pause is under way. */
  function isTrying(id: BackendServerId): boolean {
    const server = state.registry.get(id);
    return server !== undefined && notices.isTrying(server);
  }

  return choosePlacement({
    servers,
    inFlight: (server) => load.inFlight(server),
    isUnavailable: (server) =>
      notices.unavailability(server, now) !== undefined,
    isExcluded: (server) =>
      outcomes.isExcluded(server, now) || isTrying(server),
    tried,
    promptParts: metadata.promptParts,
    holders: (part) => directory.serversWith(part),
    dataCentre: context.dataCentre,
    bound: context.loadBound(),
    random: context.random,
  });
}

/** Returns the servers of a service that get no requests, and why. */
export function unavailableServers(
  { state, notices, timers }: ServerChoiceContext,
  { service }: CheckedRequest,
): UnavailableServer[] {
  const now = timers.clock.monotonicMilliseconds();
  return notices.unavailableServers(state.registry.readyServers(service), now);
}

/**
 * Returns the time until a server of a service may get requests again, if none
 * may now because all that stay want a pause.
 */
export function pauseOfService(
  { state, notices, timers }: ServerChoiceContext,
  { service }: CheckedRequest,
): number | undefined {
  const now = timers.clock.monotonicMilliseconds();
  let shortest: number | undefined;
  for (const server of state.registry.readyServers(service)) {
    const reason = notices.unavailability(server, now)?.reason;
    if (reason === "leaving") continue;
    if (reason === undefined) return undefined;
    const pause = notices.pauseMilliseconds(server, now);
    shortest = Math.min(shortest ?? pause, pause);
  }
  return shortest;
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
