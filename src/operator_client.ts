/**
 * An operator's operations on a fleet: apply and compare fleet files, drain
 * hosts and backend servers, and query router status. The command line is a
 * thin layer above it.
 */
import { createHash } from "node:crypto";
import { userInfo } from "node:os";
import { err, ok, type Result } from "neverthrow";
import {
  applyFleet,
  type ApplyOptions,
  type ApplyOutcome,
  changeDrains,
  readFleet,
  readHead,
} from "./core/configuration_apply.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { Drains, Fleet } from "./core/fleet_schema.ts";
import type { OperatorSettings } from "./core/settings_schema.ts";
import type { PlatformClient } from "./platform_client.ts";
import {
  RouterQueries,
  type RouterReport,
  type RouterStatus,
} from "./router_queries.ts";

const POLL_INTERVAL_MILLISECONDS = 250;

/** The number of routers on which a generation is in force. */
export interface RolloutReport {
  readonly generation: number;
  readonly inForce: number;
  readonly routers: number;
}

type _AsyncResult<T> = Promise<Result<T, ApplicationError>>;

/** Returns the SHA-256 of a key in hex, as used in fleet files. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** Options of `createOperatorClient`. */
export interface OperatorClientOptions {
  readonly settings: OperatorSettings;
  readonly platform: PlatformClient;
}

/** A client for the operations of an operator. */
export class OperatorClient {
  readonly #routers: RouterQueries;
  readonly #platform: PlatformClient;

  constructor({ settings, platform }: OperatorClientOptions) {
    this.#routers = new RouterQueries(settings.operator);
    this.#platform = platform;
  }

  /** Applies a fleet; resolves once the platform has accepted it. */
  apply(
    fleet: Fleet,
    options: { readonly generation?: number } = {},
  ): _AsyncResult<ApplyOutcome> {
    return applyFleet(fleet, { ...this.#applyOptions(), ...options });
  }

  /** Reads the current fleet from the platform; undefined if there is none. */
  async currentFleet(): _AsyncResult<Fleet | undefined> {
    const read = await readHead(this.#platform);
    if (read.isErr()) return err(read.error);
    return read.value
      ? readFleet(this.#platform, read.value.head)
      : ok(undefined);
  }

  /** Drains a host or a backend server, or undoes its drain. */
  async drain(
    name: string,
    options: { readonly undo: boolean },
  ): _AsyncResult<ApplyOutcome> {
    const kind = await this.#findKind(name);
    if (kind.isErr()) return err(kind.error);
    return changeDrains(
      (drains) => _changeDrain(drains, kind.value, name, options.undo),
      this.#applyOptions(),
    );
  }

  /** Fetches the status of one router. */
  routerStatus(address: string): _AsyncResult<RouterStatus> {
    return this.#routers.status(address);
  }

  /** Fetches the state dump of one router. */
  routerDump(address: string): _AsyncResult<unknown> {
    return this.#routers.dump(address);
  }

  /** Fetches the status of all members known to the first reachable router. */
  listRouters(): _AsyncResult<RouterReport[]> {
    return this.#routers.list();
  }

  /** Waits until a generation is in force on all live routers, or times out. */
  async waitForRollout(
    generation: number,
    timeoutMilliseconds: number,
    onProgress: (report: RolloutReport) => void = () => undefined,
  ): _AsyncResult<RolloutReport> {
    const deadline = performance.now() + timeoutMilliseconds;
    for (;;) {
      const reports = await this.listRouters();
      const report = reports.map((all) => {
        const inForce = all.filter(({ status }) =>
          status && status.generation >= generation
        );
        return { generation, inForce: inForce.length, routers: all.length };
      });
      if (report.isOk()) onProgress(report.value);
      const done = report.isOk() &&
        report.value.inForce === report.value.routers;
      if (done || performance.now() >= deadline) return report;
      await _sleep(
        Math.min(POLL_INTERVAL_MILLISECONDS, deadline - performance.now()),
      );
    }
  }

  #applyOptions(): ApplyOptions {
    return {
      client: this.#platform,
      applyId: `${_userName()}.${crypto.randomUUID()}`,
      wallMilliseconds: Date.now,
      sleep: _sleep,
      readHighestGeneration: () => this.#routers.highestGeneration(),
    };
  }

  /** Whether a name is that of a host or a backend server. */
  async #findKind(name: string): _AsyncResult<keyof Drains> {
    const fleet = await this.currentFleet();
    if (fleet.isErr()) return err(fleet.error);
    if (!fleet.value) {
      return err(
        createError("not_found", "no configuration has been applied yet"),
      );
    }
    const isBackendServer = Object.hasOwn(fleet.value.backendServers, name);
    const listedHosts = (await this.#platform.listHosts()).unwrapOr([]).map((
      { host },
    ) => host);
    const members = (await this.listRouters()).unwrapOr([]).map(({ host }) =>
      host
    );
    const head = await readHead(this.#platform);
    const drained = head.unwrapOr(undefined)?.head.drains;
    const serverHosts = Object.values(fleet.value.backendServers).map((
      { host },
    ) => host);
    const isHost = [
      ...listedHosts,
      ...members,
      ...serverHosts,
      ...drained?.hosts ?? [],
    ].includes(name);
    if (isBackendServer && isHost) {
      return err(
        createError(
          "not_found",
          "both a host and a backend server have this name; rename one",
          [name],
        ),
      );
    }
    if (isBackendServer || drained?.backendServers.includes(name)) {
      return ok("backendServers");
    }
    if (isHost) return ok("hosts");
    return err(
      createError(
        "not_found",
        "no host or backend server has this name",
        [name],
      ),
    );
  }
}

function _changeDrain(
  drains: Drains,
  kind: keyof Drains,
  name: string,
  undo: boolean,
): Drains {
  const others = drains[kind].filter((drained) => drained !== name);
  return { ...drains, [kind]: undo ? others : [...others, name].sort() };
}

function _userName(): string {
  try {
    return userInfo().username;
  } catch {
    return "operator";
  }
}

function _sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) =>
    setTimeout(resolve, Math.max(0, milliseconds))
  );
}

/** Creates an operator client. */
export function createOperatorClient(
  options: OperatorClientOptions,
): OperatorClient {
  return new OperatorClient(options);
}
