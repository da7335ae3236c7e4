/**
 * HTTP server for callers. The parser checks framing strictly; a request that
 * it rejects gets an error response, and its connection is closed.
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  type CallerConnection,
  callerConnectionOf,
} from "./caller_connection.ts";
import {
  type BoundClosureListener,
  type ConnectionGuard,
  guardConnections,
} from "./connection_guard.ts";
import type { ClientLimits } from "./core/client_limits.ts";
import type { RequestBounds } from "./core/gateway_configuration.ts";
import type { MemoryAccount } from "./core/memory_account.ts";
import { listen, type ListenErrorListener } from "./gateway_interfaces.ts";
import type { ListenAddress } from "./listen_address.ts";
import type { ReadListener } from "./memory_reclamation.ts";
import { afterPendingInput } from "./pending_input.ts";
import { createRequestQueue, type RequestQueue } from "./request_queue.ts";

/** Header limit of the parser; the configured limit is checked later. */
const MAXIMUM_PARSED_HEADER_BYTES = 64 * 1024;
const TIMEOUT_CHECK_MILLISECONDS = 1_000;
const DEFAULT_HEADER_TIMEOUT_MILLISECONDS = 5_000;
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000;

/** Connections that the operating system completes before they are accepted. */
const MAXIMUM_WAITING_CONNECTIONS = 511;

/** Handles a caller's request. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

function _statusLine(code: string | undefined): string {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return "431 Request Header Fields Too Large";
    case "ERR_STOPPING":
      return "503 Service Unavailable";
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return "408 Request Timeout";
    default:
      return "400 Bad Request";
  }
}

/** What is known of a connection whose request is not handled. */
export interface RefusedConnection {
  /** Address of the caller. */
  readonly caller: string;
  /** Requests that were accepted on the connection. */
  readonly requests: number;
  /** Time since the connection was accepted, in milliseconds. */
  readonly connectionAge: number;
}

/** Called for what the server does not hand to the request handler. */
export interface RefusalListener {
  /** Called with the error of a request that cannot be read. */
  onMalformed(refused: RefusedConnection & { readonly error: string }): void;
  /** Called for a request that was read behind the end of its connection. */
  onDropped(refused: RefusedConnection): void;
}

function _describe(socket: Socket): RefusedConnection {
  const connection = callerConnectionOf(socket);
  return {
    caller: socket.remoteAddress ?? "",
    requests: connection.requestCount,
    connectionAge: Math.round(connection.ageMilliseconds()),
  };
}

