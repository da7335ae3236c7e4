/** The configured servers, their pools, and their order in load summaries. */
import type { Fleet } from "./fleet_schema.ts";
import type { BackendServerId } from "./ids.ts";
import { hash64 } from "./hash64.ts";

/** A backend server and its pool, whose servers share one mean load. */
export interface PooledServer {
  readonly backendServer: BackendServerId;
  readonly pool: string;
  readonly capacityTokens: number;
}

/** The configured servers in the order used by load summaries. */
export interface LoadCatalogue {
  readonly servers: readonly PooledServer[];
  readonly byServer: ReadonlyMap<BackendServerId, PooledServer>;
  /** Identifies the catalogue, to detect summaries made for another one. */
  readonly digest: string;
}

/** Creates a catalogue from a set of servers. */
export function createLoadCatalogue(
  servers: readonly PooledServer[],
): LoadCatalogue {
  const sorted = [...servers].sort((left, right) =>
    left.backendServer < right.backendServer ? -1 : 1
  );
  const entries = sorted.map((server) =>
    `${server.backendServer} ${server.pool} ${server.capacityTokens}`
  );
  return {
    servers: sorted,
    byServer: new Map(sorted.map((server) => [server.backendServer, server])),
    digest: hash64(entries.join("\n")),
  };
}

/**
 * Creates the catalogue of a fleet: engines that serve the same models form a
 * pool, and so do the servers of each service.
 */
export function createFleetCatalogue(fleet: Fleet): LoadCatalogue {
  const models = new Map<string, Set<string>>();
  for (const { model, backendServers } of Object.values(fleet.placements)) {
    for (const server of backendServers) {
      models.set(server, (models.get(server) ?? new Set()).add(model));
    }
  }
  const servers = Object.entries(fleet.backendServers).map(([name, server]) => {
    const served = [...models.get(name) ?? []].sort().join("+");
    return {
      backendServer: name as BackendServerId,
      pool: server.kind === "service"
        ? `service/${server.service ?? name}`
        : `models/${served}`,
      capacityTokens: server.capacityTokens,
    };
  });
  return createLoadCatalogue(servers);
}
