/**
 * One request sent to one backend server. Decides what the server's behaviour
 * proves: that nothing was sent, that the request was not run, that the outcome
 * is unknown, or that this is the answer.
 */
import { type Dispatcher, errors as undiciErrors } from "undici";
import type { Readable } from "node:stream";
import type {
  BackendConnection,
  BackendConnections,
} from "./backend_connections.ts";
import type { RegisteredServer } from "./core/server_registry.ts";
import type {
  GatewayProtocol,
  ResponseHeaders,
  ResponseMetadata,
} from "./gateway_protocol.ts";
import type { Clock } from "./timer_service.ts";

/** Status with which a server says that it is not the expected one. */
const MISDIRECTED = 421;
/** Statuses that promise a caller that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const BAD_GATEWAY = 502;
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** The head of an answer that belongs to the request. */
export interface ResponseHead {
  readonly status: number;
  /** Names and values for the caller, as a flat list. */
  readonly headers: readonly string[];
  /** The body has no length: it ends when the server closes the connection. */
  readonly endsWithConnection: boolean;
}

/** Receives the body of an answer. */
export interface ResponseSink {
  onData(chunk: Buffer): void;
  /** The answer is over; an incomplete one must not look complete. */
  onEnd(isComplete: boolean, detail: string): void;
}

/** Why no byte of a request reached a server. */
export type NotSentReason =
  /** The server did not accept a connection. */
  | "unreachable"
  /** A kept connection closed just before the request was written. */
  | "connection_closed"
  /** The request cannot be written as HTTP. */
  | "malformed";

/** Receives what a request came to. Exactly one method is called, once. */
export interface ExchangeListener {
  /** No byte of the request reached the server. */
  onNotSent(reason: NotSentReason, detail: string): void;
  /** The server says that it did not run the request and never will. */
  onNotRun(status: number): void;
  /** The request was sent and may have run. */
  onUnknown(detail: string): void;
  /** The answer begins; its body goes to the returned sink. */
  onResponse(head: ResponseHead): ResponseSink;
}

/** What is sent where. */
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

/** A request on its way. */
export interface Exchange {
  /** Ends the exchange at once; the listener hears nothing more. */
  cancel(): void;
  /** Stops reading the answer until `resume`. */
  pause(): void;
  resume(): void;
  /** Whether a byte may have reached the server. */
  wasSent(): boolean;
}

type _Judgement = "answer" | "not_run" | "stray" | "invalid";

function _judge(
  status: number,
  terms: ResponseMetadata,
  requestId: string,
): _Judgement {
  const isRefusal = terms.notRun || status === MISDIRECTED;
  if (terms.requestId !== undefined && terms.requestId !== requestId) {
    return "stray";
  }
  if (isRefusal && !terms.isSigned) return "not_run";
  if (terms.requestId === undefined) return "stray";
  const isSuccess = status >= 200 && status < 300;
  return isSuccess && !terms.isSigned ? "invalid" : "answer";
}

function _notSentReason(error: Error): NotSentReason {
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
  #settled = false;
  #cancelled = false;
  #released = false;
  #sent = false;
  #sentAt = 0;

  constructor(options: ExchangeOptions) {
    this.#options = options;
    const { connections, server } = options;
    this.#connection = connections.acquire(server, this.#now());
  }

  start(): void {
    const { method, path, headers, body } = this.#options;
    try {
      this.#connection.dispatch({
        method: method,
        path,
        headers,
        body: body ?? null,
      }, this);
    } catch (cause) {
      this.#release(false);
      this.#settle(() =>
        this.#options.listener.onNotSent(
          _notSentReason(cause as Error),
          (cause as Error).message,
        )
      );
    }
  }

  cancel(): void {
    if (this.#cancelled) return;
    this.#cancelled = true;
    this.#settled = true;
    // After the end nothing is left to abort, and creating the error is dear.
    if (this.#released) return;
    this.#controller?.abort(new undiciErrors.RequestAbortedError());
    this.#release(false);
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
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    if (this.#cancelled || status < 200) return;
    const { protocol, requestId } = this.#options;
    const terms = protocol.readResponse(headers);
    const judgement = _judge(status, terms, requestId);
    if (judgement === "not_run") {
      this.#settle(() => this.#options.listener.onNotRun(status));
    } else if (judgement === "answer") {
      this.#begin(controller, status, headers);
    } else {
      this.#refuse(judgement, status);
    }
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#cancelled) this.#sink?.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.#cancelled) return;
    // A connection that was reset does not prove that the answer is complete.
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
    this.#settle(() =>
      this.#sent
        ? listener.onUnknown(error.message)
        : listener.onNotSent(_notSentReason(error), error.message)
    );
  }

  #begin(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    const { protocol, listener } = this.#options;
    const rawHeaders = (controller.rawHeaders ?? []) as readonly Buffer[];
    // A server's own 503 without its word for it is no promise to the caller.
    const isFalsePromise = NOT_RUN_STATUSES.has(status);
    const head: ResponseHead = {
      status: isFalsePromise ? BAD_GATEWAY : status,
      headers: isFalsePromise ? [] : protocol.responseHeaders(rawHeaders),
      endsWithConnection: this.#endsWithConnection(status, headers),
    };
    this.#settle(() => {
      this.#sink = listener.onResponse(head);
    });
  }

  #endsWithConnection(status: number, headers: ResponseHeaders): boolean {
    const hasBody = this.#options.method !== "HEAD" &&
      !BODILESS_STATUSES.has(status);
    return hasBody && headers["content-length"] === undefined &&
      headers["transfer-encoding"] === undefined;
  }

  #refuse(judgement: _Judgement, status: number): void {
    const { connections, clock, server, listener } = this.#options;
    if (judgement === "stray") {
      connections.recordStrayResponse(server.id, clock.monotonicMilliseconds());
    }
    const detail = judgement === "stray"
      ? "an answer to another request came"
      : `status ${status} without a signature`;
    this.#settle(() => listener.onUnknown(detail));
    this.cancel();
  }

  #settle(report: () => void): void {
    if (this.#settled) return;
    this.#settled = true;
    report();
  }

  #now(): number {
    return this.#options.clock.monotonicMilliseconds();
  }

  /** A kept connection that is reset at once was dropped before the send. */
  #recordReset(): void {
    const { connections, server } = this.#options;
    const { idleMilliseconds: restedMilliseconds } = this.#connection;
    if (restedMilliseconds === undefined) return;
    const now = this.#now();
    const sentMilliseconds = now - this.#sentAt;
    connections.recordReset(
      server,
      { idleMilliseconds: restedMilliseconds, sentMilliseconds },
      now,
    );
  }

  #release(isClean: boolean): void {
    if (this.#released) return;
    this.#released = true;
    const { connections } = this.#options;
    connections.release(this.#connection, isClean, this.#now());
  }
}

/** Sends a request to a backend server. */
export function startExchange(options: ExchangeOptions): Exchange {
  const exchange = new _Exchange(options);
  // The listener must not hear of a failure before the caller holds the exchange.
  queueMicrotask(() => exchange.start());
  return exchange;
}
