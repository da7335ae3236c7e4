/**
 * The platform client over HTTP. Calls are not repeated here: a caller that
 * repeats a write must first find out whether the lost one took effect.
 */
import { err, ok, type Result } from "neverthrow";
import { type Dispatcher, Pool } from "undici";
import { z } from "zod";
import { type ApplicationError, createError } from "./core/errors.ts";
import {
  type ListedHost,
  MAXIMUM_OBJECT_BYTES,
  PlatformClient,
  type PlatformCounters,
  type StoredObject,
} from "./platform_client.ts";

/** Header that carries the version of an object in an answer. */
export const VERSION_HEADER = "x-object-version";
/** Header of a write or removal that names the version it expects. */
export const EXPECTED_VERSION_HEADER = "x-expected-version";

const MAXIMUM_CONNECTIONS = 32;
/** A watch may answer this much later than asked before it counts as failed. */
const WATCH_GRACE_MILLISECONDS = 1_000;
/** Reads of these keys are conditional, so an unchanged value is not sent again. */
const REMEMBERED_KEYS: readonly string[] = ["configuration/head"];

/** Where the platform is and how long a call may take. */
export interface HttpPlatformClientOptions {
  /** IP address and port. */
  readonly address: string;
  /** Bearer key. */
  readonly key: string;
  readonly timeoutMilliseconds: number;
}

interface _Call {
  readonly method: "GET" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMilliseconds?: number;
}

interface _Answer {
  readonly status: number;
  readonly version: number;
  readonly text: string;
}

const _hostList = z.array(
  z.object({ host: z.string(), state: z.enum(["live", "leaving"]) }),
);

