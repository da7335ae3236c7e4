/** Derives the admission settings of a backend server from configuration. */
import type {
  BackendServer,
  ConfigurationSnapshot,
} from "./core/fleet_schema.ts";
import type { BackendServerId } from "./core/ids.ts";
import { isInService, type ServerOwnerSettings } from "./core/server_owner.ts";

/** A service has no tokens: each call counts as one unit of concurrency. */
function _capacityOf(
  server: BackendServer,
  { fleet }: ConfigurationSnapshot,
): number {
  if (server.kind === "engine") return server.capacityTokens;
  return fleet.services[server.service ?? ""]?.concurrencyPerBackendServer ?? 0;
}

/** Returns a server's admission settings; undefined if not configured. */
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
