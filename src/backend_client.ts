/** The interface of a router to backend servers. */
import type { Result } from "neverthrow";
import type { Readable } from "node:stream";
import type { BackendResponse } from "./backend_response.ts";
import type { BackendRequest } from "./backend_transport.ts";
import type { ChatStreamEvents } from "./chat_stream.ts";
import type { ApplicationError } from "./core/errors.ts";
import type { SocketAddress } from "./core/ids.ts";
import type { EngineOrder } from "./core/orders.ts";
import type {
  CacheEvents,
  EngineLoad,
  EngineState,
} from "./engine_protocol.ts";

export type { BackendResponse } from "./backend_response.ts";
export type { BackendRequest } from "./backend_transport.ts";
export type { ChatStreamEvent, ChatStreamEvents } from "./chat_stream.ts";

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
  /** On the monotonic clock, in milliseconds. */
  readonly deadline: number;
  readonly signal?: AbortSignal;
}

/** The position at which a stream is resumed. */
export interface StreamPosition {
  readonly address: SocketAddress;
  readonly streamId: string;
  readonly offset: number;
  /** On the monotonic clock, in milliseconds. */
  readonly deadline: number;
  readonly signal?: AbortSignal;
}

/** A started stream, or the complete response sent instead, as on an error. */
export type ChatStartResult =
  | {
    readonly kind: "stream";
    readonly streamId: string;
    readonly events: ChatStreamEvents;
  }
  | { readonly kind: "answer"; readonly answer: BackendResponse };

/**
 * Exported KV cache, streamed through the router so that only a part of it is
 * in memory at a time. It must be passed to `importCache` or released.
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
   * Sends a request and reads the whole response. `backend_unreachable` and
   * `deadline_exceeded` guarantee that no byte was sent; every other failure is
   * `outcome_unknown`.
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
  /** Stops the generation of a stream. */
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
  /** Sends an order; `order_rejected` has the engine's reason as its detail. */
  abstract sendOrder(
    address: SocketAddress,
    order: EngineOrder,
  ): Promise<Result<void, ApplicationError>>;
  abstract readCacheEvents(
    address: SocketAddress,
    afterSequence: number,
  ): Promise<Result<CacheEvents, ApplicationError>>;
  /** Exports the KV cache of chats in the given order, up to a byte limit. */
  abstract exportCache(
    address: SocketAddress,
    chats: readonly string[],
    maximumBytes: number,
  ): Promise<Result<CacheExport, ApplicationError>>;
  /** Imports exported KV cache and releases it. */
  abstract importCache(
    address: SocketAddress,
    exported: CacheExport,
  ): Promise<Result<void, ApplicationError>>;
  /** Closes the pooled connections; their open requests fail. */
  abstract stop(): Promise<void>;
}
