/**
 * HTTP transport to backend servers. A failure is `backend_unreachable` or
 * `deadline_exceeded` if no byte of the request was sent, otherwise
 * `outcome_unknown`, as the request may have run.
 */
import { err, ok, type Result } from "neverthrow";
import type { Readable } from "node:stream";
import { Agent, Client, type Dispatcher } from "undici";
import { createBackendConnector } from "./connection_end.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { SocketAddress } from "./core/ids.ts";
import { isFinalStatus } from "./core/response_status.ts";
import type { TimerService } from "./timer_service.ts";

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
/** A response body that sends no byte for this long counts as failed. */
const IDLE_TIMEOUT_MILLISECONDS = 15_000;

/** A request to a backend server. */
export interface BackendRequest {
  readonly address: SocketAddress;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array | Readable;
  /**
   * If false, the request is sent at most once and on a new connection, because
   * a reused connection may fail after the body was written.
   */
  readonly idempotent: boolean;
  /** Time on the monotonic clock, in milliseconds, when the request aborts. */
  readonly deadline: number;
  readonly signal?: AbortSignal;
}

/** A response whose body has not been read. */
export interface UnreadResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Readable;
  /**
   * Destroys the body and closes or pools the connection; must be called
   * exactly once.
   */
  release(): void;
}

/** Aborts at the deadline or on the caller's signal, whichever comes first. */
class _AbortGuard {
  readonly controller = new AbortController();
  readonly #timers: TimerService;
  readonly #deadline: number;
  readonly #dispose: () => void;

  constructor(
    timers: TimerService,
    { deadline, signal }: BackendRequest,
  ) {
    this.#timers = timers;
    this.#deadline = deadline;
    const remaining = deadline - timers.clock.monotonicMilliseconds();
    const abort = () => this.controller.abort();
    const timer = timers.after(
      Math.max(0, remaining),
      "backend deadline",
      abort,
    );
    signal?.addEventListener("abort", abort, { once: true });
    if (signal?.aborted) abort();
    this.#dispose = () => {
      timer.cancel();
      signal?.removeEventListener("abort", abort);
    };
  }

  /**
   * Whether the request was aborted or its deadline passed. Reads the clock, as
   * the timer may be late after a process pause.
   */
  isAborted(): boolean {
    return this.controller.signal.aborted ||
      this.#timers.clock.monotonicMilliseconds() >= this.#deadline;
  }

  dispose(): void {
    this.#dispose();
  }
}

function _describeError(cause: unknown): string {
  const { code, message } = cause as { code?: string; message?: string };
  return [code, message].filter(Boolean).join(": ") || String(cause);
}

function _createNotSentError(): ApplicationError {
  return createError(
    "deadline_exceeded",
    "the deadline passed or the caller aborted before the request was sent",
  );
}

function _toRequestOptions(request: BackendRequest, signal: AbortSignal) {
  return {
    method: request.method,
    path: request.path,
    headers: request.headers ?? {},
    body: request.body ?? null,
    signal,
    headersTimeout: 0,
    bodyTimeout: IDLE_TIMEOUT_MILLISECONDS,
    // Closes the connection after the response.
    reset: !request.idempotent,
  };
}

/** Sends requests to backend servers; one per router. */
export class BackendTransport {
  readonly #timers: TimerService;
  readonly #connect = createBackendConnector(CONNECT_TIMEOUT_MILLISECONDS);
  readonly #connectErrors = new WeakSet<Error>();
  readonly #agent: Agent;

  constructor(timers: TimerService) {
    this.#timers = timers;
    this.#agent = new Agent({
      connect: (options, callback) =>
        this.#connect(options, (...[error, socket]) => {
          if (error) this.#connectErrors.add(error);
          if (error) callback(error, null);
          else callback(null, socket);
        }),
    });
  }

  /** Sends a request and returns its response once the headers have arrived. */
  async open(
    request: BackendRequest,
  ): Promise<Result<UnreadResponse, ApplicationError>> {
    const guard = new _AbortGuard(this.#timers, request);
    if (guard.isAborted()) {
      guard.dispose();
      return err(_createNotSentError());
    }
    const opened =
      await (request.idempotent
        ? this.#openPooled(request, guard)
        : this.#openSingleUse(request, guard));
    if (opened.isErr()) guard.dispose();
    return opened.andThen(_requireFinalStatus);
  }

  async stop(): Promise<void> {
    await this.#agent.destroy();
  }

  async #openPooled(
    request: BackendRequest,
    guard: _AbortGuard,
  ): Promise<Result<UnreadResponse, ApplicationError>> {
    const origin = `http://${request.address}`;
    try {
      const options = _toRequestOptions(request, guard.controller.signal);
      const response = await this.#agent.request({ ...options, origin });
      return ok(_createUnreadResponse(response, () => guard.dispose()));
    } catch (cause) {
      const isConnectError = cause instanceof Error &&
        this.#connectErrors.has(cause);
      const kind = isConnectError ? "backend_unreachable" : "outcome_unknown";
      return err(
        createError(kind, `${request.address}: ${_describeError(cause)}`),
      );
    }
  }

  async #openSingleUse(
    request: BackendRequest,
    guard: _AbortGuard,
  ): Promise<Result<UnreadResponse, ApplicationError>> {
    let isConnected = false;
    const client = new Client(`http://${request.address}`, {
      connect: (options, callback) =>
        this.#connect(options, (...[error, socket]) => {
          // undici reconnects if a connection closes before it is used, but the
          // request must not be written twice.
          const mustNotSend = isConnected || guard.isAborted();
          if (socket && mustNotSend) socket.destroy();
          if (error || mustNotSend) {
            callback(
              error ??
                new Error(
                  "the request was aborted or may already have been sent",
                ),
              null,
            );
            return;
          }
          isConnected = true;
          callback(null, socket);
        }),
    });
    function release(): void {
      guard.dispose();
      void client.destroy();
    }
    try {
      const options = _toRequestOptions(request, guard.controller.signal);
      return ok(_createUnreadResponse(await client.request(options), release));
    } catch (cause) {
      const mayHaveBeenSent = isConnected;
      const isAborted = guard.isAborted();
      await client.destroy();
      if (!mayHaveBeenSent && isAborted) return err(_createNotSentError());
      const kind = mayHaveBeenSent ? "outcome_unknown" : "backend_unreachable";
      return err(
        createError(kind, `${request.address}: ${_describeError(cause)}`),
      );
    }
  }
}

function _requireFinalStatus(
  response: UnreadResponse,
): Result<UnreadResponse, ApplicationError> {
  if (isFinalStatus(response.status)) return ok(response);
  response.release();
  const detail = `the response has the status ${response.status}`;
  return err(createError("outcome_unknown", detail));
}

function _createUnreadResponse(
  response: Dispatcher.ResponseData,
  release: () => void,
): UnreadResponse {
  const { body } = response;
  // Destroying a body before its end emits an error that nothing else handles.
  body.on("error", () => {});
  return {
    status: response.statusCode,
    headers: response.headers,
    body,
    release() {
      body.destroy();
      release();
    },
  };
}
