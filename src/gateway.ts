/**
 * A gateway: a router that forwards requests of any kind to registered backend
 * servers. The store, header names and formats are passed in, so that the
 * gateway can run on different platforms.
 */
import { randomBytes } from "node:crypto";
import type { Result } from "neverthrow";
import { shutDownCallers } from "./caller_shutdown.ts";
import { createClientResources } from "./client_resources.ts";
import { createConnectionShedder } from "./connection_shedder.ts";
import { createFleetRegions } from "./core/permitted_regions.ts";
import type { ApplicationError } from "./core/errors.ts";
import { createFleetLoad } from "./core/load_control/fleet_load.ts";
import {
  brandId,
  type DataCentreId,
  type HostId,
  type IncarnationId,
  type SocketAddress,
} from "./core/ids.ts";
import { createSeededRandom } from "./core/random.ts";
import { LoopStalls } from "./core/load_control/stream_gaps.ts";
import { createDecisionLog, createStandardOutput } from "./decision_log.ts";
import { DefaultEntryFormat } from "./entry_format.ts";
import { createEventLoopDelay } from "./event_loop_delay.ts";
import { createFaultHandler } from "./fault_handler.ts";
import {
  createEntryServer,
  createStatusServer,
  type GatewayInterfacesOptions,
} from "./gateway_interfaces.ts";
import {
  createGatewayCapacity,
  createGatewayConnections,
} from "./gateway_capacity.ts";
import { createGatewayMetrics } from "./gateway_metrics.ts";
import { createGatewayPeerTask } from "./gateway_peer_task.ts";
import type {
  Gateway,
  GatewayOptions,
  GatewayTuning,
} from "./gateway_options.ts";
import { openPorts } from "./gateway_ports.ts";
import { createGatewayProtocol } from "./gateway_protocol.ts";
import { createCallerServer } from "./gateway_server.ts";
import { createGatewayStateTask } from "./gateway_state_task.ts";
import { createGatewayWaiting } from "./gateway_waiting.ts";
import { createGatewayStatus } from "./gateway_status.ts";
import { handleRequest } from "./gateway_requests.ts";
import { createCrashDetection } from "./crash_detection.ts";
import { toListenAddress } from "./listen_address.ts";
import { observeLoopStalls } from "./loop_stalls.ts";
import type { PassThroughContext } from "./pass_through_context.ts";
import { createPlannedStop } from "./planned_stop.ts";
import { createRetryBudgets } from "./retry_budgets.ts";
import { createRouterUtilization } from "./router_utilization.ts";
import { createServerKnowledge } from "./server_knowledge.ts";
import { createStallDetector } from "./stall_detector.ts";
import { observeStore } from "./store_observation.ts";
import { createTcpPeerNetwork } from "./tcp_peer_network.ts";
import {
  createSystemTimerService,
  type Subscription,
} from "./timer_service.ts";

const INCARNATION_BYTES = 8;
const HOUSEKEEPING_PERIOD_MILLISECONDS = 1_000;
/** Interval of log flushes; a killed process loses up to this much. */
const LOG_FLUSH_MILLISECONDS = 250;
/** How long callers may cache entry addresses. */
const ENTRY_LIFETIME_MILLISECONDS = 2_000;
/** How long new connections are still accepted after a stop signal. */
const STOP_ACCEPT_MILLISECONDS = 3_000;
/** How often a stopping router looks for requests that it cannot finish. */
const STOP_CHECK_MILLISECONDS = 100;

export type {
  Gateway,
  GatewayAddresses,
  GatewayOptions,
  GatewayTuning,
} from "./gateway_options.ts";

