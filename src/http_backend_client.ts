/**
 * The router's HTTP client for backend servers: calls to plain services, chat
 * streams of engines, and the engines' control interface.
 */
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import {
  type BackendCall,
  BackendClient,
  type CacheExport,
  type ChatCall,
  type ChatStartResult,
  type StreamPosition,
} from "./backend_client.ts";
import {
  type BackendResponse,
  parseJson,
  readResponse,
  requireSuccessStatus,
} from "./backend_response.ts";
import {
  type BackendRequest,
  BackendTransport,
  type UnreadResponse,
} from "./backend_transport.ts";
import { readChatStream } from "./chat_stream.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { SocketAddress } from "./core/ids.ts";
import type { EngineOrder } from "./core/orders.ts";
import {
  cacheEventsSchema,
  engineLoadSchema,
  engineStateSchema,
} from "./engine_protocol.ts";
import type { TimerService } from "./timer_service.ts";

const DEFAULT_MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;
const DEFAULT_MAXIMUM_RESUMES = 3;
/** Delay before a stream is first resumed; doubles with each further resume. */
const BASE_RESUME_DELAY_MILLISECONDS = 20;
/** Timeout of a call to an engine's control interface. */
const CONTROL_TIMEOUT_MILLISECONDS = 2_000;
/** Timeout of an export or import of an engine's KV cache. */
const CACHE_TIMEOUT_MILLISECONDS = 20_000;

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
      // Resending would make the engine generate the response twice.
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
    const opened = await this.#reopenStream(position);
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

  override readCacheEvents(address: SocketAddress, afterSequence: number) {
    const path = `/v1/cache/events?after=${afterSequence}`;
    return this.#readControl(address, path, cacheEventsSchema);
  }

  override async sendOrder(
    address: SocketAddress,
    order: EngineOrder,
  ): Promise<Result<void, ApplicationError>> {
    const result = await this.call({
      ...this.#createPostRequest(address, "/v1/orders"),
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
    return requireSuccessStatus(result.value).map(() => undefined);
  }

  override async exportCache(
    address: SocketAddress,
    chats: readonly string[],
    maximumBytes: number,
  ): Promise<Result<CacheExport, ApplicationError>> {
    const opened = await this.#openRequest({
      ...this.#createPostRequest(address, "/v1/cache/export"),
      body: JSON.stringify({ chats, maximum_bytes: maximumBytes }),
      deadline: this.#now() + CACHE_TIMEOUT_MILLISECONDS,
    });
    if (opened.isErr()) return err(opened.error);
    const response = opened.value;
    if (response.status !== 200) {
      response.release();
      return err(
        createError(
          "backend_failed",
          `the cache export returned status ${response.status}`,
        ),
      );
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
      ...this.#createPostRequest(address, "/v1/cache/import"),
      body: exported.content,
      deadline: this.#now() + CACHE_TIMEOUT_MILLISECONDS,
    });
    exported.release();
    return result.andThen(requireSuccessStatus).map(() => undefined);
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

  #reopenStream(
    { address, streamId, offset, deadline, signal }: StreamPosition,
  ) {
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
      resume: (offset) => this.#reopenStream({ ...position, streamId, offset }),
      waitBeforeResume: (resumes) =>
        this.#options.timers.sleep(
          BASE_RESUME_DELAY_MILLISECONDS * 2 ** resumes,
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

  /** A POST on a new connection, so that it waits for no other request. */
  #createPostRequest(address: SocketAddress, path: string) {
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
    const response = result.andThen(requireSuccessStatus);
    if (response.isErr()) return err(response.error);
    const parsed = schema.safeParse(parseJson(response.value.body));
    return parsed.success ? ok(parsed.data) : err(
      createError("backend_failed", `the response to ${path} is malformed`),
    );
  }
}

/** Creates a backend client over HTTP. */
export function createHttpBackendClient(
  options: HttpBackendClientOptions,
): BackendClient {
  return new _HttpBackendClient(options);
}
