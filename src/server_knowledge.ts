/**
 * What one gateway knows of backend servers beside their registrations: how they
 * responded, what they said of themselves, and which prompts they have read or
 * crashed on. Each change of what the gateway believes is logged.
 */
import { createPromptCrashes } from "./core/prompt_crashes.ts";
import { createPromptDirectory } from "./core/prompt_directory.ts";
import { createPromptReads } from "./core/load_control/prompt_reads.ts";
import {
  createServerIncarnations,
  type IncarnationKey,
  incarnationKeyOf,
} from "./core/server_incarnations.ts";
import { createServerLoadNotices } from "./core/load_control/server_load_notices.ts";
import { createServerNotices } from "./core/server_notices.ts";
import { createServerOutcomes } from "./core/server_outcomes.ts";
import type { BackendServerId } from "./core/ids.ts";
import type { ServiceId } from "./core/gateway_configuration.ts";
import { createServerRateLimits } from "./core/load_control/server_rate_limits.ts";
import {
  createServerWarmUp,
  type WarmUpBound,
  type WarmUpRate,
} from "./core/load_control/server_warm_up.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayStateTask } from "./gateway_state_task.ts";
import type { Clock } from "./timer_service.ts";

/** Where the registrations are, and where changes are logged. */
export interface ServerKnowledgeOptions {
  readonly state: GatewayStateTask;
  readonly log: DecisionLog;
  readonly clock: Clock;
  /** Requests that a cold server may get in any second. */
  readonly warmUpBound: WarmUpBound | undefined;
}

/** Returns how fast servers of a service may get requests after their start. */
export function warmUpRateOf(
  state: GatewayStateTask,
  service: ServiceId,
): WarmUpRate | undefined {
  const warmUp = state.table()?.findService(service)?.warmUp;
  if (!warmUp) return undefined;
  const { requestsPerSecond, durationMilliseconds } = warmUp;
  return { requestsPerSecond, warmUpMilliseconds: durationMilliseconds };
}

/** What one gateway knows of backend servers. */
export type ServerKnowledge = ReturnType<typeof createServerKnowledge>;

/** Creates the knowledge of a gateway that has heard of no server yet. */
export function createServerKnowledge(
  { state, log, clock, warmUpBound }: ServerKnowledgeOptions,
) {
  const incarnations = createServerIncarnations();
  const outcomes = createServerOutcomes({
    onExcluded: (exclusion) => log.write("server.excluded", { ...exclusion }),
    onUnreachable(id, now) {
      const server = state.registry.get(id);
      if (server) warmUp.markCold(server, "returned", now);
    },
  });
  const notices = createServerNotices({
    onLeaving: ({ id }, source) =>
      log.write("server.leaving", { server: id, source }),
    onPausing: ({ id }, milliseconds) =>
      log.write("server.pausing", { server: id, milliseconds }),
  });
  const rateLimits = createServerRateLimits({
    onChange: ({ incarnation, ...change }) =>
      log.write("server.rate_limit", {
        server: findServer(incarnation)?.id,
        ...change,
      }),
  });
  const warmUp = createServerWarmUp({
    ...(warmUpBound && { bound: warmUpBound }),
    onCold: ({ id }, cause) => log.write("server.cold", { server: id, cause }),
    onWarm: ({ id }, milliseconds) =>
      log.write("server.warm", { server: id, milliseconds }),
  });
  const loadNotices = createServerLoadNotices();
  const promptReads = createPromptReads();
  const directory = createPromptDirectory();
  const crashes = createPromptCrashes({
    onQuarantined: (quarantine) =>
      log.write("prompt.quarantined", { ...quarantine }),
    onCleared: (part) => log.write("prompt.cleared", { part }),
  });

  function findServer(incarnation: IncarnationKey) {
    const { servers } = state.registry.list();
    return servers.find((server) => incarnationKeyOf(server) === incarnation);
  }

  /** Follows a change of the registrations or of their services. */
  function applyRegistrations(now: number): void {
    const { servers } = state.registry.list();
    for (const server of servers) {
      if (server.isDraining) notices.recordLeaving(server, "registry", now);
    }
    for (const server of incarnations.update(servers)) {
      directory.removeServer(server);
      outcomes.forget(server);
    }
    warmUp.update(servers, (service) => warmUpRateOf(state, service), now);
  }

  /** Whether idle connections to a server may get further requests. */
  function isUsed(id: BackendServerId, now: number): boolean {
    const server = state.registry.get(id);
    return server !== undefined &&
      notices.unavailability(server, now)?.reason !== "leaving";
  }

  /** Reviews the servers that have stopped responding. */
  function review(now: number): void {
    warmUp.reviewExcluded((id) => outcomes.isExcluded(id, now), now);
  }

  // The data centre's servers may have been restarted while they got no requests.
  state.evacuationTask.onEnded((dataCentre) => {
    const now = clock.monotonicMilliseconds();
    for (const server of state.registry.list().servers) {
      if (server.dataCentre !== dataCentre) continue;
      warmUp.markCold(server, "evacuation_ended", now);
    }
  });

  return {
    outcomes,
    notices,
    rateLimits,
    warmUp,
    loadNotices,
    promptReads,
    directory,
    crashes,
    applyRegistrations,
    isUsed,
    review,
  };
}
