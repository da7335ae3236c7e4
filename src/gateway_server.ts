/**
 * The port that callers connect to. Framing is checked strictly by the HTTP
 * parser; a request that it refuses gets an answer and its connection closes.
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { RequestBounds } from "./core/gateway_configuration.ts";

/** Largest head that the parser reads; the configured limit is checked later. */
const MAXIMUM_PARSED_HEADER_BYTES = 64 * 1024;
const CHECK_MILLISECONDS = 1_000;
const DEFAULT_HEADER_TIMEOUT_MILLISECONDS = 5_000;
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000;

/** Handles one request of a caller. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

function _statusOf(code: string | undefined): string {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return "431 Request Header Fields Too Large";
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return "408 Request Timeout";
    default:
      return "400 Bad Request";
  }
}

/** Reports a request that the parser refused. */
export type RefusalListener = (error: string, caller: string) => void;

function _refuse(
  error: Error,
  socket: Socket,
  onRefused: RefusalListener,
): void {
  const { code } = error as { code?: string };
  if (code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  onRefused(code ?? error.message, socket.remoteAddress ?? "");
  // An answer after another one on the same connection would be misread.
  const hasAnswered = socket.bytesWritten > 0;
  if (hasAnswered) socket.destroy();
  else {
    socket.end(
      `HTTP/1.1 ${
        _statusOf(code)
      }\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}

/** Creates the server; it does not listen yet. */
export function createGatewayServer(
  handler: RequestHandler,
  onRefused: RefusalListener,
): Server {
  const server = createServer({
    maxHeaderSize: MAXIMUM_PARSED_HEADER_BYTES,
    headersTimeout: DEFAULT_HEADER_TIMEOUT_MILLISECONDS,
    requestTimeout: 0,
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
    connectionsCheckingInterval: CHECK_MILLISECONDS,
  }, handler);
  server.on(
    "clientError",
    (error, socket) => _refuse(error, socket as Socket, onRefused),
  );
  return server;
}

/** Applies configured limits to connections that are opened from now on. */
export function applyRequestBounds(
  server: Server,
  bounds: RequestBounds,
): void {
  server.headersTimeout = bounds.headerTimeoutMilliseconds;
  server.keepAliveTimeout = bounds.idleTimeoutMilliseconds;
}