function _finalResponse(code: string | undefined): string {
  return `HTTP/1.1 ${
    _statusLine(code)
  }\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}

/** The final response to a request that a stopping router has not read in full. */
const NOT_RUN = _finalResponse("ERR_STOPPING");

function _rejectMalformed(
  error: Error,
  socket: Socket,
  listener: RefusalListener,
): void {
  const { code } = error as { code?: string };
  if (code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  listener.onMalformed({ error: code ?? error.message, ..._describe(socket) });
  callerConnectionOf(socket).close(_finalResponse(code));
}

/** Handles an error of the parser, or a head that did not arrive in time. */
function _onClientError(
  error: Error,
  socket: Socket,
  listener: RefusalListener,
): void {
  const { code } = error as { code?: string };
  if (code !== "ERR_HTTP_REQUEST_TIMEOUT") {
    return _rejectMalformed(error, socket, listener);
  }
  // After a pause of the process the rest of the head may be there, unread.
  const connection = callerConnectionOf(socket);
  const { requestCount } = connection;
  afterPendingInput(() => {
    if (connection.requestCount > requestCount || socket.destroyed) return;
    _rejectMalformed(error, socket, listener);
  });
}

/** Closes an idle connection, unless a request has arrived on it unread. */
function _closeIdle(socket: Socket): void {
  const { bytesRead } = socket;
  afterPendingInput(() => {
    if (socket.bytesRead === bytesRead) socket.destroy();
  });
}

/** Bounds of the caller port and where they are counted. */
export interface CallerServerOptions {
  readonly limits: ClientLimits;
  readonly memory: MemoryAccount;
  /** Called with bytes that were read from clients. */
  readonly onRead: ReadListener;
  /** Called for each connection that a bound closes. */
  readonly onBoundClosure: BoundClosureListener;
}

/** The caller port of a gateway. */
export class CallerServer {
  readonly #server: Server;
  readonly #options: CallerServerOptions;
  readonly #guard: ConnectionGuard;
  readonly #connections = new Set<CallerConnection>();
  readonly #queues = new WeakMap<Socket, RequestQueue>();
  #acceptedConnections = 0;

  constructor(
    handler: RequestHandler,
    listener: RefusalListener,
    options: CallerServerOptions,
  ) {
    this.#options = options;
    this.#server = createServer({
      maxHeaderSize: MAXIMUM_PARSED_HEADER_BYTES,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MILLISECONDS,
      requestTimeout: 0,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
      connectionsCheckingInterval: TIMEOUT_CHECK_MILLISECONDS,
    }, (request, response) => {
      const connection = callerConnectionOf(request.socket);
      if (connection.accept(response)) {
        const queue = this.#queues.get(request.socket);
        queue?.add(response, () => handler(request, response));
      } else listener.onDropped(_describe(request.socket));
    });
    this.#server.on("connection", (socket: Socket) => this.#add(socket));
    this.#guard = guardConnections(this.#server, {
      port: "callers",
      bounds: options.limits.ports.callers,
      memory: options.memory,
      onClosed: options.onBoundClosure,
    });
    this.#server.on(
      "clientError",
      (error, socket) => _onClientError(error, socket as Socket, listener),
    );
    this.#server.on("timeout", _closeIdle);
  }

  /** Starts to listen; resolves once callers can connect. */
  listen(
    address: ListenAddress,
    onError: ListenErrorListener,
  ): Promise<void> {
    return listen(this.#server, address, onError);
  }

  /** Applies configured timeouts to connections opened from now on. */
  applyBounds(bounds: RequestBounds): void {
    this.#server.headersTimeout = bounds.headerTimeoutMilliseconds;
    this.#server.keepAliveTimeout = bounds.idleTimeoutMilliseconds;
  }

  /** Whether any connection waits for its first request or for a response. */
  isBusy(): boolean {
    return [...this.#connections].some((connection) => connection.isBusy());
  }

  /**
   * Stops to listen, once connections that have arrived are accepted. The event loop
   * accepts one in a turn, and those that wait when the socket closes are reset.
   */
  async stopListening(): Promise<void> {
    for (let checks = 0; checks < MAXIMUM_WAITING_CONNECTIONS; checks++) {
      const accepted = this.#acceptedConnections;
      await new Promise<void>((resolve) => afterPendingInput(resolve));
      if (this.#acceptedConnections === accepted) break;
    }
    this.#server.close();
  }

  /** Closes idle connections, unless a request has arrived on them unread. */
  closeIdle(): void {
    afterPendingInput(() => this.#server.closeIdleConnections());
  }

  /**
   * Closes all connections. Open responses are sent first; a caller that is in the
   * middle of its first request is told that it has not run.
   */
  closeAll(): void {
    afterPendingInput(() => {
      for (const connection of this.#connections) {
        connection.close(connection.hasUnreadRequest() ? NOT_RUN : undefined);
      }
    });
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Counts responses that wait, and closes slow readers if memory is short. */
  countUnread(): void {
    this.#guard.countUnread();
  }

  /** Bytes of responses that have not left the process. */
  unsentBytes(): number {
    let bytes = 0;
    for (const connection of this.#connections) {
      bytes += connection.unsentBytes();
    }
    return bytes;
  }

  #add(socket: Socket): void {
    const connection = callerConnectionOf(socket);
    this.#connections.add(connection);
    this.#acceptedConnections++;
    const { limits, memory, onRead } = this.#options;
    connection.setBounds({
      onRead,
      discardedBytes: limits.discardedBytes,
      onClose: (cause) => this.#guard.close(socket, cause),
    });
    const queue = createRequestQueue({
      limits,
      memory,
      onExcess: () => connection.closeAtOnce("pipelined_requests"),
      setReading: (isReading) => {
        if (isReading) socket.resume();
        else socket.pause();
      },
    });
    this.#queues.set(socket, queue);
    socket.once("close", () => {
      this.#connections.delete(connection);
      queue.close();
    });
  }
}

/** Creates the caller port without listening. */
export function createCallerServer(
  handler: RequestHandler,
  { listener, ...options }: CallerServerOptions & {
    readonly listener: RefusalListener;
  },
): CallerServer {
  return new CallerServer(handler, listener, options);
}
