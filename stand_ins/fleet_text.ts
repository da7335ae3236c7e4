/** Generates the fleet and settings files of a stand-in fleet. */
import { createHash } from "node:crypto";

/** A backend server of a stand-in fleet. */
export interface StandInServer {
  readonly name: string;
  readonly kind: "engine" | "service";
  readonly address: string;
  readonly dataCentre: string;
}

/** Contents of the fleet file. */
export interface FleetTextOptions {
  readonly dataCentres: readonly string[];
  readonly servers: readonly StandInServer[];
  readonly workspaces: readonly string[];
  readonly keepMilliseconds: number;
  /** Additional keys of the `[fleet]` section. */
  readonly fleetKeys?: Readonly<Record<string, string | number>>;
  /** Additional keys of every `[workspace]` section. */
  readonly workspaceKeys?: Readonly<Record<string, string | number>>;
}

/** The model that every engine of a stand-in fleet serves. */
export const STAND_IN_MODEL = "assistant-small";
/** The model version that engines serve when they start. */
export const STAND_IN_MODEL_VERSION = "v1";
/** The plain service that a stand-in fleet offers. */
export const STAND_IN_SERVICE = "ledger";
/** The operator's API key. */
export const OPERATOR_KEY = "operator-key-of-the-stand-in-fleet";
/** The key that authenticates routers to each other. */
export const FLEET_KEY = "fleet-key-of-the-stand-in-fleet";

/** Returns the API key of a workspace. */
export function workspaceKey(workspace: string): string {
  return `key-of-${workspace}`;
}

function _hash(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

function _section(
  title: string,
  keys: Readonly<Record<string, string | number>>,
): string {
  const lines = Object.entries(keys).map(([key, value]) => `${key} = ${value}`);
  return [`[${title}]`, ...lines, ""].join("\n");
}

/** Returns the text of the fleet file. */
export function createFleetText(options: FleetTextOptions): string {
  const engines = options.servers.filter((server) => server.kind === "engine");
  return [
    _section("fleet", {
      name: "stand-in",
      keep_milliseconds: options.keepMilliseconds,
      ...options.fleetKeys,
    }),
    ...options.dataCentres.map((name) =>
      _section(`data_centre ${name}`, { region: "region-a" })
    ),
    _section(`model ${STAND_IN_MODEL}`, { version: STAND_IN_MODEL_VERSION }),
    _section(`service ${STAND_IN_SERVICE}`, { idempotent_calls: "GET /*" }),
    ...options.servers.map((server) =>
      _section(`backend_server ${server.name}`, {
        kind: server.kind,
        address: server.address,
        data_centre: server.dataCentre,
        ...(server.kind === "service" ? { service: STAND_IN_SERVICE } : {}),
      })
    ),
    _section("placement everywhere", {
      model: STAND_IN_MODEL,
      backend_servers: engines.map((server) => server.name).join(", "),
      replicas: engines.length,
    }),
    ...options.workspaces.map((name) =>
      _section(`workspace ${name}`, {
        key_hash: _hash(workspaceKey(name)),
        models: STAND_IN_MODEL,
        services: STAND_IN_SERVICE,
        ...options.workspaceKeys,
      })
    ),
    _section("operator admin", { key_hash: _hash(OPERATOR_KEY) }),
  ].join("\n");
}

/** Contents of a router's settings file. */
export interface SettingsTextOptions {
  readonly host: string;
  readonly dataCentre: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly seeds: readonly string[];
  readonly platformAddress: string;
}

/** Returns the text of a router's settings file. */
export function createSettingsText(options: SettingsTextOptions): string {
  return [
    _section("router", {
      host: options.host,
      data_centre: options.dataCentre,
      caller_address: options.callerAddress,
      peer_address: options.peerAddress,
      seeds: options.seeds.join(", "),
    }),
    _section("platform", { address: options.platformAddress }),
    _section("security", { fleet_key: FLEET_KEY }),
  ].join("\n");
}

/** Returns the text of the operator's settings file. */
export function createOperatorSettingsText(
  platformAddress: string,
  routers: readonly string[],
): string {
  return [
    _section("platform", { address: platformAddress }),
    _section("operator", { key: OPERATOR_KEY, routers: routers.join(", ") }),
  ].join("\n");
}
