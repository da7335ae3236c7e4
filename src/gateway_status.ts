/** The metrics and the state dump that a gateway serves. */
import { MEMORY_KINDS, type MemoryAccount } from "./core/memory_account.ts";
import {
  NO_DEMAND,
  type UnavailableServer,
} from "./core/load_control/server_capacity.ts";
import type { GatewayPeerTask } from "./gateway_peer_task.ts";
import type { PassThroughContext } from "./pass_through_context.ts";
import type { RetryBudgets } from "./retry_budgets.ts";

/** What a process says about itself in the state dump. */
export interface ProcessDescription {
  readonly host: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  readonly isServing: boolean;
  readonly isStopping: boolean;
  /** Requests that are being served. */
  readonly inFlight: number;
  readonly busyShare: number;
}

/** Sources of the metrics and of the dump. */
export interface GatewayStatusOptions extends
  Pick<
    PassThroughContext,
    | "state"
    | "connections"
    | "load"
    | "outcomes"
    | "capacity"
    | "evacuations"
    | "rateLimits"
    | "warmUp"
    | "loadNotices"
    | "promptReads"
    | "waiting"
    | "crashes"
    | "metrics"
    | "log"
    | "timers"
  > {
  readonly memory: MemoryAccount;
  readonly peers: GatewayPeerTask;
  readonly budgets: RetryBudgets;
  readonly describeProcess: () => ProcessDescription;
}

/** Serves the metrics and the dump. */
export interface GatewayStatus {
  describe(): unknown;
  renderMetrics(): Promise<string>;
}

