/** A complete fleet in one process, for end-to-end tests. */
import pino from "pino";
import { applyFleet, changeDrains } from "../src/core/configuration_apply.ts";
import { safeParseFleet } from "../src/core/fleet_file.ts";
import type { Drains } from "../src/core/fleet_schema.ts";
import { safeParseSettings } from "../src/core/settings_file.ts";
import { createHttpPlatformClient } from "../src/http_platform_client.ts";
import { createRouter, type Router } from "../src/router.ts";
import {
  type EngineOptions,
  type RunningStandIn,
  startEngine,
} from "./engine.ts";
import {
  createFleetText,
  createSettingsText,
  type FleetTextOptions,
  STAND_IN_MODEL,
  STAND_IN_MODEL_VERSION,
  type StandInServer,
} from "./fleet_text.ts";
import { startPlainService } from "./plain_service.ts";
import { createPlatformStandIn, type PlatformStandIn } from "./platform.ts";
import { findFreeAddresses } from "./free_ports.ts";

/** Size and configuration of the fleet. */
export interface FleetInProcessOptions {
  readonly routers: number;
  readonly engines: number;
  readonly services: number;
  readonly workspaces: readonly string[];
  readonly engine?: Partial<EngineOptions>;
  readonly keepMilliseconds?: number;
  readonly workspaceKeys?: FleetTextOptions["workspaceKeys"];
  readonly drains?: Drains;
}

/** A running fleet. */
export interface FleetInProcess {
  readonly platform: PlatformStandIn;
  readonly engines: readonly RunningStandIn[];
  readonly services: readonly RunningStandIn[];
  readonly routers: readonly Router[];
  readonly routerAddresses: readonly string[];
  stop(): Promise<void>;
}

const DATA_CENTRES = ["north", "south"];

async function _startMany<T>(
  count: number,
  start: () => Promise<T>,
): Promise<T[]> {
  return Promise.all(Array.from({ length: count }, start));
}

function _dataCentreOf(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] as string;
}

/** Starts a fleet and resolves once every router accepts requests. */
export async function startFleetInProcess(
  options: FleetInProcessOptions,
): Promise<FleetInProcess> {
  const platform = await createPlatformStandIn({});
  const engines = await _startMany(options.engines, () =>
    startEngine({
      models: [`${STAND_IN_MODEL}@${STAND_IN_MODEL_VERSION}`],
      tokenMilliseconds: 2,
      ...options.engine,
    }));
  const services = await _startMany(
    options.services,
    () => startPlainService(),
  );
  const servers: StandInServer[] = [
    ...engines.map(({ address }, index) => ({
      kind: "engine",
      name: `engine-${index}`,
      address,
    })),
    ...services.map(({ address }, index) => ({
      kind: "service",
      name: `service-${index}`,
      address,
    })),
  ].map((server, index) =>
    ({ ...server, dataCentre: _dataCentreOf(index) }) as StandInServer
  );
  const fleet = safeParseFleet(createFleetText({
    dataCentres: DATA_CENTRES,
    servers,
    workspaces: options.workspaces,
    keepMilliseconds: options.keepMilliseconds ?? 100,
    ...(options.workspaceKeys ? { workspaceKeys: options.workspaceKeys } : {}),
  }))._unsafeUnwrap();
  const client = createHttpPlatformClient({
    address: platform.address,
    timeoutMilliseconds: 2_000,
    key: "",
  });
  const context = {
    client,
    wallMilliseconds: () => Date.now(),
    sleep: (milliseconds: number) =>
      new Promise<void>((resolve) => setTimeout(resolve, milliseconds)),
  };
  (await applyFleet(fleet, { ...context, applyId: "first" }))._unsafeUnwrap();
  const { drains } = options;
  if (drains) {
    (await changeDrains(() => drains, { ...context, applyId: "drains" }))
      ._unsafeUnwrap();
  }
  await client.close();
  const addresses = await findFreeAddresses(2 * options.routers);
  const [callerAddresses, peerAddresses] = [
    addresses.slice(0, options.routers),
    addresses.slice(options.routers),
  ];
  const logger = pino({ level: "silent" });
  const routers = callerAddresses.map((callerAddress, index) =>
    createRouter({
      logger,
      settings: safeParseSettings(createSettingsText({
        host: `host-${index}`,
        dataCentre: _dataCentreOf(index),
        callerAddress,
        peerAddress: peerAddresses[index] as string,
        seeds: peerAddresses.filter((_address, other) => other !== index),
        platformAddress: platform.address,
      }))._unsafeUnwrap(),
    })
  );
  await Promise.all(routers.map((router) => router.start()));
  return {
    platform,
    engines,
    services,
    routers,
    routerAddresses: callerAddresses,
    async stop() {
      await Promise.all(routers.map((router) => router.stop()));
      await Promise.all(
        [...engines, ...services].map((standIn) => standIn.stop()),
      );
      await platform.close();
    },
  };
}
