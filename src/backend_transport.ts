/**
 * HTTP to backend servers. It knows for every failure whether any byte of the
 * request can have been sent, which decides between "not run" and "unknown".
 */
import { err, ok, type Result } from "neverthrow";
import type { Readable } from "node:stream";
import { Agent, buildConnector, Client, type Dispatcher } from "undici";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { SocketAddress } from "./core/ids.ts";
import type { TimerService } from "./timer_service.ts";

/** Time to open a connection to a backend server, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
/** An answer that sends no byte for this long is treated as broken. */
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
   * False: the request is sent once, on a connection of its own, because a
   * kept connection may fail after the body was written.
   */
  readonly idempotent: boolean;
  /** Time of the monotonic clock after which the request is given up. */
  readonly deadline: number;
  readonly signal?: AbortSignal;
}

/** An answer whose body has not been read. */
export interface UnreadResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Readable;
  /** Closes the connection or returns it to the pool. Must be called once. */
  release(): void;
}

/** Aborts at the deadline or with the caller's signal, whichever is first. */
class _Guard {
  readonly controller = new AbortController();
  readonly #timers: TimerService;
  readonly #deadline: number;
  readonly #cancel: () => void;

  constructor(
    timers: TimerService,
    { deadline, signal }: BackendRequest,
  ) {
    this.#timers = timers;
    this.#deadline = deadline;
    const left = deadline - timers.clock.monotonicMilliseconds();
    const abort = () => this.controller.abort();
    const timer = timers.after(Math.max(0, left), "backend deadline", abort);
    signal?.addEventListener("abort", abort, { once: true });
    if (signal?.aborted) abort();
    this.#cancel = () => {
      timer.cancel();
      signal?.removeEventListener("abort", abort);
    };
  }

  /** After a pause of the process the timer may be late; the clock is not. */
  isOver(): boolean {
    return this.controller.signal.aborted ||
      this.#timers.clock.monotonicMilliseconds() >= this.#deadline;
  }

  cancel(): void {
    this.#cancel();
  }
}

function _describe(cause: unknown): string {
  const { code, message } = cause as { code?: string; message?: string };
  return [code, message].filter(Boolean).join(": ") || String(cause);
}

function _notSent(): ApplicationError {
  return createError(
    "deadline_exceeded",
    "the deadline passed or the caller aborted before the request was sent",
  );
}

function _options(request: BackendRequest, signal: AbortSignal) {
  return {
    method: request.method,
    path: request.path,
    headers: request.headers ?? {},
    body: request.body ?? null,
    signal,
    headersTimeout: 0,
    bodyTimeout: IDLE_TIMEOUT_MILLISECONDS,
    reset: !request.idempotent,
  };
}

/** Sends requests; one per router. */
export class BackendTransport {
  readonly #timers: TimerService;
  readonly #connect = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS });
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

  /** Sends a request and returns its answer once the headers have arrived. */
  async open(
    request: BackendRequest,
  ): Promise<Result<UnreadResponse, ApplicationError>> {
    const guard = new _Guard(this.#timers, request);
    if (guard.isOver()) {
      guard.cancel();
      return err(_notSent());
    }
    const opened =
      await (request.idempotent
        ? this.#openPooled(request, guard)
        : this.#openFresh(request, guard));
    if (opened.isErr()) guard.cancel();
    return opened;
  }

  async stop(): Promise<void> {
    await this.#agent.destroy();
  }

  async #openPooled(
    request: BackendRequest,
    guard: _Guard,
  ): Promise<Result<UnreadResponse, ApplicationError>> {
    const origin = `http://${request.address}`;
    try {
      const options = _options(request, guard.controller.signal);
      const answer = await this.#agent.request({ ...options, origin });
      return ok(_createUnreadResponse(answer, () => guard.cancel()));
    } catch (cause) {
      const refused = cause instanceof Error && this.#connectErrors.has(cause);
      const kind = refused ? "backend_unreachable" : "outcome_unknown";
      return err(createError(kind, `${request.address}: ${_describe(cause)}`));
    }
  }

  async #openFresh(
    request: BackendRequest,
    guard: _Guard,
  ): Promise<Result<UnreadResponse, ApplicationError>> {
    let handedOver = false;
    const client = new Client(`http://${request.address}`, {
      connect: (options, callback) =>
        this.#connect(options, (...[error, socket]) => {
          // undici reconnects when a connection closes before it was used;
          // the request must not be written twice.
          const barred = handedOver || guard.isOver();
          if (socket && barred) socket.destroy();
          if (error || barred) {
            callback(error ?? new Error("not sent"), null);
            return;
          }
          handedOver = true;
          callback(null, socket);
        }),
    });
    function release(): void {
      guard.cancel();
      void client.destroy();
    }
    try {
      const options = _options(request, guard.controller.signal);
      return ok(_createUnreadResponse(await client.request(options), release));
    } catch (cause) {
      const sent = handedOver;
      const over = guard.isOver();
      await client.destroy();
      if (!sent && over) return err(_notSent());
      const kind = sent ? "outcome_unknown" : "backend_unreachable";
      return err(createError(kind, `${request.address}: ${_describe(cause)}`));
    }
  }
}

function _createUnreadResponse(
  answer: Dispatcher.ResponseData,
  release: () => void,
): UnreadResponse {
  const { body } = answer;
  // A body that is destroyed before its end reports an abort to nobody.
  body.on("error", () => {});
  return {
    status: answer.statusCode,
    headers: answer.headers,
    body,
    release() {
      body.destroy();
      release();
    },
  };
}
