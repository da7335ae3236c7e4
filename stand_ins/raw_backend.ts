/**
 * A backend server for tests of gateways. Its answers are scripted by path, down
 * to single bytes, and it counts what it ran by request id.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { brandId, type SocketAddress } from "../src/core/ids.ts";
import type { RegisteredServer } from "../src/core/server_registry.ts";
import { testServer } from "./registered_servers.ts";
import { DEFAULT_HEADER_NAMES as NAMES } from "../src/gateway_protocol.ts";

/** A request as the server received it. */
export interface ReceivedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  /** Tells connections apart. */
  readonly callerPort: number;
}

/** Answers a request in any way, also by writing to the socket. */
export type Script = (
  received: ReceivedRequest,
  response: ServerResponse,
) => void;

/** Headers of a regular answer. */
export function responseHeaders(id: string): Record<string, string> {
  return { [NAMES.requestId]: id, [NAMES.signature]: `signed-${id}` };
}

/** An answer as bytes on the wire. */
export function responseBytes(id: string, body: string, extra = ""): string {
  return `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n` +
    `${NAMES.signature}: s\r\nContent-Length: ${body.length}\r\n${extra}\r\n${body}`;
}

function _echo(received: ReceivedRequest, response: ServerResponse): void {
  response.writeHead(200, responseHeaders(received.id));
  response.end(`${received.method} ${received.path} ${received.body}`);
}

/** Refuses a request without running it. */
export function refuse(_received: ReceivedRequest, response: ServerResponse) {
  response.writeHead(503, { [NAMES.notRun]: "1" });
  response.end();
}

/** A running server. */
export interface RawBackend {
  readonly address: SocketAddress;
  /** Everything received, refused requests included. */
  readonly received: ReceivedRequest[];
  /** Requests whose connection closed before they were answered. */
  readonly cancelled: string[];
  /** Sets the script of requests; without one they are echoed. */
  script(script: Script | undefined): void;
  /** The server as it registers itself. */
  registration(id: string, options?: object): RegisteredServer;
  close(): Promise<void>;
}

/** Starts a server on a free port. */
export async function startRawBackend(): Promise<RawBackend> {
  const received: ReceivedRequest[] = [];
  const cancelled: string[] = [];
  let script: Script | undefined;

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let body = "";
    for await (const chunk of request) body += String(chunk);
    const entry: ReceivedRequest = {
      id: String(request.headers[NAMES.requestId]),
      method: request.method ?? "",
      path: request.url ?? "",
      headers: request.headers,
      body,
      callerPort: request.socket.remotePort ?? 0,
    };
    received.push(entry);
    response.on("close", () => {
      if (!response.writableFinished) cancelled.push(entry.id);
    });
    (script ?? _echo)(entry, response);
  }

  const server = createServer((request, response) => {
    // A caller that leaves while its body is read ends the handler.
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const address = brandId<SocketAddress>(`127.0.0.1:${port}`);
  return {
    address,
    received,
    cancelled,
    script(next) {
      script = next;
    },
    registration: (id, options = {}) =>
      testServer(id, { address, slots: 8, ...options }),
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
