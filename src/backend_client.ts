/**
 * The router's client for backend servers: calls to plain services, chats of
 * engines, and the engines' control interface.
 */
import { err, ok, type Result } from "neverthrow";
import type { Readable } from "node:stream";
import type { z } from "zod";
import {
  type BackendResponse,
  expectSuccess,
  parseJson,
  readWhole,
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

const DEFAULT_MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;
const DEFAULT_MAXIMUM_RESUMES = 3;
/** First wait before a stream is resumed; doubles with each further one. */
const RESUME_DELAY_MILLISECONDS = 20;
/** Time for one call of an engine's control interface. */
const CONTROL_TIMEOUT_MILLISECONDS = 2_000;
/** Time to move the KV cache of a drained engine's chats. */
const CACHE_TIMEOUT_MILLISECONDS = 20_000;

/** A call to a backend server with a bounded answer. */
export interface BackendCall extends BackendRequest {
  readonly maximumResponseBytes?: number;
}

/** A chat request whose answer is streamed. */
export interface ChatCall {
  readonly address: SocketAddress;
  readonly requestId: string;
  /** The OpenAI-style body; `stream` is set by the client. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly deadline: number;
  readonly signal?: AbortSignal;
}

/** Where a stream is to be resumed. */
export interface StreamPosition {
  readonly address: SocketAddress;
  readonly streamId: string;
  readonly offset: number;
  readonly deadline: number;
  readonly signal?: AbortSignal;
}

/** A started stream, or the answer that the engine gave instead. */
export type ChatOpening =
  | {
    readonly kind: "stream";
    readonly streamId: string;
    readonly events: ChatStreamEvents;
  }
  | { readonly kind: "answer"; readonly answer: BackendResponse };

/**
 * Exported KV cache on its way through the router, which holds only a part of
 * it at a time. It must be imported or released.
 */
export interface CacheExport {
  readonly content: Readable;
  /** Size of the cache entries as the engine counts them. */
  readonly bytes: number;
  release(): void;
}

/** Talks to backend servers. */
export abstract class BackendClient {
  /**
   * Sends one call. `backend_unreachable` and `deadline_exceeded` prove that no
   * byte was sent; every later failure is `outcome_unknown`.
   */
  abstract call(
    call: BackendCall,
  ): Promise<Result<BackendResponse, ApplicationError>>;
  /** Starts a streamed chat. */
  abstract streamChat(
    call: ChatCall,
  ): Promise<Result<ChatOpening, ApplicationError>>;
  /** Resumes a stream; fails with `stream_gone` if the engine dropped it. */
  abstract resumeStream(
    position: StreamPosition,
  ): Promise<Result<ChatOpening, ApplicationError>>;
  /** Stops a generation. */
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
  /** Gives an order; `order_rejected` carries the engine's reason. */
  abstract sendOrder(
    address: SocketAddress,
    order: EngineOrder,
  ): Promise<Result<void, ApplicationError>>;
  abstract readCacheEvents(
    address: SocketAddress,
    after: number,
  ): Promise<Result<CacheEvents, ApplicationError>>;
  /** Exports the KV cache of chats, first named first, within a byte budget. */
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

/** What the client needs. */
export interface HttpBackendClientOptions {
  readonly timers: TimerService;
  /** Sent as a bearer key if not empty. */
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
    const opened = await this.#open(call);
    if (opened.isErr()) return err(opened.error);
    return readWhole(
      opened.value,
      call.maximumResponseBytes ?? DEFAULT_MAXIMUM_ANSWER_BYTES,
    );
  }

  override async streamChat(
    call: ChatCall,
  ): Promise<Result<ChatOpening, ApplicationError>> {
    const { address, deadline, signal } = call;
    const opened = await this.#open({
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
      // A second generation would occupy the engine twice.
      idempotent: false,
    });
    return this.#begin(opened, { ...call, streamId: "", offset: 0 });
  }

  override async resumeStream(
    position: StreamPosition,
  ): Promise<Result<ChatOpening, ApplicationError>> {
    const opened = await this.#openStream(position);
    if (opened.isOk() && [404, 410].includes(opened.value.status)) {
      opened.value.release();
      return err(createError("stream_gone", position.streamId));
    }
    return this.#begin(opened, position);
  }

  override async cancelStream(
    address: SocketAddress,
    streamId: string,
  ): Promise<Result<void, ApplicationError>> {
    const path = `/v1/streams/${encodeURIComponent(streamId)}`;
    const result = await this.#control(address, "DELETE", path);
    return result.map(() => undefined);
  }

  override readLoad(address: SocketAddress) {
    return this.#read(address, "/v1/load", engineLoadSchema);
  }

  override readState(address: SocketAddress) {
    return this.#read(address, "/v1/state", engineStateSchema);
  }

  override readCacheEvents(address: SocketAddress, after: number) {
    const path = `/v1/cache/events?after=${after}`;
    return this.#read(address, path, cacheEventsSchema);
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
    const opened = await this.#open({
      ...this.#postRequest(address, "/v1/cache/export"),
      body: JSON.stringify({ chats, maximum_bytes: maximumBytes }),
      deadline: this.#now() + CACHE_TIMEOUT_MILLISECONDS,
    });
    if (opened.isErr()) return err(opened.error);
    const answer = opened.value;
    if (answer.status !== 200) {
      answer.release();
      return err(createError("backend_failed", `status ${answer.status}`));
    }
    const bytes = Number(answer.headers["x-cache-bytes"] ?? 0);
    const release = answer.release.bind(answer);
    return ok({ content: answer.body, bytes, release });
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

  #open(
    request: BackendRequest,
  ): Promise<Result<UnreadResponse, ApplicationError>> {
    const key = this.#options.backendKey ?? "";
    if (key === "") return this.#transport.open(request);
    const headers = { ...request.headers, authorization: `Bearer ${key}` };
    return this.#transport.open({ ...request, headers });
  }

  #openStream({ address, streamId, offset, deadline, signal }: StreamPosition) {
    return this.#open({
      address,
      deadline,
      ...(signal ? { signal } : {}),
      method: "GET",
      path: `/v1/streams/${encodeURIComponent(streamId)}?offset=${offset}`,
      idempotent: true,
    });
  }

  async #begin(
    opened: Result<UnreadResponse, ApplicationError>,
    position: StreamPosition,
  ): Promise<Result<ChatOpening, ApplicationError>> {
    if (opened.isErr()) return err(opened.error);
    const first = opened.value;
    const header = first.headers["x-stream-id"];
    if (first.status !== 200 || typeof header !== "string") {
      const whole = await readWhole(first, DEFAULT_MAXIMUM_ANSWER_BYTES);
      return whole.map((answer) => ({ kind: "answer", answer }));
    }
    const events = readChatStream(first, {
      streamId: header,
      offset: position.offset,
      maximumResumes: this.#options.maximumResumes ?? DEFAULT_MAXIMUM_RESUMES,
      resume: (offset) =>
        this.#openStream({ ...position, streamId: header, offset }),
      pause: (resumes) =>
        this.#options.timers.sleep(
          RESUME_DELAY_MILLISECONDS * 2 ** resumes,
          "resume stream",
        ),
      isOver: () =>
        position.signal?.aborted === true || this.#now() >= position.deadline,
    });
    return ok({ kind: "stream", streamId: header, events });
  }

  #control(address: SocketAddress, method: string, path: string) {
    return this.call({
      address,
      method,
      path,
      idempotent: true,
      deadline: this.#now() + CONTROL_TIMEOUT_MILLISECONDS,
    });
  }

  /** Posts go out on a connection of their own, so that none is delayed. */
  #postRequest(address: SocketAddress, path: string) {
    return {
      address,
      method: "POST",
      path,
      headers: { "content-type": "application/json" },
      idempotent: false,
    };
  }

  async #read<Schema extends z.ZodType>(
    address: SocketAddress,
    path: string,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, ApplicationError>> {
    const answer = await this.#control(address, "GET", path);
    const whole = answer.andThen(expectSuccess);
    if (whole.isErr()) return err(whole.error);
    const parsed = schema.safeParse(parseJson(whole.value.body));
    return parsed.success
      ? ok(parsed.data)
      : err(createError("backend_failed", `${path} is malformed`));
  }
}

/** Creates the client of one router. */
export function createHttpBackendClient(
  options: HttpBackendClientOptions,
): BackendClient {
  return new _HttpBackendClient(options);
}
