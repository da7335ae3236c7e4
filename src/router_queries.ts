/** What an operator asks routers: their status, their dumps and each other. */
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { z } from "zod";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { OperatorSettings } from "./core/settings_schema.ts";

const MAXIMUM_PARALLEL_QUERIES = 32;
/** Maximum number of routers asked for their generation before a change. */
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
  /** The highest generation seen; perhaps not in force yet. */
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

type _AsyncResult<T> = Promise<Result<T, ApplicationError>>;

/** Queries the routers of a fleet with an operator's key. */
export class RouterQueries {
  readonly #operator: OperatorSettings["operator"];

  constructor(operator: OperatorSettings["operator"]) {
    this.#operator = operator;
  }

  /** Fetches the status of one router. */
  async status(address: string): _AsyncResult<RouterStatus> {
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
  dump(address: string): _AsyncResult<unknown> {
    return this.#getJson(address, "/operator/dump");
  }

  /** Fetches the status of all members known to the first reachable router. */
  async list(): _AsyncResult<RouterReport[]> {
    let lastError = createError(
      "invalid_settings",
      "no router is configured; add routers to [operator]",
      ["operator", "routers"],
    );
    for (const address of this.#operator.routers) {
      const status = await this.status(address);
      if (status.isOk()) return ok(await this.#queryRouters(status.value));
      lastError = status.error;
    }
    return err(lastError);
  }

  /** Returns the highest generation of several routers, as any may lag. */
  async highestGeneration(): Promise<number> {
    const addresses = this.#operator.routers.slice(
      0,
      MAXIMUM_SAMPLED_ROUTERS,
    );
    const statuses = await Promise.all(
      addresses.map((address) => this.status(address)),
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
        const status = (await this.status(address)).unwrapOr(undefined);
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

  async #getJson(address: string, path: string): _AsyncResult<unknown> {
    const { key, timeoutMilliseconds } = this.#operator;
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
