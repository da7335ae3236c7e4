/**
 * One request to one backend server. Determines the result: the request was not
 * sent, it was not run, its outcome is unknown, or its response arrived.
 */
import { type Dispatcher, errors as undiciErrors } from "undici";
import type { Readable } from "node:stream";
import type {
  BackendConnection,
  BackendConnections,
} from "./backend_connections.ts";
import {
  createResponseByteLimit,
  type ResponseByteLimit,
  type ResponsePhase,
} from "./core/response_byte_limit.ts";
import { FIRST_FINAL_STATUS, isFinalStatus } from "./core/response_status.ts";
import type { RegisteredServer } from "./core/server_registry.ts";
import type {
  GatewayProtocol,
  ResponseHeaders,
  ResponseMetadata,
} from "./gateway_protocol.ts";
import type { Clock } from "./timer_service.ts";

/** Status of a server that received a request meant for another server. */
export const MISDIRECTED_REQUEST = 421;
/** Statuses that tell a caller that the request was not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const BAD_GATEWAY = 502;
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
/** With any other last transfer coding, a body ends with its connection. */
const LAST_CODING_IS_CHUNKED = /(^|[,\s])chunked\s*$/i;

/** Bytes of a discarded response that are read so that its connection is kept. */
const MAXIMUM_DISCARDED_BYTES = 64 * 1024;

/** What marks the end of a response's body. */
export type BodyFraming =
  /** The response has no body. */
  | "none"
  | "length"
  | "chunks"
  /** The body ends with its connection. */
  | "connection";

/** Status and headers of the response to the request. */
export interface ResponseHead {
  readonly status: number;
  /** Headers for the caller: names and values in turn, as a flat list. */
  readonly headers: readonly string[];
  readonly framing: BodyFraming;
}

/** Receives the body of a response. */
export interface ResponseSink {
  onData(chunk: Buffer): void;
  /** The response ended; if incomplete, callers must be able to tell. */
  onEnd(isComplete: boolean, detail: string): void;
}

/** Ignores a body. */
export const DISCARDING_SINK: ResponseSink = {
  onData: () => undefined,
  onEnd: () => undefined,
};

/** Why no byte of a request reached a server. */
export type NotSentReason =
  /** The server did not accept a connection. */
  | "unreachable"
  /** A reused connection closed just before the request was written. */
  | "connection_closed"
  /** The request is not valid HTTP. */
  | "malformed";

/** Receives the result of a request: one of its other methods is called, once. */
export interface ExchangeListener {
  /**
   * What the server says about itself, before the result; called at most once.
   * Only a response to the request itself tells what the server does not say.
   */
  onNotices(metadata: ResponseMetadata, isAnswer: boolean): void;
  /** No byte of the request reached the server. */
  onNotSent(reason: NotSentReason, detail: string): void;
  /** The server declares that it did not run the request and never will. */
  onNotRun(status: number): void;
  /** The request was sent and may have run. */
  onOutcomeUnknown(detail: string): void;
  /** The response started; its body goes to the returned sink. */
  onResponse(head: ResponseHead): ResponseSink;
}

/** The request, its server and its listener. */
export interface ExchangeOptions {
  readonly connections: BackendConnections;
  readonly protocol: GatewayProtocol;
  readonly clock: Clock;
  readonly server: RegisteredServer;
  readonly requestId: string;
  readonly method: string;
  /** Path and query exactly as the caller sent them. */
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | Readable | undefined;
  readonly listener: ExchangeListener;
}

/** A request in progress. */
export interface Exchange {
  /** Aborts the exchange at once; the listener is not called again. */
  cancel(): void;
  /** Ignores the rest of the response, which still has to end. */
  discard(): void;
  /** Ends a response whose bytes never form what its format requires. */
  rejectExcess(phase: ResponsePhase, bytes: number): void;
  /** Stops reading the response until `resume`. */
  pause(): void;
  resume(): void;
  /** Whether a byte may have reached the server. */
  wasSent(): boolean;
}

type _ResponseKind = "answer" | "not_run" | "stray" | "unsigned";