/** Creates a gateway; `start` opens its connections and ports. */
export function createGateway(options: GatewayOptions): Gateway {
  const { store, addresses } = options;
  let tuning: GatewayTuning = options;
  let regions = createFleetRegions(options.regions);
  const timers = createSystemTimerService();
  const { clock } = timers;
  const random = createSeededRandom(randomBytes(4).readInt32BE());
  const host = brandId<HostId>(options.host);
  const dataCentre = brandId<DataCentreId>(options.dataCentre);
  const callerAddress = brandId<SocketAddress>(addresses.callers);
  const incarnation = brandId<IncarnationId>(
    randomBytes(INCARNATION_BYTES).toString("hex"),
  );
  const log = createDecisionLog({
    clock,
    output: options.output ?? createStandardOutput(),
    base: { host },
  });
  const metrics = createGatewayMetrics();
  const clients = createClientResources({
    limits: options.clientLimits,
    log,
    metrics,
  });
  const protocol = options.protocol ?? createGatewayProtocol();
  const { evacuateMilliseconds } = options;
  const state = createGatewayStateTask({
    store,
    timers,
    random,
    log,
    evacuateMilliseconds,
  });
  observeStore(store, { state, log, metrics });
  const load = createFleetLoad();
  const knowledge = createServerKnowledge({
    state,
    log,
    clock,
    warmUpBound: options.warmUpBound,
  });
  const { outcomes, crashes } = knowledge;
  const crashDetection = createCrashDetection({
    crashes,
    outcomes,
    timers,
    log,
    metrics,
  });
  const shared = { state, load, timers, log, metrics, sharingRouters };
  const connections = createGatewayConnections(shared);
  const network = createTcpPeerNetwork({
    ...toListenAddress(addresses.peers),
    fleetKey: options.fleetKey,
    identity: { host, dataCentre, incarnation },
  });
  const plannedStop = createPlannedStop({
    clock,
    hasOtherRouters: () => peers.servingRouters().length > 0,
  });
  let isListening = false;
  let inFlight = 0;
  const subscriptions: Subscription[] = [];
  const stalls = createStallDetector(LOG_FLUSH_MILLISECONDS, timers);
  const loopStalls = new LoopStalls();
  const utilization = createRouterUtilization({
    clock,
    memory: clients.memory,
    metrics,
    linkMegabitsPerSecond: options.linkMegabitsPerSecond,
  });
  const loopDelay = createEventLoopDelay({ clock, log, metrics });

  const peers = createGatewayPeerTask({
    network,
    store,
    timers,
    random,
    log,
    state,
    load,
    ...knowledge,
    host,
    dataCentre,
    capacity: options.capacity ?? 1,
    address: brandId<SocketAddress>(addresses.peers),
    callerAddress,
    seeds: options.seeds.map((seed) => brandId<SocketAddress>(seed)),
    isServing,
    busyShare: () => utilization.busyShare,
  });
  const budgets = createRetryBudgets({
    random,
    allowance: () => tuning.retries,
    sharingRouters,
  });
  const capacity = createGatewayCapacity({
    ...shared,
    ...knowledge,
    connections,
    statements: options.loadStatements,
    self: addresses.peers,
  });
  const waiting = createGatewayWaiting({
    ...shared,
    ...knowledge,
    capacity,
    regions: () => regions,
    statements: options.loadStatements,
  });
  const shedder = createConnectionShedder({
    clock,
    metrics,
    routers: () => peers.servingRouters(),
    openConnections: () => callerServer.connectionCount,
  });
  const context: PassThroughContext = {
    ...clients,
    state,
    connections,
    protocol,
    load,
    ...knowledge,
    evacuations: state.evacuationTask.evacuations,
    capacity,
    retries: (service) => budgets.of(service),
    timers,
    random,
    crashDetection,
    log,
    metrics,
    dataCentre,
    regions: () => regions,
    loadBound: () => tuning.loadBound,
    placesByCost: options.placesByCost ?? false,
    plannedStop,
    shedder,
    loopStalls,
    waiting,
    mayWait: () => waiting.isActive,
    onFinished: () => inFlight--,
  };
  const status = createGatewayStatus({
    ...context,
    memory: clients.memory,
    peers,
    budgets,
    describeProcess: () => ({
      host,
      dataCentre,
      incarnation,
      isServing: isServing(),
      isStopping: plannedStop.isStopping,
      inFlight,
      busyShare: utilization.busyShare,
    }),
  });
  const interfaces: GatewayInterfacesOptions = {
    isServing,
    routers: () => peers.servingRouters(),
    regionsOfHost: (hostName) => state.table()?.regionsOfHost(hostName),
    regions: () => regions,
    entryMoment: () => ({
      callerAddress,
      dataCentre,
      now: clock.wallMilliseconds(),
    }),
    entryFormat: options.entryFormat ?? new DefaultEntryFormat(),
    keepMilliseconds: ENTRY_LIFETIME_MILLISECONDS,
    metricsText: () => status.renderMetrics(),
    describe: () => status.describe(),
    ...clients,
  };
  const callerServer = createCallerServer((request, response) => {
    inFlight++;
    handleRequest(context, request, response);
  }, {
    ...clients,
    listener: {
      onMalformed: (rejection) =>
        log.write("request.malformed", { ...rejection }),
      onDropped(connection) {
        metrics.droppedRequests.inc();
        log.write("request.dropped", { ...connection });
      },
    },
  });
  const entryServer = createEntryServer(interfaces);
  const statusServer = createStatusServer(interfaces);

  function sharingRouters(): number {
    return peers.sharingRouters();
  }

  function isServing(): boolean {
    return isListening && !plannedStop.isStopping && state.allowsServing();
  }

  function runHousekeeping(): void {
    utilization.measure();
    shedder.observe(utilization.busyShare);
    const now = clock.monotonicMilliseconds();
    crashes.expire(now);
    connections.retain((server) => knowledge.isUsed(server, now));
    knowledge.review(now);
  }

  function flushLog(): void {
    const stall = stalls.observe();
    if (stall !== undefined) metrics.stallSeconds.inc(stall / 1_000);
    loopDelay.observe(inFlight);
    for (const port of [callerServer, entryServer, statusServer]) {
      port.countUnread();
    }
    log.flush();
  }

  function applyState(): void {
    knowledge.applyRegistrations(clock.monotonicMilliseconds());
    const table = state.table();
    if (table) callerServer.applyBounds(table.configuration.bounds);
    waiting.recordConfiguration(table?.configuration.version);
  }

  function reportListenError(port: string, error: string): void {
    metrics.listenErrors.inc({ port });
    log.write("listener.failed", { port, error, inFlight });
  }

  async function start(): Promise<void> {
    log.write("process.started", { incarnation, addresses });
    state.onChange(applyState);
    utilization.start();
    await network.start();
    await state.start();
    await peers.start();
    await openPorts(
      { callerServer, entryServer, statusServer },
      addresses,
      reportListenError,
    );
    isListening = true;
    stalls.observe();
    loopDelay.start();
    subscriptions.push(
      timers.every(
        HOUSEKEEPING_PERIOD_MILLISECONDS,
        "housekeeping",
        runHousekeeping,
      ),
      timers.every(LOG_FLUSH_MILLISECONDS, "log", flushLog),
      observeLoopStalls(loopStalls, timers),
    );
  }

  let stopped: Promise<void> | undefined;

  /** Every caller waits for the end of the one stop. */
  function stop(): Promise<void> {
    stopped ??= stopOnce();
    return stopped;
  }

  async function stopOnce(): Promise<void> {
    const stoppedAt = clock.monotonicMilliseconds();
    const { graceMilliseconds } = tuning;
    const lateness = Math.round(stalls.recentStillness());
    plannedStop.begin(graceMilliseconds, lateness);
    log.write("process.stopping", { inFlight, graceMilliseconds, lateness });
    peers.announce();
    subscriptions.push(
      timers.every(
        STOP_CHECK_MILLISECONDS,
        "stop",
        () => plannedStop.reconsiderAll(),
      ),
    );
    await timers.sleep(
      Math.min(STOP_ACCEPT_MILLISECONDS, plannedStop.remainingMilliseconds()),
      "stop",
    );
    const unfinished = await shutDownCallers({
      callerServer,
      plannedStop,
      timers,
    });
    entryServer.server.close();
    statusServer.server.close();
    for (const subscription of subscriptions) subscription.cancel();
    loopDelay.stop();
    utilization.stop();
    await peers.stop();
    await state.stop();
    await network.stop();
    await connections.close();
    await store.close();
    log.write("process.stopped", {
      inFlight,
      ...unfinished,
      milliseconds: Math.round(clock.monotonicMilliseconds() - stoppedAt),
    });
    log.flush();
    log.end();
    timers.stop();
  }

  function reload(settings: Result<GatewayTuning, ApplicationError>): void {
    if (settings.isErr()) {
      const { kind, detail } = settings.error;
      log.write("settings.rejected", { error: kind, detail });
      return;
    }
    const { retries, loadBound, graceMilliseconds } = settings.value;
    tuning = { retries, loadBound, graceMilliseconds };
    regions = createFleetRegions(settings.value.regions);
    log.write("settings.reloaded", { ...tuning });
  }

  const handleFault = createFaultHandler({ log, metrics, clock });
  return { start, stop, reload, handleFault };
}
