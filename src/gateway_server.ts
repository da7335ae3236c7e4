/**
 * HTTP server for callers. The parser checks framing strictly; a request that
 * it rejects gets an error response, and its connection is closed.
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { callerConnectionOf } from "./caller_connection.ts";
import type { RequestBounds } from "./core/gateway_configuration.ts";
import { afterPendingInput } from "./pending_input.ts";

/** Header limit of the parser; the configured limit is checked later. */
const MAXIMUM_PARSED_HEADER_BYTES = 64 * 1024;
const TIMEOUT_CHECK_MILLISECONDS = 1_000;
const DEFAULT_HEADER_TIMEOUT_MILLISECONDS = 5_000;
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000;

/** Handles a caller's request. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

function _statusLine(code: string | undefined): string {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return "431 Request Header Fields Too Large";
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

/** Creates the server without listening. */
export function createGatewayServer(
  handler: RequestHandler,
  listener: RefusalListener,
): Server {
  const server = createServer({
    maxHeaderSize: MAXIMUM_PARSED_HEADER_BYTES,
    headersTimeout: DEFAULT_HEADER_TIMEOUT_MILLISECONDS,
    requestTimeout: 0,
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
    connectionsCheckingInterval: TIMEOUT_CHECK_MILLISECONDS,
  }, (request, response) => {
    const connection = callerConnectionOf(request.socket);
    if (connection.accept(response)) handler(request, response);
    else listener.onDropped(_describe(request.socket));
  });
  // Created now, so that it knows its age.
  server.on("connection", callerConnectionOf);
  server.on(
    "clientError",
    (error, socket) => _onClientError(error, socket as Socket, listener),
  );
  server.on("timeout", _closeIdle);
  return server;
}

/** Applies configured timeouts to connections opened from now on. */
export function applyRequestBounds(
  server: Server,
  bounds: RequestBounds,
): void {
  server.headersTimeout = bounds.headerTimeoutMilliseconds;
  server.keepAliveTimeout = bounds.idleTimeoutMilliseconds;
}
