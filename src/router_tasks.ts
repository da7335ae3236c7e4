/**
 * Creates the tasks of one router and connects them to each other, to the
 * dispatches and to the services behind the HTTP interface.
 */
import type { Logger } from "pino";
import { AdmissionClient } from "./admission_client.ts";
import { AdmissionTask } from "./admission_task.ts";
import { type BackendClient } from "./backend_client.ts";
import { createBackendLoadSource } from "./backend_load_source.ts";
import { BackendStateTask } from "./backend_state_task.ts";
import { createChatDispatch } from "./chat_dispatch.ts";
import { ChatHomeTask } from "./chat_home_task.ts";
import { ConfigurationTask } from "./configuration_task.ts";
import { createExclusions } from "./core/exclusions.ts";
import { createFlapDamping } from "./core/flap_damping.ts";
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
import { type RandomSource } from "./core/random.ts";
import { createRetryBudget } from "./core/retry_budget.ts";
import type { Settings } from "./core/settings_schema.ts";
import { ExecutionTask } from "./execution_task.ts";
import { LimitsTask } from "./limits_task.ts";
import { LoadTask } from "./load_task.ts";
import { MembershipTask } from "./membership_task.ts";
import type { Metrics } from "./metrics.ts";
import {
  createCacheEventHotChatSource,
  createDrainTask,
} from "./drain_task.ts";
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
import { type TimerService } from "./timer_service.ts";

/** Retries per request until there is a configuration. */
const DEFAULT_RETRY_RATIO = 0.1;
/** Engines do not report the length of a moved prefix; no prompt is as long. */
const MOVED_CHAT_TOKENS = 1_000_000;

/** The identity and external dependencies of the tasks. */
export interface RouterTasksOptions {
  readonly settings: Settings;
  readonly incarnation: IncarnationId;
  readonly logger: Logger;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly network: PeerNetwork;
  readonly platform: PlatformClient;
  readonly backends: BackendClient;
  readonly metrics: Metrics;
  readonly beginStop: () => void;
}

/** The connected tasks of one router. */
export interface RouterTasks {
  readonly membership: MembershipTask;
  readonly configurationTask: ConfigurationTask;
  readonly backendStates: BackendStateTask;
  /** All tasks, in the order in which they start. */
  readonly tasks: readonly Task[];
  readonly services: RouterServices;
}

/** Creates the tasks of a router and connects them. */
export function createRouterTasks(options: RouterTasksOptions): RouterTasks {
  const { settings, incarnation, logger, timers, random, network } = options;
  const { platform, backends, metrics } = options;
  const { router: routerSettings, security } = settings;
  const host = brandId<HostId>(routerSettings.host);
  const dataCentre = brandId<DataCentreId>(routerSettings.dataCentre);
  const membership = new MembershipTask({
    network,
    timers,
    random,
    self: {
      host,
      dataCentre,
      incarnation,
      address: brandId<SocketAddress>(routerSettings.peerAddress),
      callerAddress: brandId<SocketAddress>(routerSettings.callerAddress),
    },
    seeds: routerSettings.seeds.map((seed) => brandId<SocketAddress>(seed)),
    onSuperseded: options.beginStop,
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
  const loadTask = new LoadTask({ members, configuration, network, timers });
  const admission = new AdmissionTask({
    members,
    configuration,
    network,
    timers,
    loads: loadTask,
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
  const flapDamping = createFlapDamping();
  const exclusions = createExclusions();
  const backendStates = new BackendStateTask({
    network,
    members,
    configuration,
    backends,
    chatHome,
    flapDamping,
    timers,
    random,
  });
  const routing = createRoutingContext({
    configuration,
    load: createPoolLoadView(loadTask, configuration),
    states: backendStates.states,
    flapDamping,
    exclusions,
    clock: timers.clock,
    random,
    // A workspace's callers are spread over its advertised routers, so the
    // fleet-wide tokens are estimated from those of this router.
    workspaceTokens: (workspace) =>
      admissionClient.tokensInFlightOf(workspace) *
      (configuration.current()?.fleet.fleet.addressesPerWorkspace ?? 1),
  });
  const retries = createRetryBudget({
    random,
    ratio: () =>
      configuration.current()?.fleet.fleet.retryBudgetRatio ??
        DEFAULT_RETRY_RATIO,
  });
  const dispatchOptions = {
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
    ...dispatchOptions,
    chatHome,
    fleetKey: security.fleetKey,
  });
  const serviceDispatch = createServiceDispatch(dispatchOptions);
  const requestLimits = createRequestLimits(limits, timers.clock);
  const execution = new ExecutionTask({
    incarnation,
    network,
    members,
    timers,
    run: (call) =>
      requestLimits.limitCall(call.workspace, () => serviceDispatch.run(call)),
  });
  const hostListTask = new HostListTask({
    network,
    members,
    platform,
    timers,
    random,
  });
  const drainTask = createDrainTask({
    backend: backends,
    hotChats: createCacheEventHotChatSource(backends),
    membership: members,
    configuration,
    timers,
    leavingHosts: () => hostListTask.leavingHosts(),
    onMoved: rememberMovedChat,
  });
  const orderTask = new OrderTask({
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
    loadTask,
    admission,
    admissionClient,
    chatHome,
    limits,
    backendStates,
    execution,
    orderTask,
    hostListTask,
    drainTask,
  ];
  hostListTask.onChange(applyLeavingHosts);
  configuration.onChange(applyLeavingHosts);
  const routerServices = new RouterServices({
    members,
    configurationTask,
    execution,
    chats,
    services: serviceDispatch,
    limits: requestLimits,
    network,
    timers,
    tasks,
    beginStop: options.beginStop,
  });

  function reportAlarm(alarm: string, detail: string | undefined): void {
    metrics.alarms.set({ alarm }, detail === undefined ? 0 : 1);
    if (detail === undefined) logger.info({ alarm }, "alarm ended");
    else logger.warn({ alarm, detail }, "alarm raised");
  }

  /** Engines identify chats as `workspace/chat`. */
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
    const leaving = new Set(hostListTask.leavingHosts());
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

  return {
    membership,
    configurationTask,
    backendStates,
    tasks,
    services: routerServices,
  };
}
