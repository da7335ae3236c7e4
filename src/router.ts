/**
 * Assembles one router from its tasks. Sockets, clock, randomness and the
 * platform client can be replaced through the options.
 */
import { randomBytes } from "node:crypto";
import type { Logger } from "pino";
import { createAccess } from "./access.ts";
import { AdmissionClient } from "./admission_client.ts";
import { AdmissionTask } from "./admission_task.ts";
import {
  type BackendClient,
  createHttpBackendClient,
} from "./backend_client.ts";
import { createBackendLoadSource } from "./backend_load_source.ts";
import { BackendStateTask } from "./backend_state_task.ts";
import { createCallerInterface } from "./caller_interface.ts";
import { createChatDispatch } from "./chat_dispatch.ts";
import { ChatHomeTask } from "./chat_home_task.ts";
import { ConfigurationTask } from "./configuration_task.ts";
import { createExclusions } from "./core/exclusions.ts";
import { createHoldOut } from "./core/hold_out.ts";
import {
  type BackendServerId,
  brandId,
  type ChatId,
  type DataCentreId,
  type HostId,
  type IncarnationId,
  type SocketAddress,
  type WorkspaceId,
} from "./core/ids.ts";
import { createSeededRandom, type RandomSource } from "./core/random.ts";
import { createRetryBudget } from "./core/retry_budget.ts";
import type { Settings } from "./core/settings_schema.ts";
import { ExecutionTask } from "./execution_task.ts";
import { createHttpPlatformClient } from "./http_platform_client.ts";
import { LimitsTask } from "./limits_task.ts";
import { LoadTask } from "./load_task.ts";
import { MembershipTask } from "./membership_task.ts";
import { createMetrics } from "./metrics.ts";
import { createCacheEventHotChats, createDrainTask } from "./drain_task.ts";
import { HostListTask } from "./host_list_task.ts";
import { OrderTask } from "./order_task.ts";
import type { PeerNetwork } from "./peer_network.ts";
import type { PlatformClient } from "./platform_client.ts";
import { createPoolLoadView } from "./pool_load_view.ts";
import { createRequestLimits, limitsOf } from "./request_limits.ts";
import { RouterServices } from "./router_services.ts";
import { createRoutingContext } from "./routing_context.ts";
import { createServiceDispatch } from "./service_dispatch.ts";
import type { Task } from "./task.ts";
import { createTcpPeerNetwork } from "./tcp_peer_network.ts";
import {
  createSystemTimerService,
  type TimerService,
} from "./timer_service.ts";

const INCARNATION_BYTES = 8;
const COUNTER_PERIOD_MILLISECONDS = 1_000;
/** Retries per request before a configuration is in force. */
const DEFAULT_RETRY_RATIO = 0.1;
/** Engines do not tell how long a moved prefix is; any prompt is shorter than this. */
const MOVED_CHAT_TOKENS = 1_000_000;

/** What a router is made of; everything but the settings has a default. */
export interface RouterOptions {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly timers?: TimerService;
  readonly random?: RandomSource;
  readonly network?: PeerNetwork;
  readonly platform?: PlatformClient;
  readonly backends?: BackendClient;
}

/** A running or stopped router. */
export interface Router {
  readonly incarnation: IncarnationId;
  /** Joins the fleet and opens the caller port once a configuration is in force. */
  start(): Promise<void>;
  /** Stops without cutting a request: leaves, drains, hands duties over, ends. */
  stop(): Promise<void>;
  /** Resolves once the router has stopped. */
  readonly stopped: Promise<void>;
}

function _splitAddress(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(":");
  return {
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  };
}

function _createIncarnation(host: string): IncarnationId {
  return brandId<IncarnationId>(
    `${host}-${randomBytes(INCARNATION_BYTES).toString("hex")}`,
  );
}

function _createSignal(): { promise: Promise<void>; resolve: () => void } {
  let resolve = Function.prototype as () => void;
  const promise = new Promise<void>((settle) => {
    resolve = settle;
  });
  return { promise, resolve: () => resolve() };
}

