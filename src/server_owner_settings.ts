/** What the configuration says about admission at one backend server. */
import type {
  BackendServer,
  ConfigurationSnapshot,
} from "./core/fleet_schema.ts";
import type { BackendServerId } from "./core/ids.ts";
import { isInService, type ServerOwnerSettings } from "./core/server_owner.ts";

/** Each call to a plain service weighs one unit of its concurrency. */
function _capacityOf(
  server: BackendServer,
  { fleet }: ConfigurationSnapshot,
): number {
  if (server.kind === "engine") return server.capacityTokens;
  return fleet.services[server.service ?? ""]?.concurrencyPerBackendServer ?? 0;
}

/** Returns the settings of a server's steward; undefined if it is not configured. */
export function serverOwnerSettingsOf(
  backendServer: BackendServerId,
  snapshot: ConfigurationSnapshot,
  isLeaving: boolean,
): ServerOwnerSettings | undefined {
  const server = snapshot.fleet.backendServers[backendServer];
  if (!server) return undefined;
  const { loadBoundRatio, queueLengthPerBackendServer } = snapshot.fleet.fleet;
  return {
    loadBoundRatio,
    queueLength: queueLengthPerBackendServer,
    capacityTokens: _capacityOf(server, snapshot),
    countsGrantsOnly: server.kind === "service",
    accepting: isInService(backendServer, snapshot) && !isLeaving,
  };
}
