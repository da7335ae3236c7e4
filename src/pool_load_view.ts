/** Provides the delayed load figures of the load task to routing decisions. */
import type { ConfigurationView } from "./configuration_view.ts";
import type { Fleet } from "./core/fleet_schema.ts";
import type { BackendServerId } from "./core/ids.ts";
import { LoadView } from "./core/load_view.ts";
import { listPools } from "./core/routing_index.ts";
import type { LoadTask } from "./load_task.ts";

/**
 * Returns the load pools that belong to a routing pool. A load pool is a group of
 * engines that serve the same models; a routing pool is one model or service.
 */
function _loadPoolsOf(
  routingPool: string,
  loadPools: Iterable<string>,
): string[] {
  const [kind = "", name = ""] = routingPool.split(" ");
  return [...new Set(loadPools)].filter((pool) =>
    kind === "service"
      ? pool === `service/${name}`
      : pool.startsWith("models/") &&
        pool.slice("models/".length).split("+").includes(name)
  );
}

class _PoolLoadView extends LoadView {
  readonly #loads: LoadTask;
  #fleet: Fleet | undefined;
  #loadPools: readonly (readonly string[])[] = [];

  constructor(loads: LoadTask, configuration: ConfigurationView) {
    super();
    this.#loads = loads;
    this.#fleet = configuration.current()?.fleet;
    configuration.onChange(({ fleet }) => {
      this.#fleet = fleet;
      this.#loadPools = [];
    });
  }

  override relativeLoad(backendServer: BackendServerId): number {
    return this.#loads.relativeLoad(backendServer) ?? 0;
  }

  override tokens(backendServer: BackendServerId): number {
    const server = this.#loads.catalogue().byServer.get(backendServer);
    const pool = server && this.#loads.poolLoad(server.pool);
    if (!server || !pool || pool.totalCapacityTokens <= 0) return 0;
    const share = pool.totalTokens * server.capacityTokens /
      pool.totalCapacityTokens;
    return this.relativeLoad(backendServer) * share;
  }

  override meanTokens(pool: number): number {
    let [tokens, engines] = [0, 0];
    for (const name of this.#poolsOf(pool)) {
      const load = this.#loads.poolLoad(name);
      tokens += load?.totalTokens ?? 0;
      engines += load?.engineCount ?? 0;
    }
    return engines > 0 ? tokens / engines : 0;
  }

  #poolsOf(pool: number): readonly string[] {
    if (this.#loadPools.length === 0 && this.#fleet) {
      const servers = [...this.#loads.catalogue().byServer.values()];
      const names = servers.map((server) => server.pool);
      this.#loadPools = listPools(this.#fleet).map((name) =>
        _loadPoolsOf(name, names)
      );
    }
    return this.#loadPools[pool] ?? [];
  }
}

/** Creates a load view backed by a load task. */
export function createPoolLoadView(
  loads: LoadTask,
  configuration: ConfigurationView,
): LoadView {
  return new _PoolLoadView(loads, configuration);
}
