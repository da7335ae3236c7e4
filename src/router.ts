/**
 * The lifecycle of one router: its dependencies, start and planned stop.
 * Sockets, clock, randomness and the platform client can be replaced through
 * the options.
 */
import { randomBytes } from "node:crypto";
import type { Logger } from "pino";
import { createKeyAuthenticator } from "./key_authenticator.ts";
import type { BackendClient } from "./backend_client.ts";
import { createHttpBackendClient } from "./http_backend_client.ts";
import { createCallerInterface } from "./caller_interface.ts";
import {
  brandId,
  type DataCentreId,
  type HostId,
  type IncarnationId,
} from "./core/ids.ts";
import { createSeededRandom, type RandomSource } from "./core/random.ts";
import type { Settings } from "./core/settings_schema.ts";
import { createHttpPlatformClient } from "./http_platform_client.ts";
import { toListenAddress } from "./listen_address.ts";
import { createMetrics } from "./metrics.ts";
import type { PeerNetwork } from "./peer_network.ts";
import type { PlatformClient } from "./platform_client.ts";
import { createRouterTasks } from "./router_tasks.ts";
import { createTcpPeerNetwork } from "./tcp_peer_network.ts";
import {
  createSystemTimerService,
  type Subscription,
  type TimerService,
} from "./timer_service.ts";

const INCARNATION_BYTES = 8;
const METRICS_PERIOD_MILLISECONDS = 1_000;

/** Options of a router; all but the settings and the logger have defaults. */
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
  /** Joins the fleet; opens the caller port once there is a configuration. */
  start(): Promise<void>;
  /**
   * Stops without interrupting requests: leaves the fleet, waits for callers
   * and owned servers to move, finishes open requests, stops the tasks.
   */
  stop(): Promise<void>;
  /** Resolves once the router has stopped. */
  readonly stopped: Promise<void>;
}

function _createIncarnation(host: string): IncarnationId {
  return brandId<IncarnationId>(
    `${host}-${randomBytes(INCARNATION_BYTES).toString("hex")}`,
  );
}

function _createDeferred(): { promise: Promise<void>; resolve: () => void } {
  let resolve = Function.prototype as () => void;
  const promise = new Promise<void>((settle) => {
    resolve = settle;
  });
  return { promise, resolve: () => resolve() };
}

/** Creates a router; it does nothing until started. */
export function createRouter(options: RouterOptions): Router {
  const { settings, logger } = options;
  const { router: routerSettings, security } = settings;
  const timers = options.timers ?? createSystemTimerService();
  const random = options.random ??
    createSeededRandom(randomBytes(4).readInt32BE());
  const host = brandId<HostId>(routerSettings.host);
  const dataCentre = brandId<DataCentreId>(routerSettings.dataCentre);
  const incarnation = _createIncarnation(routerSettings.host);
  const peerAddress = toListenAddress(routerSettings.peerAddress);
  const callerAddress = toListenAddress(routerSettings.callerAddress);
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

  const { membership, configurationTask, backendStates, tasks, services } =
    createRouterTasks({
      settings,
      incarnation,
      logger,
      timers,
      random,
      network,
      platform,
      backends,
      metrics,
      beginStop: () => void stop(),
    });
  const members = membership.view;
  const configuration = configurationTask.view;
  const server = createCallerInterface({
    services,
    keyAuthenticator: createKeyAuthenticator(configuration),
    metrics,
    maximumBodyBytes: routerSettings.maximumBodyBytes,
  });
  let stopping: Promise<void> | undefined;
  let metricsTimer: Subscription | undefined;
  const { promise: stopped, resolve: markStopped } = _createDeferred();

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
    metricsTimer = timers.every(
      METRICS_PERIOD_MILLISECONDS,
      "metrics",
      updateMetrics,
    );
    logger.info(
      { peerAddress: routerSettings.peerAddress, incarnation },
      "waiting for a configuration",
    );
    await configurationTask.whenReady();
    await backendStates.repair();
    await server.listen(callerAddress);
    services.setReady();
    logger.info(
      { callerAddress: routerSettings.callerAddress },
      "serving callers",
    );
  }

  async function runStop(): Promise<void> {
    services.setStopping();
    membership.leave();
    const keepMilliseconds =
      configuration.current()?.fleet.fleet.keepMilliseconds ?? 0;
    logger.info({ keepMilliseconds }, "leaving the fleet");
    await timers.sleep(services.isReady() ? keepMilliseconds : 0, "stop");
    await server.close();
    for (const task of [...tasks].reverse()) await task.stop();
    metricsTimer?.cancel();
    // Dependencies passed in are closed by their creator.
    if (!options.network) await network.stop();
    if (!options.backends) await backends.stop();
    if (!options.platform) await platform.close();
    if (!options.timers) timers.stop();
    logger.info("stopped");
    markStopped();
  }

  function stop(): Promise<void> {
    stopping ??= runStop();
    return stopping;
  }

  return { incarnation, start, stop, stopped };
}
