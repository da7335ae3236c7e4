/** Gateways and their callers in one process, for end-to-end request tests. */
import { connect, type Socket } from "node:net";
import { type Dispatcher, Pool } from "undici";
import type { GatewayOptions } from "../src/gateway.ts";
import { DEFAULT_HEADER_NAMES as NAMES } from "../src/gateway_protocol.ts";
import {
  type GatewayInTest,
  startGateways,
  testConfiguration,
  testRoute,
} from "./gateway_fleet.ts";
import { MemoryFleet } from "./memory_fleet_store.ts";
import {
  type RawBackend,
  type ReceivedRequest,
  startRawBackend,
} from "./raw_backend.ts";

/** Gateways, their backend servers and the store that they share. */
export interface Bench {
  readonly fleet: MemoryFleet;
  readonly gateways: readonly GatewayInTest[];
  readonly backends: readonly RawBackend[];
}

/** The routes that every bench configures. */
export const ROUTES = [
  testRoute("safe"),
  testRoute("once", { kind: "non_idempotent", maximumBackendServers: 1 }),
  testRoute("stream", { kind: "event_stream", isResumable: true }),
  testRoute("single", { kind: "event_stream", maximumBackendServers: 1 }),
  testRoute("short", { timeoutMilliseconds: 300, maximumBackendServers: 1 }),
  testRoute("public", { isPublic: true }),
];

let nextId = 0;
const startedBenches: Bench[] = [];
const clients = new Map<string, Pool>();

/** Registers a bench that a test created itself for `stopBenches`. */
export function registerForCleanup(bench: Bench): void {
  startedBenches.push(bench);
}

/** Options of {@link startBench}. */
export interface BenchOptions {
  readonly gateways?: number;
  readonly backends?: number;
  /** Options of the gateways that replace the usual ones. */
  readonly options?: Partial<GatewayOptions>;
}

/** Starts gateways and resolves once they have configuration and servers. */
export async function startBench(
  { gateways = 1, backends = 2, options = {} }: BenchOptions = {},
): Promise<Bench> {
  const fleet = new MemoryFleet();
  fleet.setConfiguration(testConfiguration(1, ROUTES));
  const servers: RawBackend[] = [];
  for (let index = 0; index < backends; index++) {
    const server = await startRawBackend();
    servers.push(server);
    fleet.setServer(server.registration(`s${index}`));
  }
  const bench = {
    fleet,
    gateways: await startGateways(fleet, gateways, undefined, () => options),
    backends: servers,
  };
  registerForCleanup(bench);
  await waitUntil(() => bench.gateways.every(_isReady), "gateways are ready");
  return bench;
}

function _isReady({ lines }: GatewayInTest): boolean {
  const text = lines.join("");
  return text.includes("configuration.in_force") &&
    text.includes("registry.changed");
}

/** Polls a condition until it holds; throws after ten seconds. */
export async function waitUntil(
  condition: () => boolean,
  goal: string,
): Promise<void> {
  const end = Date.now() + 10_000;
  while (!condition()) {
    if (Date.now() > end) throw new Error(`${goal}: timed out after 10 s`);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

/** Closes all clients, gateways and backends; call it after all tests. */
export async function stopBenches(): Promise<void> {
  await Promise.all([...clients.values()].map((client) => client.destroy()));
  await Promise.all(startedBenches.flatMap(({ gateways, backends }) => [
    ...gateways.map(({ gateway }) => gateway.stop()),
    ...backends.map((backend) => backend.close()),
  ]));
}

/** A caller's request; omitted fields have defaults. */
export interface Call {
  readonly path?: string;
  readonly method?: Dispatcher.HttpMethod;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly id?: string;
  readonly gateway?: number;
}

function _clientOf({ callers }: GatewayInTest): Pool {
  let client = clients.get(callers);
  if (!client) {
    client = new Pool(`http://${callers}`);
    clients.set(callers, client);
  }
  return client;
}

/** Returns the headers of a caller with a valid key. */
export function callerHeaders(id: string): Record<string, string> {
  return {
    host: "shop.example",
    authorization: "Bearer temple-key",
    [NAMES.requestId]: id,
    [NAMES.deadline]: "3000",
  };
}

/** Returns a caller's request as sent on the wire. */
export function requestText(
  path: string,
  id: string,
  extra = "",
  method = "GET",
): string {
  const headers = Object.entries(callerHeaders(id))
    .map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${headers.join("")}${extra}\r\n`;
}

/** Sends a request through a gateway and reads the whole response. */
export async function call(bench: Bench, options: Call = {}) {
  const { path = "/safe/x", method = "GET", body, headers, gateway = 0 } =
    options;
  const id = options.id ?? `id-${nextId++}`;
  const client = _clientOf(bench.gateways[gateway]!);
  const response = await client.request({
    path,
    method,
    headers: { ...callerHeaders(id), ...headers },
    ...(body === undefined ? {} : { body }),
  });
  return {
    id,
    status: response.statusCode,
    headers: response.headers,
    text: await response.body.text(),
  };
}

/** Returns all requests that the backend servers received. */
export function received(bench: Bench): ReceivedRequest[] {
  return bench.backends.flatMap((backend) => backend.received);
}

/** Sends raw bytes to a gateway and returns all bytes received in response. */
export function sendRaw(
  bench: Bench,
  text: string,
  onSocket: (socket: Socket) => void = () => {},
): Promise<string> {
  const [host, port] = bench.gateways[0]!.callers.split(":") as [
    string,
    string,
  ];
  return new Promise((resolve) => {
    const socket = connect(Number(port), host, () => socket.write(text));
    let response = "";
    socket.on("data", (chunk) => (response += chunk.toString()));
    socket.on("error", ({ message }) => (response += `[${message}]`));
    socket.on("close", () => resolve(response));
    onSocket(socket);
  });
}
