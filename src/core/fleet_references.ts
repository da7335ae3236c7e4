/** Checks across sections of a fleet file: references, counts, unique values. */
import type { Fleet } from "./fleet_schema.ts";
import type { IniIssue } from "./ini_document.ts";

class _ReferenceChecker {
  readonly issues: IniIssue[] = [];
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
      this.#checkReferences([`adapter ${name}`, "model"], "model", [model]);
    }
    const operators = Object.entries(this.#fleet.operators);
    this.#checkUnique(
      "operator",
      "key_hash",
      operators.map(([name, operator]) => [name, operator.keyHash]),
    );
  }

  #addIssue(section: string, key: string, detail: string): void {
    this.issues.push({ path: [section, key], detail });
  }

  /** A reference to a section that exists but is itself invalid is accepted. */
  #checkReferences(
    [section, key]: readonly [string, string],
    kind: string,
    names: readonly string[],
  ): void {
    for (const name of new Set(names)) {
      if (this.#titles.has(`${kind} ${name}`)) continue;
      this.#addIssue(
        section,
        key,
        `there is no section [${kind} ${name}]; ${this.#describeKnown(kind)}`,
      );
    }
    if (new Set(names).size < names.length) {
      this.#addIssue(section, key, "duplicate name; list each name once");
    }
  }

  #describeKnown(kind: string): string {
    const names = [...this.#titles].filter((title) =>
      title.startsWith(`${kind} `)
    ).map((title) => title.slice(kind.length + 1));
    const listed = names.slice(0, 20).join(", ");
    if (names.length === 0) return "none is defined";
    return `allowed: ${listed}${names.length > 20 ? ", ..." : ""}`;
  }

  #checkUnique(
    kind: string,
    key: string,
    values: readonly (readonly [string, string])[],
  ): void {
    const owners = new Map<string, string>();
    for (const [name, value] of values) {
      const owner = owners.get(value);
      if (owner === undefined) owners.set(value, name);
      else {
        this.#addIssue(
          `${kind} ${name}`,
          key,
          `must differ from that of [${kind} ${owner}]`,
        );
      }
    }
  }

  #checkBackendServers(): void {
    const servers = Object.entries(this.#fleet.backendServers);
    for (const [name, server] of servers) {
      const section = `backend_server ${name}`;
      this.#checkReferences([section, "data_centre"], "data_centre", [
        server.dataCentre,
      ]);
      if (server.service !== undefined) {
        this.#checkReferences([section, "service"], "service", [
          server.service,
        ]);
      }
      if (server.kind === "service" && server.service === undefined) {
        this.#addIssue(
          section,
          "service",
          "missing; required with kind = service",
        );
      }
      if (server.kind === "engine" && server.service !== undefined) {
        this.#addIssue(section, "service", "not allowed with kind = engine");
      }
    }
    this.#checkUnique(
      "backend_server",
      "address",
      servers.map(([name, server]) => [name, server.address]),
    );
  }

  #checkPlacements(): void {
    const { adapters, backendServers, placements } = this.#fleet;
    for (const [name, placement] of Object.entries(placements)) {
      const section = `placement ${name}`;
      this.#checkReferences([section, "model"], "model", [placement.model]);
      this.#checkReferences(
        [section, "adapters"],
        "adapter",
        placement.adapters,
      );
      this.#checkReferences(
        [section, "backend_servers"],
        "backend_server",
        placement.backendServers,
      );
      for (const adapter of placement.adapters) {
        const model = adapters[adapter]?.model;
        if (model !== undefined && model !== placement.model) {
          this.#addIssue(
            section,
            "adapters",
            `[adapter ${adapter}] belongs to model ${model}, not to ${placement.model}`,
          );
        }
      }
      for (const server of placement.backendServers) {
        if (backendServers[server]?.kind === "service") {
          this.#addIssue(
            section,
            "backend_servers",
            `[backend_server ${server}] must have kind = engine`,
          );
        }
      }
      const servers = new Set(placement.backendServers).size;
      if (placement.replicas > servers) {
        this.#addIssue(
          section,
          "replicas",
          `${placement.replicas} replicas need as many backend servers; allowed: 1 to ${servers}`,
        );
      }
      if (placement.servingFloor > placement.replicas) {
        this.#addIssue(
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
      this.#checkReferences([section, "models"], "model", workspace.models);
      this.#checkReferences(
        [section, "adapters"],
        "adapter",
        workspace.adapters,
      );
      this.#checkReferences(
        [section, "services"],
        "service",
        workspace.services,
      );
      this.#checkReferences(
        [section, "backend_servers"],
        "backend_server",
        workspace.backendServers,
      );
    }
    this.#checkUnique(
      "workspace",
      "key_hash",
      workspaces.map(([name, workspace]) => [name, workspace.keyHash]),
    );
  }
}

/**
 * Lists invalid references, counts and duplicate values. `titles` are those of
 * all sections of the file, including invalid ones.
 */
export function findReferenceIssues(
  fleet: Fleet,
  titles: ReadonlySet<string>,
): readonly IniIssue[] {
  const checker = new _ReferenceChecker(fleet, titles);
  checker.check();
  return checker.issues;
}