/** Codes of failures before a connection existed: nothing was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function _unavailable(answer: _Answer, key: string): ApplicationError {
  const detail = `the platform answered with status ${answer.status}`;
  return createError("platform_unavailable", detail, [key]);
}

function _objectPath(root: "objects" | "watch", key: string): string {
  return `/${root}/${key.split("/").map(encodeURIComponent).join("/")}`;
}

function _parseHosts(text: string): Result<ListedHost[], ApplicationError> {
  try {
    const parsed = _hostList.safeParse(JSON.parse(text));
    if (parsed.success) return ok(parsed.data);
  } catch {
    // Reported below like a list of the wrong shape.
  }
  return err(createError("platform_unavailable", "the host list is malformed"));
}

class _HttpPlatformClient extends PlatformClient {
  readonly #options: HttpPlatformClientOptions;
  readonly #pool: Pool;
  readonly #remembered = new Map<string, StoredObject>();
  readonly #counters: PlatformCounters = {
    reads: 0,
    writes: 0,
    watches: 0,
    failures: 0,
  };

  constructor(options: HttpPlatformClientOptions) {
    super();
    this.#options = options;
    this.#pool = new Pool(`http://${options.address}`, {
      connections: MAXIMUM_CONNECTIONS,
      pipelining: 1,
      connectTimeout: options.timeoutMilliseconds,
    });
  }

  override async read(
    key: string,
  ): Promise<Result<StoredObject | undefined, ApplicationError>> {
    this.#counters.reads++;
    const known = this.#remembered.get(key);
    const headers = known ? { "if-none-match": `"${known.version}"` } : {};
    const path = _objectPath("objects", key);
    const called = await this.#call({ method: "GET", path, headers });
    return called.andThen((answer) => {
      if (answer.status === 304 && known) return ok(known);
      return this.#toObject(key, answer);
    });
  }

  override async write(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<Result<number, ApplicationError>> {
    this.#counters.writes++;
    if (Buffer.byteLength(value) > MAXIMUM_OBJECT_BYTES) {
      const detail = `a value may have ${MAXIMUM_OBJECT_BYTES} bytes`;
      return err(createError("body_too_large", detail, [key]));
    }
    const called = await this.#change("PUT", key, expectedVersion, value);
    return called.map((answer) => answer.version);
  }

  override async remove(
    key: string,
    expectedVersion: number,
  ): Promise<Result<void, ApplicationError>> {
    this.#counters.writes++;
    const called = await this.#change("DELETE", key, expectedVersion);
    return called.map(() => undefined);
  }

  override async watch(
    key: string,
    afterVersion: number,
    timeoutMilliseconds: number,
  ): Promise<Result<StoredObject | undefined, ApplicationError>> {
    this.#counters.watches++;
    const wait = Math.max(0, Math.floor(timeoutMilliseconds));
    const query = `?after=${afterVersion}&wait_milliseconds=${wait}`;
    const called = await this.#call({
      method: "GET",
      path: _objectPath("watch", key) + query,
      timeoutMilliseconds: wait + WATCH_GRACE_MILLISECONDS,
    });
    return called.andThen((answer) =>
      answer.status === 204 ? ok(undefined) : this.#toObject(key, answer)
    );
  }

  override async listHosts(): Promise<
    Result<readonly ListedHost[], ApplicationError>
  > {
    this.#counters.reads++;
    const called = await this.#call({ method: "GET", path: "/hosts" });
    return called.andThen((answer) =>
      answer.status === 200
        ? _parseHosts(answer.text)
        : err(_unavailable(answer, "hosts"))
    );
  }

  override counters(): Readonly<PlatformCounters> {
    return this.#counters;
  }

  override close(): Promise<void> {
    return this.#pool.destroy();
  }

  #toObject(
    key: string,
    { status, version, text }: _Answer,
  ): Result<StoredObject | undefined, ApplicationError> {
    if (status === 404) return ok(undefined);
    if (status !== 200 || !Number.isSafeInteger(version)) {
      return err(_unavailable({ status, version, text }, key));
    }
    const object: StoredObject = { key, version, value: text };
    if (REMEMBERED_KEYS.includes(key)) this.#remembered.set(key, object);
    return ok(object);
  }

  async #change(
    method: "PUT" | "DELETE",
    key: string,
    expectedVersion: number,
    body?: string,
  ): Promise<Result<_Answer, ApplicationError>> {
    const called = await this.#call({
      method,
      path: _objectPath("objects", key),
      headers: {
        [EXPECTED_VERSION_HEADER]: String(expectedVersion),
        ...(body === undefined ? {} : { "content-type": "text/plain" }),
      },
      ...(body === undefined ? {} : { body }),
    });
    return called.andThen((answer) => {
      if (answer.status === 409 || answer.status === 404) {
        return err(
          createError(
            "platform_conflict",
            `expected version ${expectedVersion}`,
            [key],
          ),
        );
      }
      if (
        answer.status === 503 || (answer.status >= 400 && answer.status < 500)
      ) {
        return err(_unavailable(answer, key));
      }
      if (answer.status < 200 || answer.status > 299) {
        return err(
          createError("platform_outcome_unknown", `status ${answer.status}`, [
            key,
          ]),
        );
      }
      return ok(answer);
    });
  }

  async #call(call: _Call): Promise<Result<_Answer, ApplicationError>> {
    const timeout = call.timeoutMilliseconds ??
      this.#options.timeoutMilliseconds;
    try {
      const response = await this.#pool.request({
        method: call.method,
        path: call.path,
        headers: {
          authorization: `Bearer ${this.#options.key}`,
          ...call.headers,
        },
        ...(call.body === undefined ? {} : { body: call.body }),
        signal: AbortSignal.timeout(timeout),
      });
      return ok(await this.#readAnswer(response));
    } catch (cause) {
      this.#counters.failures++;
      const code = (cause as { code?: string }).code ?? "";
      const detail = `${code} ${(cause as Error).message}`.trim();
      const unknown = call.method !== "GET" && !NOT_SENT_CODES.has(code);
      const kind = unknown
        ? "platform_outcome_unknown"
        : "platform_unavailable";
      return err(createError(kind, detail, [call.path]));
    }
  }

  async #readAnswer(response: Dispatcher.ResponseData): Promise<_Answer> {
    const text = await response.body.text();
    if (response.statusCode >= 500) this.#counters.failures++;
    const version = Number(response.headers[VERSION_HEADER] ?? Number.NaN);
    return { status: response.statusCode, version, text };
  }
}

/** A platform client that holds connections until it is closed. */
export type HttpPlatformClient = PlatformClient & { close(): Promise<void> };

/** Creates a client of the platform's HTTP interface. */
export function createHttpPlatformClient(
  options: HttpPlatformClientOptions,
): HttpPlatformClient {
  return new _HttpPlatformClient(options);
}
