/** Checks that span sections of a fleet file: references, counts, unique values. */
import type { Fleet } from "./fleet_schema.ts";
import type { IniFault } from "./ini_document.ts";

class _ReferenceChecker {
  readonly faults: IniFault[] = [];
  readonly #fleet: Fleet;
  readonly #titles: ReadonlySet<string>;

  constructor(fleet: Fleet, titles: ReadonlySet<string>) {
    this.#fleet = fleet;
    this.#titles = titles;
  }

  check(): void {
    this.#checkBackendServers();
    this.#checkPlacements();
    this.#checkWorkspaces();
    for (const [name, { model }] of Object.entries(this.#fleet.adapters)) {
      this.#resolve([`adapter ${name}`, "model"], "model", [model]);
    }
    const operators = Object.entries(this.#fleet.operators);
    this.#unique(
      "operator",
      "key_hash",
      operators.map(([name, operator]) => [name, operator.keyHash]),
    );
  }

  #fault(section: string, key: string, detail: string): void {
    this.faults.push({ path: [section, key], detail });
  }

  /** A section that exists but has a fault of its own counts as resolved. */
  #resolve(
    [section, key]: readonly [string, string],
    word: string,
    names: readonly string[],
  ): void {
    for (const name of new Set(names)) {
      if (this.#titles.has(`${word} ${name}`)) continue;
      this.#fault(
        section,
        key,
        `there is no section [${word} ${name}]; ${this.#known(word)}`,
      );
    }
    if (new Set(names).size < names.length) {
      this.#fault(section, key, "a name is listed twice; list it once");
    }
  }

  #known(word: string): string {
    const names = [...this.#titles].filter((title) =>
      title.startsWith(`${word} `)
    ).map((title) => title.slice(word.length + 1));
    const listed = names.slice(0, 20).join(", ");
    if (names.length === 0) return "none is defined";
    return `allowed: ${listed}${names.length > 20 ? ", ..." : ""}`;
  }

  #unique(
    word: string,
    key: string,
    values: readonly (readonly [string, string])[],
  ): void {
    const owners = new Map<string, string>();
    for (const [name, value] of values) {
      const owner = owners.get(value);
      if (owner === undefined) owners.set(value, name);
      else {
        this.#fault(
          `${word} ${name}`,
          key,
          `must differ from that of [${word} ${owner}]`,
        );
      }
    }
  }

  #checkBackendServers(): void {
    const servers = Object.entries(this.#fleet.backendServers);
    for (const [name, server] of servers) {
      const section = `backend_server ${name}`;
      this.#resolve([section, "data_centre"], "data_centre", [
        server.dataCentre,
      ]);
      if (server.service !== undefined) {
        this.#resolve([section, "service"], "service", [server.service]);
      }
      if (server.kind === "service" && server.service === undefined) {
        this.#fault(
          section,
          "service",
          "missing; required with kind = service",
        );
      }
      if (server.kind === "engine" && server.service !== undefined) {
        this.#fault(section, "service", "not allowed with kind = engine");
      }
    }
    this.#unique(
      "backend_server",
      "address",
      servers.map(([name, server]) => [name, server.address]),
    );
  }

  #checkPlacements(): void {
    const { adapters, backendServers, placements } = this.#fleet;
    for (const [name, placement] of Object.entries(placements)) {
      const section = `placement ${name}`;
      this.#resolve([section, "model"], "model", [placement.model]);
      this.#resolve([section, "adapters"], "adapter", placement.adapters);
      this.#resolve(
        [section, "backend_servers"],
        "backend_server",
        placement.backendServers,
      );
      for (const adapter of placement.adapters) {
        const model = adapters[adapter]?.model;
        if (model !== undefined && model !== placement.model) {
          this.#fault(
            section,
            "adapters",
            `[adapter ${adapter}] belongs to model ${model}, not to ${placement.model}`,
          );
        }
      }
      for (const server of placement.backendServers) {
        if (backendServers[server]?.kind === "service") {
          this.#fault(
            section,
            "backend_servers",
            `[backend_server ${server}] must have kind = engine`,
          );
        }
      }
      const servers = new Set(placement.backendServers).size;
      if (placement.replicas > servers) {
        this.#fault(
          section,
          "replicas",
          `${placement.replicas} replicas need as many backend servers; allowed: 1 to ${servers}`,
        );
      }
      if (placement.servingFloor > placement.replicas) {
        this.#fault(
          section,
          "serving_floor",
          `must not exceed replicas; allowed: 0 to ${placement.replicas}`,
        );
      }
    }
  }

  #checkWorkspaces(): void {
    const workspaces = Object.entries(this.#fleet.workspaces);
    for (const [name, workspace] of workspaces) {
      const section = `workspace ${name}`;
      this.#resolve([section, "models"], "model", workspace.models);
      this.#resolve([section, "adapters"], "adapter", workspace.adapters);
      this.#resolve([section, "services"], "service", workspace.services);
      this.#resolve(
        [section, "backend_servers"],
        "backend_server",
        workspace.backendServers,
      );
    }
    this.#unique(
      "workspace",
      "key_hash",
      workspaces.map(([name, workspace]) => [name, workspace.keyHash]),
    );
  }
}

/** Lists references that do not resolve. `titles` are all sections of the file. */
export function findReferenceFaults(
  fleet: Fleet,
  titles: ReadonlySet<string>,
): readonly IniFault[] {
  const checker = new _ReferenceChecker(fleet, titles);
  checker.check();
  return checker.faults;
}
