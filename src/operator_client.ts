/**
 * The operations of an operator on a fleet: apply and compare fleet files, drain
 * hosts and backend servers, and query the status of routers. The command line
 * is a thin layer above it.
 */
import { createHash } from "node:crypto";
import { userInfo } from "node:os";
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { z } from "zod";
import {
  applyFleet,
  type ApplyOptions,
  type ApplyOutcome,
  changeDrains,
  readFleet,
  readHead,
} from "./core/configuration_apply.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import { toFleetSections } from "./core/fleet_file.ts";
import type { Drains, Fleet } from "./core/fleet_schema.ts";
import type { OperatorSettings } from "./core/settings_schema.ts";
import type { PlatformClient } from "./platform_client.ts";

const POLL_INTERVAL_MILLISECONDS = 250;
const MAXIMUM_PARALLEL_QUERIES = 32;
/** Routers asked for the fleet's generation before a change is applied. */
const MAXIMUM_SAMPLED_ROUTERS = 16;

const _memberSchema = z.object({
  host: z.string(),
  data_centre: z.string(),
  caller_address: z.string(),
  state: z.string(),
  generation: z.number().optional(),
});

const _statusSchema = z.looseObject({
  host: z.string(),
  data_centre: z.string(),
  incarnation: z.string(),
  generation: z.number(),
  /** The highest generation seen; it may not be in force yet. */
  highest_generation: z.number().optional(),
  digest: z.string().nullish(),
  stale: z.boolean(),
  alarms: z.array(z.string()),
  members: z.array(_memberSchema),
});

/** A router's response to `GET /operator/status`. */
export type RouterStatus = z.infer<typeof _statusSchema>;

/** One router in a status report. */
export interface RouterReport {
  readonly host: string;
  readonly dataCentre: string;
  readonly address: string;
  /** Undefined if the router did not respond. */
  readonly status: RouterStatus | undefined;
}

/** The number of routers on which a generation is in force. */
export interface RolloutReport {
  readonly generation: number;
  readonly inForce: number;
  readonly routers: number;
}

/** A section that differs between the fleet in force and a fleet file. */
export interface SectionDifference {
  readonly section: string;
  readonly change: "added" | "removed" | "changed";
  /** The key, the value in force and the value in the file. */
  readonly keys:
    readonly (readonly [string, string | undefined, string | undefined])[];
}

type _AsyncResult<T> = Promise<Result<T, ApplicationError>>;

/** Returns the SHA-256 of a key in hex, as used in fleet files. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** Lists the sections in which two fleets differ. */
export function diffFleets(
  before: Fleet | undefined,
  after: Fleet,
): SectionDifference[] {
  const old = before
    ? toFleetSections(before)
    : new Map<string, Record<string, string>>();
  const next = toFleetSections(after);
  const differences: SectionDifference[] = [];
  for (const section of [...new Set([...old.keys(), ...next.keys()])].sort()) {
    const [left, right] = [old.get(section), next.get(section)];
    const names = [
      ...new Set([...Object.keys(left ?? {}), ...Object.keys(right ?? {})]),
    ].sort();
    const keys = names.filter((name) => left?.[name] !== right?.[name]).map((
      name,
    ) => [name, left?.[name], right?.[name]] as const);
    if (left && right && keys.length === 0) continue;
    const change = !left ? "added" : right ? "changed" : "removed";
    differences.push({ section, change, keys });
  }
  return differences;
}

/** Options of `createOperatorClient`. */
export interface OperatorClientOptions {
  readonly settings: OperatorSettings;
  readonly platform: PlatformClient;
}

/** A client for the operations of an operator. */
export class OperatorClient {
  readonly #settings: OperatorSettings;
  readonly #platform: PlatformClient;

  constructor({ settings, platform }: OperatorClientOptions) {
    this.#settings = settings;
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
  async routerStatus(address: string): _AsyncResult<RouterStatus> {
    const body = await this.#getJson(address, "/operator/status");
    return body.andThen((value) => {
      const parsed = _statusSchema.safeParse(value);
      return parsed.success ? ok(parsed.data) : err(
        createError("malformed_body", "the status response is malformed", [
          address,
        ]),
      );
    });
  }

  /** Fetches the state dump of one router. */
  routerDump(address: string): _AsyncResult<unknown> {
    return this.#getJson(address, "/operator/dump");
  }

  /** Fetches the status of all routers known to the first reachable one. */
  async listRouters(): _AsyncResult<RouterReport[]> {
    let lastError = createError(
      "invalid_settings",
      "no router is configured; add routers to [operator]",
      ["operator", "routers"],
    );
    for (const address of this.#settings.operator.routers) {
      const status = await this.routerStatus(address);
      if (status.isOk()) return ok(await this.#queryRouters(status.value));
      lastError = status.error;
    }
    return err(lastError);
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
      fleetGeneration: () => this.#fleetGeneration(),
    };
  }

  /** Returns the highest generation of several routers, as one may lag behind. */
  async #fleetGeneration(): Promise<number> {
    const addresses = this.#settings.operator.routers.slice(
      0,
      MAXIMUM_SAMPLED_ROUTERS,
    );
    const statuses = await Promise.all(
      addresses.map((address) => this.routerStatus(address)),
    );
    const generations = statuses.flatMap((status) =>
      status.isErr() ? [] : [
        status.value.generation,
        status.value.highest_generation ?? 0,
        ...status.value.members.map((member) => member.generation ?? 0),
      ]
    );
    return Math.max(0, ...generations);
  }

  async #queryRouters(first: RouterStatus): Promise<RouterReport[]> {
    const queue = first.members.filter(({ state }) =>
      state !== "dead" && state !== "left"
    );
    const reports: RouterReport[] = [];
    const queryQueued = async (): Promise<void> => {
      for (let member = queue.shift(); member; member = queue.shift()) {
        const address = member.caller_address;
        const status = (await this.routerStatus(address)).unwrapOr(undefined);
        reports.push({
          host: member.host,
          dataCentre: member.data_centre,
          address,
          status,
        });
      }
    };
    await Promise.all(
      Array.from({ length: MAXIMUM_PARALLEL_QUERIES }, queryQueued),
    );
    return reports.sort((left, right) => left.host < right.host ? -1 : 1);
  }

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

  async #getJson(address: string, path: string): _AsyncResult<unknown> {
    const { key, timeoutMilliseconds } = this.#settings.operator;
    try {
      const response = await request(`http://${address}${path}`, {
        headers: { authorization: `Bearer ${key}` },
        signal: AbortSignal.timeout(timeoutMilliseconds),
      });
      const text = await response.body.text();
      if (response.statusCode === 401) {
        return err(
          createError(
            "unauthenticated",
            "the router rejected the operator key",
            [address],
          ),
        );
      }
      if (response.statusCode !== 200) {
        return err(
          createError(
            "backend_failed",
            `the router returned status ${response.statusCode}`,
            [
              address,
            ],
          ),
        );
      }
      return ok(JSON.parse(text));
    } catch (cause) {
      return err(
        createError("peer_unreachable", (cause as Error).message, [address]),
      );
    }
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
