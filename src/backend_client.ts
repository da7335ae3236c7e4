/**
 * The router's HTTP client for backend servers: calls to plain services, chat
 * streams of engines, and the engines' control interface.
 */
import { err, ok, type Result } from "neverthrow";
import type { Readable } from "node:stream";
import type { z } from "zod";
import {
  type BackendResponse,
  expectSuccess,
  parseJson,
  readResponse,
} from "./backend_response.ts";
import {
  type BackendRequest,
  BackendTransport,
  type UnreadResponse,
} from "./backend_transport.ts";
import { type ChatStreamEvents, readChatStream } from "./chat_stream.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { SocketAddress } from "./core/ids.ts";
import type { EngineOrder } from "./core/orders.ts";
import {
  type CacheEvents,
  cacheEventsSchema,
  type EngineLoad,
  engineLoadSchema,
  type EngineState,
  engineStateSchema,
} from "./engine_protocol.ts";
import type { TimerService } from "./timer_service.ts";

export type { BackendResponse } from "./backend_response.ts";
export type { BackendRequest } from "./backend_transport.ts";
export type { ChatStreamEvent, ChatStreamEvents } from "./chat_stream.ts";

const DEFAULT_MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;
const DEFAULT_MAXIMUM_RESUMES = 3;
/** Delay before a stream is first resumed; doubles with each further resume. */
const RESUME_DELAY_MILLISECONDS = 20;
/** Timeout of a call to an engine's control interface. */
const CONTROL_TIMEOUT_MILLISECONDS = 2_000;
/** Timeout of an export or import of a drained engine's KV cache. */
const CACHE_TIMEOUT_MILLISECONDS = 20_000;

/** A call to a backend server whose response size is bounded. */
export interface BackendCall extends BackendRequest {
  readonly maximumResponseBytes?: number;
}

/** A chat request whose response is streamed. */
export interface ChatCall {
  readonly address: SocketAddress;
  readonly requestId: string;
  /** The OpenAI-style request body; the client sets `stream`. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly deadline: number;
  readonly signal?: AbortSignal;
}

/** The position at which a stream is resumed. */
export interface StreamPosition {
  readonly address: SocketAddress;
  readonly streamId: string;
  readonly offset: number;
  readonly deadline: number;
  readonly signal?: AbortSignal;
}

/** A started stream, or the plain response that the engine sent instead. */
export type ChatStartResult =
  | {
    readonly kind: "stream";
    readonly streamId: string;
    readonly events: ChatStreamEvents;
  }
  | { readonly kind: "answer"; readonly answer: BackendResponse };

/**
 * Exported KV cache, streamed through the router so that only a part of it is
 * in memory at a time. It must be imported or released.
 */
export interface CacheExport {
  readonly content: Readable;
  /** Size of the cache entries as reported by the engine. */
  readonly bytes: number;
  release(): void;
}

/** Sends requests to backend servers. */
export abstract class BackendClient {
  /**
   * Sends one call. The errors `backend_unreachable` and `deadline_exceeded`
   * guarantee that no byte was sent; any later failure is `outcome_unknown`.
   */
  abstract call(
    call: BackendCall,
  ): Promise<Result<BackendResponse, ApplicationError>>;
  /** Starts a streamed chat. */
  abstract streamChat(
    call: ChatCall,
  ): Promise<Result<ChatStartResult, ApplicationError>>;
  /** Resumes a stream; fails with `stream_gone` if the engine discarded it. */
  abstract resumeStream(
    position: StreamPosition,
  ): Promise<Result<ChatStartResult, ApplicationError>>;
  /** Cancels the generation behind a stream. */
  abstract cancelStream(
    address: SocketAddress,
    streamId: string,
  ): Promise<Result<void, ApplicationError>>;
  abstract readLoad(
    address: SocketAddress,
  ): Promise<Result<EngineLoad, ApplicationError>>;
  abstract readState(
    address: SocketAddress,
  ): Promise<Result<EngineState, ApplicationError>>;
  /** Sends an order; the error `order_rejected` has the engine's reason. */
  abstract sendOrder(
    address: SocketAddress,
    order: EngineOrder,
  ): Promise<Result<void, ApplicationError>>;
  abstract readCacheEvents(
    address: SocketAddress,
    after: number,
  ): Promise<Result<CacheEvents, ApplicationError>>;
  /** Exports the KV cache of chats in the given order, up to a byte limit. */
  abstract exportCache(
    address: SocketAddress,
    chats: readonly string[],
    maximumBytes: number,
  ): Promise<Result<CacheExport, ApplicationError>>;
  abstract importCache(
    address: SocketAddress,
    exported: CacheExport,
  ): Promise<Result<void, ApplicationError>>;
  abstract stop(): Promise<void>;
}

/** Options of the HTTP backend client. */
export interface HttpBackendClientOptions {
  readonly timers: TimerService;
  /** Sent as a bearer token if not empty. */
  readonly backendKey?: string;
  readonly maximumResumes?: number;
}

class _HttpBackendClient extends BackendClient {
  readonly #options: HttpBackendClientOptions;
  readonly #transport: BackendTransport;

