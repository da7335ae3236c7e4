/**
 * HTTP server for callers. The parser checks framing strictly; a request that
 * it rejects gets an error response, and its connection is closed.
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { RequestBounds } from "./core/gateway_configuration.ts";

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

/** Called for each request that the parser rejects. */
export type MalformedListener = (error: string, caller: string) => void;

function _rejectMalformed(
  error: Error,
  socket: Socket,
  onMalformed: MalformedListener,
): void {
  const { code } = error as { code?: string };
  if (code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  onMalformed(code ?? error.message, socket.remoteAddress ?? "");
  // The client could take a second response for the one to another request.
  const hasResponded = socket.bytesWritten > 0;
  if (hasResponded) socket.destroy();
  else {
    socket.end(
      `HTTP/1.1 ${
        _statusLine(code)
      }\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}

/** Creates the server without listening. */
export function createGatewayServer(
  handler: RequestHandler,
  onMalformed: MalformedListener,
): Server {
  const server = createServer({
    maxHeaderSize: MAXIMUM_PARSED_HEADER_BYTES,
    headersTimeout: DEFAULT_HEADER_TIMEOUT_MILLISECONDS,
    requestTimeout: 0,
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
    connectionsCheckingInterval: TIMEOUT_CHECK_MILLISECONDS,
  }, handler);
  server.on(
    "clientError",
    (error, socket) => _rejectMalformed(error, socket as Socket, onMalformed),
  );
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