/** Creates a router; it does nothing until started. */
export function createRouter(options: RouterOptions): Router {
  const { settings, logger } = options;
  const { router: own, security } = settings;
  const timers = options.timers ?? createSystemTimerService();
  const random = options.random ??
    createSeededRandom(randomBytes(4).readInt32BE());
  const host = brandId<HostId>(own.host);
  const dataCentre = brandId<DataCentreId>(own.dataCentre);
  const incarnation = _createIncarnation(own.host);
  const peerAddress = _splitAddress(own.peerAddress);
  const callerAddress = _splitAddress(own.callerAddress);
  const metrics = createMetrics();
  const network = options.network ?? createTcpPeerNetwork({
    ...peerAddress,
    fleetKey: security.fleetKey,
    identity: { host, dataCentre, incarnation },
  });
  const platform = options.platform ??
    createHttpPlatformClient(settings.platform);
  const backends = options.backends ??
    createHttpBackendClient({ timers, backendKey: security.backendKey });

  const membership = new MembershipTask({
    network,
    timers,
    random,
    self: {
      host,
      dataCentre,
      incarnation,
      address: brandId<SocketAddress>(own.peerAddress),
      callerAddress: brandId<SocketAddress>(own.callerAddress),
    },
    seeds: own.seeds.map((seed) => brandId<SocketAddress>(seed)),
    onSuperseded: () => void stop(),
  });
  const members = membership.view;
  const configurationTask = new ConfigurationTask({
    network,
    membership: members,
    platform,
    timers,
    random,
    onAlarm: reportAlarm,
  });
  const configuration = configurationTask.view;
  const loads = new LoadTask({ members, configuration, network, timers });
  const admission = new AdmissionTask({
    members,
    configuration,
    network,
    timers,
    loads,
    loadSource: createBackendLoadSource(configuration, backends),
  });
  const admissionClient = new AdmissionClient({
    members,
    network,
    timers,
    admission,
  });
  const chatHome = new ChatHomeTask({
    network,
    membership: members,
    clock: timers.clock,
  });
  const limits = new LimitsTask({
    network,
    timers,
    view: members,
    limitsOf: (workspace) => limitsOf(workspace, configuration.current()),
  });
  const holdOut = createHoldOut();
  const exclusions = createExclusions();
  const backendStates = new BackendStateTask({
    network,
    members,
    configuration,
    backends,
    chatHome,
    holdOut,
    timers,
    random,
  });
  const routing = createRoutingContext({
    configuration,
    load: createPoolLoadView(loads, configuration),
    states: backendStates.states,
    holdOut,
    exclusions,
    clock: timers.clock,
    random,
    // A workspace's callers are spread over its advertised routers.
    workspaceTokens: (workspace) =>
      admissionClient.tokensOf(workspace) *
      (configuration.current()?.fleet.fleet.addressesPerWorkspace ?? 1),
  });
  const retries = createRetryBudget({
    random,
    ratio: () =>
      configuration.current()?.fleet.fleet.retryBudgetRatio ??
        DEFAULT_RETRY_RATIO,
  });
  const common = {
    configuration,
    routing,
    admission: admissionClient,
    backends,
    retries,
    timers,
    metrics,
    onUnreachable(backendServer: BackendServerId) {
      exclusions.exclude(backendServer, timers.clock.monotonicMilliseconds());
    },
  };
  const chats = createChatDispatch({
    ...common,
    chatHome,
    fleetKey: security.fleetKey,
  });
  const services = createServiceDispatch(common);
  const requestLimits = createRequestLimits(limits, timers.clock);
  const execution = new ExecutionTask({
    incarnation,
    network,
    members,
    timers,
    run: (call) =>
      requestLimits.limitCall(call.workspace, () => services.run(call)),
  });
  const hosts = new HostListTask({
    network,
    members,
    platform,
    timers,
    random,
  });
  const drains = createDrainTask({
    backend: backends,
    hotChats: createCacheEventHotChats(backends),
    membership: members,
    configuration,
    timers,
    leavingHosts: () => hosts.leavingHosts(),
    onMoved: rememberMovedChat,
  });
  const orders = new OrderTask({
    platform,
    backend: {
      readState: (address) => backends.readState(address),
      sendOrder: (address, order) => backends.sendOrder(address, order),
    },
    membership: members,
    configuration,
    timers,
    random,
  });
  const tasks: readonly Task[] = [
    membership,
    configurationTask,
    loads,
    admission,
    admissionClient,
    chatHome,
    limits,
    backendStates,
    execution,
    orders,
    hosts,
    drains,
  ];
  hosts.onChange(applyLeavingHosts);
  configuration.onChange(applyLeavingHosts);
  const facade = new RouterServices({
    members,
    configurationTask,
    execution,
    chats,
    services,
    limits: requestLimits,
    network,
    timers,
    tasks,
    beginStop: () => void stop(),
  });
  const server = createCallerInterface({
    services: facade,
    access: createAccess(configuration),
    metrics,
    maximumBodyBytes: own.maximumBodyBytes,
  });
  let stopping: Promise<void> | undefined;
  const { promise: stopped, resolve: markStopped } = _createSignal();

  function reportAlarm(alarm: string, detail: string | undefined): void {
    metrics.alarms.set({ alarm }, detail === undefined ? 0 : 1);
    if (detail === undefined) logger.info({ alarm }, "alarm ended");
    else logger.warn({ alarm, detail }, "alarm raised");
  }

  /** Engines know chats as `workspace/chat`. */
  function rememberMovedChat(name: string, target: string): void {
    const separator = name.indexOf("/");
    if (separator < 0) return;
    chatHome.remember(
      brandId<WorkspaceId>(name.slice(0, separator)),
      brandId<ChatId>(name.slice(separator + 1)),
      brandId<BackendServerId>(target),
      MOVED_CHAT_TOKENS,
    );
  }

  function applyLeavingHosts(): void {
    const leaving = new Set(hosts.leavingHosts());
    const servers = configuration.current()?.fleet.backendServers ?? {};
    for (const [name, server] of Object.entries(servers)) {
      const isLeaving = server.host !== undefined && leaving.has(server.host);
      admission.setLeaving(brandId<BackendServerId>(name), isLeaving);
      backendStates.states.setLeaving(
        brandId<BackendServerId>(name),
        isLeaving,
      );
    }
  }

  function updateMetrics(): void {
    const { bytesSent, bytesReceived } = network.counters();
    metrics.controlBytes.reset();
    metrics.controlBytes.inc({ direction: "sent" }, bytesSent);
    metrics.controlBytes.inc({ direction: "received" }, bytesReceived);
    metrics.members.set(members.liveMembers().length);
    metrics.generation.set(configuration.current()?.generation ?? 0);
  }

  function logChanges(): void {
    configuration.onChange(({ generation, digest }) =>
      logger.info({ generation, digest }, "configuration in force")
    );
    members.onChange(() =>
      logger.info(
        { members: members.liveMembers().length },
        "membership changed",
      )
    );
  }

  async function start(): Promise<void> {
    await network.start();
    logChanges();
    for (const task of tasks) await task.start();
    timers.every(COUNTER_PERIOD_MILLISECONDS, "metrics", updateMetrics);
    logger.info(
      { peerAddress: own.peerAddress, incarnation },
      "waiting for a configuration",
    );
    await configurationTask.whenReady();
    await backendStates.repair();
    await server.listen(callerAddress);
    facade.setReady();
    logger.info({ callerAddress: own.callerAddress }, "serving callers");
  }

  async function runStop(): Promise<void> {
    facade.setStopping();
    membership.leave();
    const keep = configuration.current()?.fleet.fleet.keepMilliseconds ?? 0;
    logger.info({ keepMilliseconds: keep }, "leaving the fleet");
    await timers.sleep(facade.isReady() ? keep : 0, "stop");
    await server.close();
    for (const task of [...tasks].reverse()) await task.stop();
    timers.stop();
    await network.stop();
    await backends.stop();
    if (!options.platform) await platform.close();
    logger.info("stopped");
    markStopped();
  }

  function stop(): Promise<void> {
    stopping ??= runStop();
    return stopping;
  }

  return { incarnation, start, stop, stopped };
}