  constructor(options: HttpBackendClientOptions) {
    super();
    this.#options = options;
    this.#transport = new BackendTransport(options.timers);
  }

  override async call(
    call: BackendCall,
  ): Promise<Result<BackendResponse, ApplicationError>> {
    const opened = await this.#openRequest(call);
    if (opened.isErr()) return err(opened.error);
    return readResponse(
      opened.value,
      call.maximumResponseBytes ?? DEFAULT_MAXIMUM_RESPONSE_BYTES,
    );
  }

  override async streamChat(
    call: ChatCall,
  ): Promise<Result<ChatStartResult, ApplicationError>> {
    const { address, deadline, signal } = call;
    const opened = await this.#openRequest({
      address,
      deadline,
      ...(signal ? { signal } : {}),
      method: "POST",
      path: "/v1/chat/completions",
      headers: {
        "content-type": "application/json",
        "x-request-id": call.requestId,
      },
      body: JSON.stringify({ ...call.body, stream: true }),
      // A repeated request would start a second generation on the engine.
      idempotent: false,
    });
    return this.#toChatStartResult(opened, {
      ...call,
      streamId: "",
      offset: 0,
    });
  }

  override async resumeStream(
    position: StreamPosition,
  ): Promise<Result<ChatStartResult, ApplicationError>> {
    const opened = await this.#openStream(position);
    if (opened.isOk() && [404, 410].includes(opened.value.status)) {
      opened.value.release();
      return err(createError("stream_gone", position.streamId));
    }
    return this.#toChatStartResult(opened, position);
  }

  override async cancelStream(
    address: SocketAddress,
    streamId: string,
  ): Promise<Result<void, ApplicationError>> {
    const path = `/v1/streams/${encodeURIComponent(streamId)}`;
    const result = await this.#callControl(address, "DELETE", path);
    return result.map(() => undefined);
  }

  override readLoad(address: SocketAddress) {
    return this.#readControl(address, "/v1/load", engineLoadSchema);
  }

  override readState(address: SocketAddress) {
    return this.#readControl(address, "/v1/state", engineStateSchema);
  }

  override readCacheEvents(address: SocketAddress, after: number) {
    const path = `/v1/cache/events?after=${after}`;
    return this.#readControl(address, path, cacheEventsSchema);
  }

  override async sendOrder(
    address: SocketAddress,
    order: EngineOrder,
  ): Promise<Result<void, ApplicationError>> {
    const result = await this.call({
      ...this.#postRequest(address, "/v1/orders"),
      body: JSON.stringify({
        kind: order.kind,
        target: order.target,
        fencing_number: order.fencingNumber,
        not_after_milliseconds: order.notAfterMilliseconds,
      }),
      deadline: this.#now() + CONTROL_TIMEOUT_MILLISECONDS,
    });
    if (result.isErr()) return err(result.error);
    const { status, body } = result.value;
    if (status === 409) {
      return err(createError("order_rejected", body.toString()));
    }
    return expectSuccess(result.value).map(() => undefined);
  }

  override async exportCache(
    address: SocketAddress,
    chats: readonly string[],
    maximumBytes: number,
  ): Promise<Result<CacheExport, ApplicationError>> {
    const opened = await this.#openRequest({
      ...this.#postRequest(address, "/v1/cache/export"),
      body: JSON.stringify({ chats, maximum_bytes: maximumBytes }),
      deadline: this.#now() + CACHE_TIMEOUT_MILLISECONDS,
    });
    if (opened.isErr()) return err(opened.error);
    const response = opened.value;
    if (response.status !== 200) {
      response.release();
      return err(createError("backend_failed", `status ${response.status}`));
    }
    const bytes = Number(response.headers["x-cache-bytes"] ?? 0);
    const release = response.release.bind(response);
    return ok({ content: response.body, bytes, release });
  }

  override async importCache(
    address: SocketAddress,
    exported: CacheExport,
  ): Promise<Result<void, ApplicationError>> {
    const result = await this.call({
      ...this.#postRequest(address, "/v1/cache/import"),
      body: exported.content,
      deadline: this.#now() + CACHE_TIMEOUT_MILLISECONDS,
    });
    exported.release();
    return result.andThen(expectSuccess).map(() => undefined);
  }

  override stop(): Promise<void> {
    return this.#transport.stop();
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  #openRequest(
    request: BackendRequest,
  ): Promise<Result<UnreadResponse, ApplicationError>> {
    const key = this.#options.backendKey ?? "";
    if (key === "") return this.#transport.open(request);
    const headers = { ...request.headers, authorization: `Bearer ${key}` };
    return this.#transport.open({ ...request, headers });
  }

  #openStream({ address, streamId, offset, deadline, signal }: StreamPosition) {
    return this.#openRequest({
      address,
      deadline,
      ...(signal ? { signal } : {}),
      method: "GET",
      path: `/v1/streams/${encodeURIComponent(streamId)}?offset=${offset}`,
      idempotent: true,
    });
  }

  async #toChatStartResult(
    opened: Result<UnreadResponse, ApplicationError>,
    position: StreamPosition,
  ): Promise<Result<ChatStartResult, ApplicationError>> {
    if (opened.isErr()) return err(opened.error);
    const response = opened.value;
    const streamId = response.headers["x-stream-id"];
    if (response.status !== 200 || typeof streamId !== "string") {
      const result = await readResponse(
        response,
        DEFAULT_MAXIMUM_RESPONSE_BYTES,
      );
      return result.map((answer) => ({ kind: "answer", answer }));
    }
    const events = readChatStream(response, {
      streamId,
      offset: position.offset,
      maximumResumes: this.#options.maximumResumes ?? DEFAULT_MAXIMUM_RESUMES,
      resume: (offset) => this.#openStream({ ...position, streamId, offset }),
      waitBeforeResume: (resumes) =>
        this.#options.timers.sleep(
          RESUME_DELAY_MILLISECONDS * 2 ** resumes,
          "resume stream",
        ),
      isAborted: () =>
        position.signal?.aborted === true || this.#now() >= position.deadline,
    });
    return ok({ kind: "stream", streamId, events });
  }

  #callControl(address: SocketAddress, method: string, path: string) {
    return this.call({
      address,
      method,
      path,
      idempotent: true,
      deadline: this.#now() + CONTROL_TIMEOUT_MILLISECONDS,
    });
  }

  /** Sent on a connection of its own, so that it does not wait for others. */
  #postRequest(address: SocketAddress, path: string) {
    return {
      address,
      method: "POST",
      path,
      headers: { "content-type": "application/json" },
      idempotent: false,
    };
  }

  async #readControl<Schema extends z.ZodType>(
    address: SocketAddress,
    path: string,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, ApplicationError>> {
    const result = await this.#callControl(address, "GET", path);
    const response = result.andThen(expectSuccess);
    if (response.isErr()) return err(response.error);
    const parsed = schema.safeParse(parseJson(response.value.body));
    return parsed.success
      ? ok(parsed.data)
      : err(createError("backend_failed", `${path} is malformed`));
  }
}

/** Creates a backend client over HTTP. */
export function createHttpBackendClient(
  options: HttpBackendClientOptions,
): BackendClient {
  return new _HttpBackendClient(options);
}