function _classifyResponse(
  status: number,
  metadata: ResponseMetadata,
  { requestId, isReused }: { requestId: string; isReused: boolean },
): _ResponseKind {
  const declinesRequest = metadata.notRun || status === MISDIRECTED_REQUEST;
  if (metadata.requestId !== undefined && metadata.requestId !== requestId) {
    return "stray";
  }
  if (declinesRequest && !metadata.isSigned) {
    // On a reused connection, a refusal without an id may be that of an earlier
    // request, sent once more, while this one runs.
    const isProven = metadata.requestId !== undefined || !isReused;
    return isProven ? "not_run" : "stray";
  }
  if (metadata.requestId === undefined) return "stray";
  const isSuccess = status >= 200 && status < 300;
  return isSuccess && !metadata.isSigned ? "unsigned" : "answer";
}

function _toNotSentReason(error: Error): NotSentReason {
  const { code } = error as { code?: string };
  if (code === "UND_ERR_INVALID_ARG" || code === "UND_ERR_NOT_SUPPORTED") {
    return "malformed";
  }
  const isClosed = code === "UND_ERR_DESTROYED" || code === "UND_ERR_CLOSED";
  return isClosed ? "connection_closed" : "unreachable";
}

class _Exchange implements Exchange, Dispatcher.DispatchHandler {
  readonly #options: ExchangeOptions;
  readonly #connection: BackendConnection;
  #controller: Dispatcher.DispatchController | undefined;
  #sink: ResponseSink | undefined;
  #reported = false;
  #cancelled = false;
  #released = false;
  #sent = false;
  #sentAt = 0;
  #limit: ResponseByteLimit | undefined;
  #isDiscarding = false;
  #discardedBytes = 0;

  constructor(options: ExchangeOptions) {
    this.#options = options;
    const { connections, server } = options;
    this.#connection = connections.acquire(server, this.#now());
  }

