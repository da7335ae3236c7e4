/** A server that responds before it has read the body of a request, and a gateway before it. */
import { once } from "node:events";
import { createServer as createHttpServer } from "node:http";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { ExecutionContext } from "ava";
import {
  type BackendServerId,
  brandId,
  type SocketAddress,
} from "../src/core/ids.ts";
import { DEFAULT_HEADER_NAMES as NAMES } from "../src/gateway_protocol.ts";
import { type Bench, startBench, waitUntil } from "./gateway_test_bench.ts";
import { responseHeaders } from "./raw_backend.ts";
import { testServer } from "./registered_servers.ts";

async function listen(server: Server): Promise<SocketAddress> {
  server.unref();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return brandId<SocketAddress>(`127.0.0.1:${port}`);
}

/** Starts a server that reads no more of a connection than its first bytes. */
export async function startEarlyServer(
  t: ExecutionContext,
  onBytes: (socket: Socket, text: string) => void,
): Promise<SocketAddress> {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => undefined);
    socket.once("data", (bytes) => {
      socket.pause();
      onBytes(socket, String(bytes));
    });
  });
  t.teardown(() => server.close());
  return listen(server);
}

/** Starts a server that responds with this body at once and reads the request's later. */
export async function startLateReader(
  t: ExecutionContext,
  body: string,
  delayMilliseconds: number,
): Promise<SocketAddress> {
  const server = createHttpServer((request, response) => {
    // A body without a listener would be read as soon as the response has ended.
    request.on("data", () => undefined);
    request.pause();
    request.on("error", () => undefined);
    setTimeout(() => request.resume(), delayMilliseconds);
    response.writeHead(200, {
      ...responseHeaders(String(request.headers[NAMES.requestId])),
      "Content-Length": body.length,
    });
    response.end(body);
  });
  t.teardown(() => server.closeAllConnections());
  return listen(server);
}

/** Starts a gateway with this server alone. */
export async function startBenchBefore(address: SocketAddress): Promise<Bench> {
  const bench = await startBench({ backends: 1 });
  const { lines } = bench.gateways[0]!;
  const { length } = lines;
  bench.fleet.setServer(testServer("early", { address, slots: 64 }));
  bench.fleet.removeServer(brandId<BackendServerId>("s0"));
  await waitUntil(
    () => lines.slice(length).join("").includes("registry.changed"),
    "the server is known",
  );
  return bench;
}

/** Starts a gateway whose only server responds early; `framing` ends its head. */
export async function startEarlyBench(
  t: ExecutionContext,
  framing: string,
  respond: (socket: Socket) => void,
): Promise<Bench> {
  const address = await startEarlyServer(t, (socket, text) => {
    const [, id = ""] =
      new RegExp(`${NAMES.requestId}: (\\S+)`, "i").exec(text) ?? [];
    socket.write(
      `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n` +
        `${NAMES.signature}: s\r\n${framing}\r\n\r\n`,
    );
    respond(socket);
  });
  return startBenchBefore(address);
}
