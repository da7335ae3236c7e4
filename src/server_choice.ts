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
import type { ServerOutcomes } from "./core/server_outcomes.ts";
import type { GatewayStateTask } from "./gateway_state_task.ts";
import type { CheckedRequest } from "./request_check.ts";
import type { TimerService } from "./timer_service.ts";

/** The sources of the inputs to a choice. */
export interface ServerChoiceContext {
  readonly state: GatewayStateTask;
  readonly load: FleetLoad;
  readonly outcomes: ServerOutcomes;
  readonly directory: PromptDirectory;
  readonly random: RandomSource;
  readonly timers: TimerService;
  readonly dataCentre: DataCentreId;
  readonly loadBound: () => LoadBound;
}

/** Chooses a server for a request; `tried` are the servers it was already sent to. */
export function chooseServer(
  context: ServerChoiceContext,
  { service, terms }: CheckedRequest,
  tried: ReadonlySet<BackendServerId>,
): Placement | undefined {
  const { state, load, outcomes, directory } = context;
  const now = context.timers.clock.monotonicMilliseconds();
  const servers = state.registry.readyServers(service);
  outcomes.evaluate(service, servers, now);
  return choosePlacement({
    servers,
    inFlight: (server) => load.inFlight(server),
    isExcluded: (server) => outcomes.isExcluded(server, now),
    tried,
    promptParts: terms.promptParts,
    holders: (part) => directory.serversWith(part),
    dataCentre: context.dataCentre,
    bound: context.loadBound(),
    random: context.random,
  });
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
