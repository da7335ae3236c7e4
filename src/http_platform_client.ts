/**
 * The platform client over HTTP. It does not retry calls: a caller that retries
 * a write whose reply was lost must first find out if the write took effect.
 */
import { err, ok, type Result } from "neverthrow";
import { type Dispatcher, Pool } from "undici";
import { z } from "zod";
import { readBody } from "./body_reader.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import {
  type ListedHost,
  MAXIMUM_OBJECT_BYTES,
  PlatformClient,
  type PlatformCounters,
  type StoredObject,
} from "./platform_client.ts";

/** Response header with the version of an object. */
export const VERSION_HEADER = "x-object-version";
/** Request header with the version that a write or removal expects. */
export const EXPECTED_VERSION_HEADER = "x-expected-version";

const MAXIMUM_CONNECTIONS = 32;
/** Longest response that is read: an object, written as text within JSON. */
const MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Time for the reply to a watch, besides the wait that the watch asks for. */
const WATCH_GRACE_MILLISECONDS = 1_000;
/** Keys read with If-None-Match, so that unchanged values aren't sent again. */
const CACHED_KEYS: readonly string[] = ["configuration/head"];

/** Options of `createHttpPlatformClient`. */
export interface HttpPlatformClientOptions {
  /** IP address and port. */
  readonly address: string;
  /** Bearer token. */
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

interface _Response {
  readonly status: number;
  readonly version: number;
  readonly text: string;
}

const _hostList = z.array(
  z.object({ host: z.string(), state: z.enum(["live", "leaving"]) }),
);

/** Codes of errors that occur before a connection exists: nothing was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function _unavailable(response: _Response, key: string): ApplicationError {
  const detail = `the platform returned status ${response.status}`;
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
    // Invalid JSON is reported like a list of the wrong shape.
  }
  return err(createError("platform_unavailable", "the host list is malformed"));
}

class _HttpPlatformClient extends PlatformClient {
  readonly #options: HttpPlatformClientOptions;
  readonly #pool: Pool;
  readonly #cachedObjects = new Map<string, StoredObject>();
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
      maxResponseSize: MAXIMUM_RESPONSE_BYTES,
    });
  }

  override async read(
    key: string,
  ): Promise<Result<StoredObject | undefined, ApplicationError>> {
    this.#counters.reads++;
    const cached = this.#cachedObjects.get(key);
    const headers = cached ? { "if-none-match": `"${cached.version}"` } : {};
    const path = _objectPath("objects", key);
    const result = await this.#call({ method: "GET", path, headers });
    return result.andThen((response) => {
      if (response.status === 304 && cached) return ok(cached);
      return this.#parseObject(key, response);
    });
  }

  override async write(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<Result<number, ApplicationError>> {
    this.#counters.writes++;
    if (Buffer.byteLength(value) > MAXIMUM_OBJECT_BYTES) {
      const detail = `the value exceeds ${MAXIMUM_OBJECT_BYTES} bytes`;
      return err(createError("body_too_large", detail, [key]));
    }
    const result = await this.#modify("PUT", key, expectedVersion, value);
    return result.map((response) => response.version);
  }

  override async remove(
    key: string,
    expectedVersion: number,
  ): Promise<Result<void, ApplicationError>> {
    this.#counters.writes++;
    const result = await this.#modify("DELETE", key, expectedVersion);
    return result.map(() => undefined);
  }

  override async watch(
    key: string,
    afterVersion: number,
    timeoutMilliseconds: number,
  ): Promise<Result<StoredObject | undefined, ApplicationError>> {
    this.#counters.watches++;
    const wait = Math.max(0, Math.floor(timeoutMilliseconds));
    const query = `?after=${afterVersion}&wait_milliseconds=${wait}`;
    const result = await this.#call({
      method: "GET",
      path: _objectPath("watch", key) + query,
      timeoutMilliseconds: wait + WATCH_GRACE_MILLISECONDS,
    });
    return result.andThen((response) =>
      response.status === 204 ? ok(undefined) : this.#parseObject(key, response)
    );
  }

  override async listHosts(): Promise<
    Result<readonly ListedHost[], ApplicationError>
  > {
    this.#counters.reads++;
    const result = await this.#call({ method: "GET", path: "/hosts" });
    return result.andThen((response) =>
      response.status === 200
        ? _parseHosts(response.text)
        : err(_unavailable(response, "hosts"))
    );
  }

  override counters(): Readonly<PlatformCounters> {
    return this.#counters;
  }

  override close(): Promise<void> {
    return this.#pool.destroy();
  }

  #parseObject(
    key: string,
    { status, version, text }: _Response,
  ): Result<StoredObject | undefined, ApplicationError> {
    if (status === 404) return ok(undefined);
    if (status !== 200 || !Number.isSafeInteger(version)) {
      return err(_unavailable({ status, version, text }, key));
    }
    const object: StoredObject = { key, version, value: text };
    if (CACHED_KEYS.includes(key)) this.#cachedObjects.set(key, object);
    return ok(object);
  }

  async #modify(
    method: "PUT" | "DELETE",
    key: string,
    expectedVersion: number,
    body?: string,
  ): Promise<Result<_Response, ApplicationError>> {
    const result = await this.#call({
      method,
      path: _objectPath("objects", key),
      headers: {
        [EXPECTED_VERSION_HEADER]: String(expectedVersion),
        ...(body === undefined ? {} : { "content-type": "text/plain" }),
      },
      ...(body === undefined ? {} : { body }),
    });
    return result.andThen((response) => {
      if (response.status === 409 || response.status === 404) {
        return err(
          createError(
            "platform_conflict",
            `expected version ${expectedVersion}`,
            [key],
          ),
        );
      }
      if (
        response.status === 503 ||
        (response.status >= 400 && response.status < 500)
      ) {
        return err(_unavailable(response, key));
      }
      if (response.status < 200 || response.status > 299) {
        return err(
          createError(
            "platform_outcome_unknown",
            `the platform returned status ${response.status}`,
            [
              key,
            ],
          ),
        );
      }
      return ok(response);
    });
  }

  async #call(call: _Call): Promise<Result<_Response, ApplicationError>> {
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
      return ok(await this.#readResponse(response));
    } catch (cause) {
      this.#counters.failures++;
      const code = (cause as { code?: string }).code ?? "";
      const detail = `${code} ${(cause as Error).message}`.trim();
      const isUncertain = call.method !== "GET" && !NOT_SENT_CODES.has(code);
      const kind = isUncertain
        ? "platform_outcome_unknown"
        : "platform_unavailable";
      return err(createError(kind, detail, [call.path]));
    }
  }

  async #readResponse(response: Dispatcher.ResponseData): Promise<_Response> {
    const text = (await readBody(response.body)).toString();
    if (response.statusCode >= 500) this.#counters.failures++;
    const version = Number(response.headers[VERSION_HEADER] ?? Number.NaN);
    return { status: response.statusCode, version, text };
  }
}

/** A platform client that keeps connections open until it is closed. */
export type HttpPlatformClient = PlatformClient & { close(): Promise<void> };

/** Creates a client for the platform's HTTP API. */
export function createHttpPlatformClient(
  options: HttpPlatformClientOptions,
): HttpPlatformClient {
  return new _HttpPlatformClient(options);
}
