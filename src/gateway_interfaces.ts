/**
 * HTTP interfaces besides the caller port: readiness, entry addresses, metrics
 * and the state dump.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  type BoundClosureListener,
  type ClientPort,
  type ConnectionGuard,
  guardConnections,
} from "./connection_guard.ts";
import type { ClientLimits } from "./core/client_limits.ts";
import {
  chooseEntryAddresses,
  type EntryMoment,
  type EntryRouter,
} from "./core/entry_addresses.ts";
import type {
  FleetRegions,
  PermittedRegions,
} from "./core/permitted_regions.ts";
import { normaliseHostName } from "./core/route_table.ts";
import type { MemoryAccount } from "./core/memory_account.ts";
import { parseRequestTarget } from "./request_target.ts";
import type { EntryFormat, EntryRequest } from "./entry_format.ts";
import type { ListenAddress } from "./listen_address.ts";

const EMPTY_BODY = "";

/** Largest head of a request to these ports. */
const MAXIMUM_HEAD_BYTES = 16 * 1024;
/** Time within which a head has to arrive. */
const HEAD_TIMEOUT_MILLISECONDS = 3_000;
/** Connections are kept idle for this long. */
const IDLE_TIMEOUT_MILLISECONDS = 15_000;
const TIMEOUT_CHECK_MILLISECONDS = 1_000;
/** Requests that a connection may pipeline. */
const MAXIMUM_PIPELINED_REQUESTS = 64;

/** Sources of the data that the interfaces serve. */
export interface GatewayInterfacesOptions {
  readonly isServing: () => boolean;
  readonly routers: () => readonly EntryRouter[];
  /** Allowed regions of a host name's routes; undefined if not all have some. */
  readonly regionsOfHost: (hostName: string) => PermittedRegions;
  readonly regions: () => FleetRegions;
  /** Seed of the choice among routers of uneven capacity. */
  readonly entryMoment?: () => EntryMoment;
  readonly entryFormat: EntryFormat;
  /** How long callers may cache entry addresses, in milliseconds. */
  readonly keepMilliseconds: number;
  readonly metricsText: () => Promise<string>;
  readonly describe: () => unknown;
  readonly limits: ClientLimits;
  readonly memory: MemoryAccount;
  /** Called for each connection that a bound closes. */
  readonly onBoundClosure: BoundClosureListener;
}

/** Called with the code of an error of a socket that listens. */
export type ListenErrorListener = (code: string) => void;

/**
 * Starts to listen and resolves once the server accepts connections. Later errors, such
 * as a lack of file descriptors at an accept, are reported and survived.
 */
export function listen(
  server: Server,
  address: ListenAddress,
  onError: ListenErrorListener,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, () => {
      server.off("error", reject);
      server.on(
        "error",
        (error: NodeJS.ErrnoException) => onError(error.code ?? error.message),
      );
      resolve();
    });
  });
}

function _send(
  response: ServerResponse,
  status: number,
  body: string,
  type = "application/json",
): void {
  response.writeHead(status, {
    "content-type": type,
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

/** Regions whose routers a caller gets first: those of its routes, and its own. */
function _preferredRegions(
  { hostName, region }: EntryRequest,
  { regionsOfHost }: GatewayInterfacesOptions,
): PermittedRegions {
  if (hostName === undefined) return undefined;
  const allowed = regionsOfHost(normaliseHostName(hostName));
  return allowed && region !== undefined ? [...allowed, region] : allowed;
}

function _handleEntryRequest(
  request: IncomingMessage,
  response: ServerResponse,
  options: GatewayInterfacesOptions,
): void {
  const { url = "" } = request;
  if (!parseRequestTarget(url)) return _send(response, 400, EMPTY_BODY);
  const entryRequest = options.entryFormat.readRequest(url);
  if (!entryRequest) return _send(response, 404, EMPTY_BODY);
  const { dataCentre } = entryRequest;
  const addresses = chooseEntryAddresses(options.routers(), dataCentre, {
    permittedRegions: _preferredRegions(entryRequest, options),
    regions: options.regions(),
    moment: options.entryMoment?.(),
  });
  if (addresses.length === 0) return _send(response, 503, EMPTY_BODY);
  const { keepMilliseconds, entryFormat } = options;
  _send(
    response,
    200,
    entryFormat.writeResponse({ addresses, keepMilliseconds }),
  );
}

async function _handleStatusRequest(
  request: IncomingMessage,
  response: ServerResponse,
  options: GatewayInterfacesOptions,
): Promise<void> {
  switch (request.url) {
    case "/ready":
      return _send(response, options.isServing() ? 200 : 503, EMPTY_BODY);
    case "/metrics":
      return _send(
        response,
        200,
        await options.metricsText(),
        "text/plain; version=0.0.4",
      );
    case "/state":
      return _send(response, 200, JSON.stringify(options.describe()));
    default:
      return _send(response, 404, EMPTY_BODY);
  }
}

/** Closes connections that pipeline too many requests. */
function _limitPipelining(server: Server, guard: ConnectionGuard): void {
  const openResponses = new WeakMap<Socket, number>();
  server.on("request", ({ socket }, response) => {
    const open = (openResponses.get(socket) ?? 0) + 1;
    openResponses.set(socket, open);
    if (open > MAXIMUM_PIPELINED_REQUESTS) {
      guard.close(socket, "pipelined_requests");
    }
    response.once("close", () => {
      openResponses.set(socket, (openResponses.get(socket) ?? 1) - 1);
    });
  });
}

/** A server whose connections are kept within their bounds. */
export interface BoundedServer {
  readonly server: Server;
  /** Counts responses that wait, and closes slow readers if memory is short. */
  readonly countUnread: () => void;
}

/** Creates a server whose requests have no body; a body is not read. */
function _createBoundedServer(
  port: Exclude<ClientPort, "callers">,
  handle: (request: IncomingMessage, response: ServerResponse) => void,
  { limits, memory, onBoundClosure }: GatewayInterfacesOptions,
): BoundedServer {
  const server = createServer({
    maxHeaderSize: MAXIMUM_HEAD_BYTES,
    headersTimeout: HEAD_TIMEOUT_MILLISECONDS,
    requestTimeout: HEAD_TIMEOUT_MILLISECONDS,
    keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
    connectionsCheckingInterval: TIMEOUT_CHECK_MILLISECONDS,
  }, (request, response) => {
    if (request.socket.destroyed) return;
    const { headers } = request;
    const hasBody = headers["transfer-encoding"] !== undefined ||
      Number(headers["content-length"] ?? 0) > 0;
    if (hasBody) response.shouldKeepAlive = false;
    handle(request, response);
  });
  const guard = guardConnections(server, {
    port,
    bounds: limits.ports[port],
    memory,
    onClosed: onBoundClosure,
  });
  _limitPipelining(server, guard);
  return { server, countUnread: () => guard.countUnread() };
}

/** Creates the server that returns router addresses to callers. */
export function createEntryServer(
  options: GatewayInterfacesOptions,
): BoundedServer {
  return _createBoundedServer(
    "entry",
    (request, response) => _handleEntryRequest(request, response, options),
    options,
  );
}

/** Creates the server for readiness, metrics and the state dump. */
export function createStatusServer(
  options: GatewayInterfacesOptions,
): BoundedServer {
  return _createBoundedServer("status", (request, response) => {
    _handleStatusRequest(request, response, options).catch((cause: Error) =>
      _send(response, 500, cause.message, "text/plain")
    );
  }, options);
}