/** Creates the status of a gateway. */
export function createGatewayStatus(
  options: GatewayStatusOptions,
): GatewayStatus {
  const { state, connections, load, outcomes, capacity, crashes } = options;
  const { metrics, log, timers, peers, budgets, describeProcess } = options;
  const { rateLimits, warmUp, evacuations } = options;
  const { loadNotices, promptReads, waiting, memory } = options;

  function now(): number {
    return timers.clock.monotonicMilliseconds();
  }

  function unavailableServers(): UnavailableServer[] {
    return state.registry.list().servers.flatMap((server) => {
      const block = capacity.closureOf(server, now()) ??
        capacity.fullnessOf(server, NO_DEMAND, now());
      if (!block) return [];
      const { reason, ageMilliseconds } = block;
      return [{ server: server.id, reason, ageMilliseconds }];
    });
  }

  function limitedServers() {
    return state.registry.list().servers.flatMap((server) => {
      const limit = rateLimits.limitOf(server, now());
      return limit ? [{ server: server.id, ...limit }] : [];
    });
  }

  function updateRateLimitMetrics(): void {
    metrics.serverRateLimit.reset();
    metrics.serverRateLimitShare.reset();
    for (const limit of limitedServers()) {
      const { server, requestsPerSecond, sharePerSecond } = limit;
      metrics.serverRateLimit.set({ server }, requestsPerSecond);
      metrics.serverRateLimitShare.set({ server }, sharePerSecond);
    }
  }

  function updateWarmUpMetrics(): void {
    metrics.coldServers.reset();
    metrics.warmUpShare.reset();
    for (const { server, phase, sharePerSecond } of warmUp.coldServers(now())) {
      metrics.coldServers.inc({ phase });
      metrics.warmUpShare.set({ server }, sharePerSecond);
    }
  }

  function statedLoads() {
    return state.registry.list().servers.flatMap((server) => {
      const stated = loadNotices.lastOf(server, now());
      if (!stated) return [];
      const smoothedPace = loadNotices.paceOf(server, now());
      return [{ server: server.id, ...stated, smoothedPace }];
    });
  }

  function updateWorkMetrics(): void {
    metrics.serverPace.reset();
    metrics.serverPromptTokens.reset();
    if (!loadNotices.hasStatedPace(now())) return;
    for (const { server, pace, smoothedPace } of statedLoads()) {
      if (pace !== undefined) metrics.serverPace.set({ server }, smoothedPace);
      const tokens = promptReads.fleetTokensAt(server, load);
      metrics.serverPromptTokens.set({ server }, tokens);
    }
  }

  function updateWaitMetrics(): void {
    metrics.waitingRequests.reset();
    for (const summary of waiting.describe()) {
      const { service, lengths, oldestMilliseconds } = summary;
      for (const [priority, count] of lengths) {
        metrics.waitingRequests.set({ service, priority }, count);
      }
      metrics.oldestWaitSeconds.set({ service }, oldestMilliseconds / 1_000);
      const expected = summary.expectedWaitMilliseconds;
      if (expected !== undefined) {
        metrics.expectedWaitSeconds.set({ service }, expected / 1_000);
      }
    }
    metrics.loadAgeSeconds.set(load.ageMilliseconds(now()) / 1_000);
  }

  function updateStateMetrics(): void {
    const { configurationVersion, storeEra } = state.loggedVersions();
    metrics.storeEra.set(storeEra);
    metrics.configurationVersion.set(configurationVersion);
    for (const subject of ["configuration", "registry"] as const) {
      const age = state.ageMilliseconds(subject);
      metrics.stateAgeSeconds.set({ subject }, age < 0 ? -1 : age / 1_000);
    }
    metrics.routers.set(peers.liveRouters());
    metrics.evacuatedDataCentres.set(evacuations.list().length);
  }

  function updateServerMetrics(): void {
    metrics.backendConnections.set(connections.openedCount());
    metrics.strayResponses.set(connections.strayResponseCount());
    metrics.unavailableServers.reset();
    for (const { reason } of unavailableServers()) {
      metrics.unavailableServers.inc({ reason });
    }
    metrics.quarantinedParts.set(crashes.quarantines(now()).length);
    metrics.serverRequests.reset();
    metrics.serverConnections.reset();
    metrics.serverHeldTokens.reset();
    for (const server of state.registry.list().servers) {
      const { id } = server;
      const tokens = capacity.heldTokens(server);
      if (tokens !== undefined) {
        metrics.serverHeldTokens.set({ server: id }, tokens);
      }
      metrics.serverRequests.set({ server: id }, load.inFlight(id));
      metrics.serverConnections.set({ server: id }, connections.count(id));
    }
    for (const [service, retries] of budgets.remaining(now())) {
      metrics.retriesLeft.set({ service }, retries);
    }
  }

  function updateMemoryMetrics(): void {
    metrics.clientMemoryBudget.set(
      Number.isFinite(memory.budgetBytes) ? memory.budgetBytes : -1,
    );
    for (const kind of MEMORY_KINDS) {
      metrics.clientMemory.set({ kind }, memory.heldBy(kind));
      metrics.clientMemoryGivenUp.set({ kind }, memory.givenUp(kind));
    }
  }

  return {
    describe: () => ({
      ...describeProcess(),
      state: state.describe(),
      peers: peers.describe(),
      loads: load.ownLoads(),
      evacuated: evacuations.list(),
      excluded: outcomes.excludedServers(now()),
      unavailable: unavailableServers(),
      rateLimits: limitedServers(),
      cold: warmUp.coldServers(now()),
      statedLoads: statedLoads(),
      quarantined: crashes.quarantines(now()),
      waiting: waiting.describe().map(({ lengths, ...summary }) => ({
        ...summary,
        lengths: Object.fromEntries(lengths),
      })),
      loadAgeMilliseconds: load.ageMilliseconds(now()),
    }),
    async renderMetrics() {
      updateStateMetrics();
      updateServerMetrics();
      updateRateLimitMetrics();
      updateWarmUpMetrics();
      updateWorkMetrics();
      updateWaitMetrics();
      updateMemoryMetrics();
      metrics.inFlight.set(describeProcess().inFlight);
      metrics.droppedLines.set(log.dropped());
      return await metrics.registry.metrics();
    },
  };
}