  start(): void {
    const { method, path, headers, body } = this.#options;
    try {
      this.#connection.dispatch({
        method,
        path,
        headers,
        body: body ?? null,
      }, this);
    } catch (cause) {
      this.#release(false);
      this.#reportOnce(() =>
        this.#options.listener.onNotSent(
          _toNotSentReason(cause as Error),
          (cause as Error).message,
        )
      );
    }
  }

  cancel(): void {
    if (this.#cancelled) return;
    this.#cancelled = true;
    this.#reported = true;
    // After the end nothing is left to abort, and creating the error is costly.
    if (this.#released) return;
    this.#controller?.abort(new undiciErrors.RequestAbortedError());
    this.#release(false);
  }

  discard(): void {
    this.#isDiscarding = true;
  }

  rejectExcess(phase: ResponsePhase, bytes: number): void {
    const { connections, server, requestId, listener } = this.#options;
    connections.recordExcess({ server: server.id, requestId, bytes, phase });
    const detail = `the server sent ${bytes} excess bytes (${phase})`;
    const sink = this.#sink;
    this.#sink = undefined;
    this.#reportOnce(() => listener.onOutcomeUnknown(detail));
    this.cancel();
    sink?.onEnd(false, detail);
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  wasSent(): boolean {
    return this.#sent;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#cancelled) {
      controller.abort(new undiciErrors.RequestAbortedError());
      return;
    }
    this.#sent = true;
    this.#sentAt = this.#now();
    this.#limit = createResponseByteLimit(this.#connection.bytesRead());
    this.#connection.onRead(() => this.#checkBytes());
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    if (this.#cancelled || status < FIRST_FINAL_STATUS) return;
    if (!isFinalStatus(status)) {
      return this.#reject(`the response has the status ${status}`);
    }
    const { protocol, requestId } = this.#options;
    const metadata = protocol.readResponse(status, headers);
    const isReused = this.#connection.idleMilliseconds !== undefined;
    const kind = _classifyResponse(status, metadata, { requestId, isReused });
    // A misdirected request has reached another server than its notices concern.
    if (kind !== "stray" && status !== MISDIRECTED_REQUEST) {
      this.#options.listener.onNotices(metadata, kind === "answer");
    }
    if (kind === "not_run") {
      this.#reportOnce(() => this.#options.listener.onNotRun(status));
    } else if (kind === "answer") {
      this.#startResponse(controller, status, headers);
    } else {
      this.#rejectUnproven(kind, status);
    }
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#cancelled) return;
    this.#limit?.addBody(chunk.length);
    if (this.#sink && !this.#isDiscarding) return this.#sink.onData(chunk);
    this.#discardedBytes += chunk.length;
    if (this.#discardedBytes > MAXIMUM_DISCARDED_BYTES) {
      this.rejectExcess("discarded", this.#discardedBytes);
    }
  }

  onResponseEnd(): void {
    if (this.#cancelled) return;
    // After a connection reset, the response may be incomplete.
    const failed = this.#connection.hasSocketError();
    this.#release(!failed);
    const sink = this.#sink;
    this.#sink = undefined;
    sink?.onEnd(!failed, failed ? "the connection was reset" : "");
  }

  onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    error: Error,
  ): void {
    this.#release(false);
    if (this.#cancelled) return;
    const sink = this.#sink;
    this.#sink = undefined;
    if (sink) return sink.onEnd(false, error.message);
    const { listener } = this.#options;
    if (this.#sent) this.#recordReset();
    this.#reportOnce(() =>
      this.#sent
        ? listener.onOutcomeUnknown(error.message)
        : listener.onNotSent(_toNotSentReason(error), error.message)
    );
  }

  #startResponse(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    const { protocol, listener } = this.#options;
    const rawHeaders = (controller.rawHeaders ?? []) as readonly Buffer[];
    // Callers take these statuses as proof that the request was not run, which
    // the server did not declare (such as a 503 without the not-run header).
    const isUnprovenNotRun = NOT_RUN_STATUSES.has(status);
    const head: ResponseHead = {
      status: isUnprovenNotRun ? BAD_GATEWAY : status,
      headers: isUnprovenNotRun ? [] : protocol.responseHeaders(rawHeaders),
      framing: this.#framingOf(status, headers),
    };
    this.#reportOnce(() => {
      this.#sink = listener.onResponse(head);
    });
  }

  #checkBytes(): void {
    const excess = this.#limit?.excessAfterRead(this.#connection.bytesRead());
    if (excess === undefined || this.#released) return;
    this.rejectExcess(this.#sink ? "body" : "head", excess);
  }

  #framingOf(status: number, headers: ResponseHeaders): BodyFraming {
    if (this.#options.method === "HEAD" || BODILESS_STATUSES.has(status)) {
      return "none";
    }
    const encoding = headers["transfer-encoding"];
    if (encoding !== undefined) {
      return LAST_CODING_IS_CHUNKED.test(String(encoding))
        ? "chunks"
        : "connection";
    }
    return headers["content-length"] === undefined ? "connection" : "length";
  }

  /** Rejects a response that is not proven to be the one to the request. */
  #rejectUnproven(kind: _ResponseKind, status: number): void {
    const { connections, clock, server } = this.#options;
    if (kind === "stray") {
      connections.recordStrayResponse(server.id, clock.monotonicMilliseconds());
    }
    this.#reject(
      kind === "stray"
        ? "received a response to another request"
        : `the response with status ${status} has no signature`,
    );
  }

  #reject(detail: string): void {
    this.#reportOnce(() => this.#options.listener.onOutcomeUnknown(detail));
    this.cancel();
  }

  #reportOnce(report: () => void): void {
    if (this.#reported) return;
    this.#reported = true;
    report();
  }

  #now(): number {
    return this.#options.clock.monotonicMilliseconds();
  }

  /**
   * Records a reset of a reused connection; one soon after sending means that
   * the server had dropped the idle connection.
   */
  #recordReset(): void {
    const { connections, server } = this.#options;
    const { idleMilliseconds } = this.#connection;
    if (idleMilliseconds === undefined) return;
    const now = this.#now();
    const sentMilliseconds = now - this.#sentAt;
    connections.recordReset(
      server,
      { idleMilliseconds, sentMilliseconds },
      now,
    );
  }

  #release(isReusable: boolean): void {
    if (this.#released) return;
    this.#released = true;
    const { connections } = this.#options;
    connections.release(this.#connection, isReusable, this.#now());
  }
}

/** Sends a request to a backend server. */
export function startExchange(options: ExchangeOptions): Exchange {
  const exchange = new _Exchange(options);
  // The listener must not be called before the caller has the exchange.
  queueMicrotask(() => exchange.start());
  return exchange;
}
