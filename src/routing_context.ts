/** The inputs of routing decisions: configuration, loads and backend states. */
import type { ConfigurationView } from "./configuration_view.ts";
import type { BackendStates } from "./core/backend_state.ts";
import type { RememberedServer } from "./core/remembered_servers.ts";
import type { Exclusions } from "./core/exclusions.ts";
import type { FlapDamping } from "./core/flap_damping.ts";
import type { BackendServerId, WorkspaceId } from "./core/ids.ts";
import type { LoadView } from "./core/load_view.ts";
import type { RandomSource } from "./core/random.ts";
import {
  type Candidate,
  rankCandidates,
  type RoutingRequest,
} from "./core/routing.ts";
import { createRoutingIndex, type RoutingIndex } from "./core/routing_index.ts";
import { createWarmServers } from "./core/warm_servers.ts";
import type { Clock } from "./timer_service.ts";

/** Options of the routing context. */
export interface RoutingContextOptions {
  readonly configuration: ConfigurationView;
  readonly load: LoadView;
  readonly states: BackendStates;
  readonly flapDamping: FlapDamping;
  readonly exclusions: Exclusions;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Estimates the workspace's tokens in flight across the fleet. */
  readonly workspaceTokens: (workspace: WorkspaceId) => number;
}

/** Ranks candidates by the current state of this router. */
export interface RoutingContext {
  /** The index of the current configuration; undefined before the first one. */
  index(): RoutingIndex | undefined;
  rank(
    request: RoutingRequest,
    remembered: readonly RememberedServer[],
  ): readonly Candidate[];
  /** Records that a server served a workspace and holds its shared prompt. */
  recordServed(workspace: WorkspaceId, backendServer: BackendServerId): void;
}

/** Creates the routing context of one router. */
export function createRoutingContext(
  options: RoutingContextOptions,
): RoutingContext {
  const warmServers = createWarmServers();
  const flapDamping: FlapDamping = {
    ...options.flapDamping,
    isSuppressed: (server, now) =>
      options.flapDamping.isSuppressed(server, now) ||
      options.exclusions.isExcluded(server, now),
  };
  let index: RoutingIndex | undefined;
  const current = options.configuration.current();
  if (current) index = createRoutingIndex(current);
  options.configuration.onChange((snapshot) =>
    index = createRoutingIndex(snapshot)
  );

  return {
    index: () => index,
    recordServed: (workspace, backendServer) =>
      warmServers.recordServed(workspace, backendServer),
    rank(request, remembered) {
      if (!index) return [];
      const view = {
        index,
        remembered,
        warm: warmServers.serversOf(request.workspace),
        load: options.load,
        backendStates: options.states,
        flapDamping,
        workspaceTokens: options.workspaceTokens,
        // Routers learn of evictions only through the chat's home.
        cacheState: () => ({ kind: "unknown" }) as const,
      };
      return rankCandidates(
        request,
        view,
        options.clock.monotonicMilliseconds(),
        options.random,
      );
    },
  };
}
