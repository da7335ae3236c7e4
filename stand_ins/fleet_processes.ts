/**
 * A complete fleet in separate local processes: the platform, engines, plain
 * services and routers, configured through the production command line.
 */
import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  createFleetText,
  createOperatorSettingsText,
  createSettingsText,
  type FleetTextOptions,
  STAND_IN_MODEL,
  STAND_IN_MODEL_VERSION,
  type StandInServer,
} from "./fleet_text.ts";
import { findFreeAddresses } from "./free_ports.ts";
import { createProcessGroup, type ManagedProcess } from "./processes.ts";

const COMMAND_TIMEOUT_MILLISECONDS = 30_000;

/**
 * Accepted but not yet in force: no router runs when the fleet file is applied.
 */
const ACCEPTED_EXIT_CODE = 4;

/** Size and configuration of the fleet. */
export interface FleetProcessesOptions {
  readonly dataCentres: readonly string[];
  readonly routers: number;
  readonly engines: number;
  readonly services: number;
  readonly workspaces: readonly string[];
  readonly keepMilliseconds?: number;
  readonly engineParameters?: readonly string[];
  readonly fleetKeys?: FleetTextOptions["fleetKeys"];
  readonly workspaceKeys?: FleetTextOptions["workspaceKeys"];
}

/** Exit code and output of a command. */
export interface CommandResult {
  readonly exitCode: number;
  readonly output: string;
  readonly errors: string;
}

/** A running fleet. */
export interface FleetProcesses {
  readonly platform: ManagedProcess;
  readonly engines: ManagedProcess[];
  readonly services: ManagedProcess[];
  readonly routers: ManagedProcess[];
  readonly fleetFile: string;
  readonly routerAddresses: readonly string[];
  readonly peerAddresses: readonly string[];
  /** Runs a command of the operator's command line. */
  command(...parameters: string[]): Promise<CommandResult>;
  /** Starts a router again with the same name and addresses. */
  restartRouter(index: number): Promise<ManagedProcess>;
  stop(): Promise<void>;
}

function _pickCyclic<T>(items: readonly T[], index: number): T {
  return items[index % items.length] as T;
}

function _runCommand(parameters: readonly string[]): Promise<CommandResult> {
  const commandPath = fileURLToPath(
    new URL("../bin/sapphirecart.js", import.meta.url),
  );
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [commandPath, ...parameters],
      { timeout: COMMAND_TIMEOUT_MILLISECONDS },
      (error, output, errors) => {
        const code = error?.code;
        const exitCode = error ? (typeof code === "number" ? code : 1) : 0;
        resolve({ exitCode, output, errors });
      },
    );
  });
}

/** Starts a fleet and applies its configuration; cleans up on failure. */
export async function startFleetProcesses(
  options: FleetProcessesOptions,
): Promise<FleetProcesses> {
  const group = createProcessGroup();
  const directory = await mkdtemp(join(tmpdir(), "sapphirecart-"));
  const addresses = await findFreeAddresses(2 * options.routers);
  const callerAddresses = addresses.slice(0, options.routers);
  const peerAddresses = addresses.slice(options.routers);

  async function stop(): Promise<void> {
    await group.stop();
    await rm(directory, { recursive: true, force: true });
  }

  function startEngine(index: number): Promise<ManagedProcess> {
    return group.start(`engine-${index}`, "stand_ins/engine_main.js", [
      "--models",
      `${STAND_IN_MODEL}@${STAND_IN_MODEL_VERSION}`,
      "--seed",
      String(index + 1),
      ...options.engineParameters ?? [],
    ]);
  }

  async function startRouter(
    index: number,
    platformAddress: string,
  ): Promise<ManagedProcess> {
    const host = `host-${index}`;
    const file = join(directory, `${host}.ini`);
    await writeFile(
      file,
      createSettingsText({
        host,
        dataCentre: _pickCyclic(options.dataCentres, index),
        callerAddress: callerAddresses[index] as string,
        peerAddress: peerAddresses[index] as string,
        seeds: peerAddresses.filter((_address, other) => other !== index).slice(
          0,
          3,
        ),
        platformAddress,
      }),
    );
    return group.start(host, "bin/sapphirecart.js", ["router", file]);
  }

  async function startAll(): Promise<FleetProcesses> {
    const [platform, engines, services] = await Promise.all([
      group.start("platform", "stand_ins/platform_main.js", []),
      Promise.all(
        Array.from(
          { length: options.engines },
          (_unused, index) => startEngine(index),
        ),
      ),
      Promise.all(
        Array.from(
          { length: options.services },
          (_unused, index) =>
            group.start(
              `service-${index}`,
              "stand_ins/plain_service_main.js",
              [],
            ),
        ),
      ),
    ]);
    const servers: StandInServer[] = [...engines, ...services].map((
      server,
      index,
    ) => ({
      name: server.name,
      kind: index < engines.length ? "engine" : "service",
      address: server.address,
      dataCentre: _pickCyclic(options.dataCentres, index),
    }));
    const fleetFile = join(directory, "fleet.ini");
    const operatorFile = join(directory, "operator.ini");
    await writeFile(
      fleetFile,
      createFleetText({
        dataCentres: options.dataCentres,
        servers,
        workspaces: options.workspaces,
        keepMilliseconds: options.keepMilliseconds ?? 2_000,
        ...(options.fleetKeys ? { fleetKeys: options.fleetKeys } : {}),
        ...(options.workspaceKeys
          ? { workspaceKeys: options.workspaceKeys }
          : {}),
      }),
    );
    await writeFile(
      operatorFile,
      createOperatorSettingsText(platform.address, callerAddresses),
    );
    function command(...parameters: string[]): Promise<CommandResult> {
      return _runCommand([...parameters, "--settings", operatorFile]);
    }
    const applied = await command("apply", fleetFile, "--wait", "0");
    if (applied.exitCode !== ACCEPTED_EXIT_CODE) {
      throw new Error(`apply failed: ${applied.output}${applied.errors}`);
    }
    const routers = await Promise.all(
      callerAddresses.map((_address, index) =>
        startRouter(index, platform.address)
      ),
    );
    return {
      platform,
      engines,
      services,
      routers,
      fleetFile,
      routerAddresses: callerAddresses,
      peerAddresses,
      command,
      async restartRouter(index) {
        const router = await startRouter(index, platform.address);
        routers[index] = router;
        return router;
      },
      stop,
    };
  }

  try {
    return await startAll();
  } catch (cause) {
    await stop();
    throw cause;
  }
}
