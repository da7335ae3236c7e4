/**
 * A backend server for gateway tests. A script can control its responses down
 * to single bytes, and it records every request it receives.
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
  /** Identifies the connection. */
  readonly callerPort: number;
}

/** Responds to a request; may also write to the socket directly. */
export type Script = (
  received: ReceivedRequest,
  response: ServerResponse,
) => void;

/** Returns the headers of a normal response. */
export function responseHeaders(id: string): Record<string, string> {
  return { [NAMES.requestId]: id, [NAMES.signature]: `signed-${id}` };
}

/** Returns a complete response as sent on the wire. */
export function responseBytes(id: string, body: string, extra = ""): string {
  return `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n` +
    `${NAMES.signature}: s\r\nContent-Length: ${body.length}\r\n${extra}\r\n${body}`;
}

function _echo(received: ReceivedRequest, response: ServerResponse): void {
  response.writeHead(200, responseHeaders(received.id));
  response.end(`${received.method} ${received.path} ${received.body}`);
}

/** Rejects a request without executing it. */
export function refuse({ id }: ReceivedRequest, response: ServerResponse) {
  response.writeHead(503, { [NAMES.notRun]: "1", [NAMES.requestId]: id });
  response.end();
}

/** A running backend server. */
export interface RawBackend {
  readonly address: SocketAddress;
  /** All received requests, including rejected ones. */
  readonly received: ReceivedRequest[];
  /** Ids of requests whose connection closed before the response was sent. */
  readonly cancelled: string[];
  /** Sets the script for requests; without one, requests are echoed. */
  script(script: Script | undefined): void;
  /** Returns the server's registration; `options` override its fields. */
  registration(id: string, options?: object): RegisteredServer;
  close(): Promise<void>;
}

/** Starts a backend server on a free loopback port. */
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
    // Reading the body throws if the caller disconnects meanwhile.
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const address = brandId<SocketAddress>(`127.0.0.1:${port}`);
  return {
    address,
    received,
    cancelled,
    script(newScript) {
      script = newScript;
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
