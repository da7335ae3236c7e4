/**
 * Keep-alive connections to backend servers. A connection carries one request
 * at a time and is closed on any error or unexpected data, because bytes that
 * belong to no request must not reach a caller.
 */
import type { Socket } from "node:net";
import { Client, type Dispatcher, errors } from "undici";
import {
  type BackendConnector,
  createBackendConnector,
} from "./connection_end.ts";
import type { RegisteredServer } from "./core/server_registry.ts";
import type { ServiceId } from "./core/gateway_configuration.ts";
import type { BackendServerId } from "./core/ids.ts";
import type { ResponsePhase } from "./core/response_byte_limit.ts";
import { createIdleLimits, type ResetAfterIdle } from "./core/idle_limits.ts";

export const CONNECT_TIMEOUT_MILLISECONDS = 500;
/** Idle connections are closed after this time, before most servers do so. */
const MAXIMUM_IDLE_MILLISECONDS = 4_000;
/** A connection is closed this long before the server's keep-alive timeout. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 1_000;
const MAXIMUM_IDLE_CONNECTIONS_PER_SERVER = 16;
/** How long connections to a server are single-use after a stray response. */
const SINGLE_USE_MILLISECONDS = 10_000;

/** A connection that is in use by one request. */
export interface BackendConnection {
  readonly server: BackendServerId;
  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void;
  /** Whether the socket failed, as opposed to a regular close. */
  hasSocketError(): boolean;
  /** Time since the previous request; undefined on the first request. */
  readonly idleMilliseconds: number | undefined;
  /** Bytes read since the connection was opened. */
  bytesRead(): number;
  /** Calls the listener when bytes were read, before they are parsed. */
  onRead(listener: () => void): void;
}

/** The pool of connections to all backend servers. */
export interface BackendConnections {
  acquire(server: RegisteredServer, now: number): BackendConnection;
  /** Returns a connection to the pool, or closes it if not reusable. */
  release(
    connection: BackendConnection,
    isReusable: boolean,
    now: number,
  ): void;
  /** Records a reset of a reused connection before any response arrived. */
  recordReset(
    server: RegisteredServer,
    reset: ResetAfterIdle,
    now: number,
  ): void;
  /** Records that a server sent a response that belongs to no request. */
  recordStrayResponse(server: BackendServerId, now: number): void;
  /** Records that a response was ended because of its excess bytes. */
  recordExcess(excess: ExcessBytes): void;
  /** Closes the idle connections of removed servers, and those beyond the share. */
  retain(isKept: (server: BackendServerId) => boolean): void;
  close(): Promise<void>;
  /** Number of connections to a server that carry a request. */
  inUse(server: BackendServerId): number;
  /** Number of connections to a server, in use and idle. */
  count(server: BackendServerId): number;
  /** Number of connections opened since the start. */
  openedCount(): number;
  /** Number of responses since the start that belonged to no request. */
  strayResponseCount(): number;
}

class _Connection implements BackendConnection {
  readonly server: BackendServerId;
  readonly service: ServiceId;
  readonly client: Client;
  idleMilliseconds: number | undefined;
  releasedAt = 0;
  /** Bytes read when the connection became idle. */
  releasedBytes = 0;
  socket: Socket | undefined;
  #readListener: () => void = () => undefined;

  constructor(server: RegisteredServer, connector: BackendConnector) {
    this.server = server.id;
    this.service = server.service;
    this.client = new Client(`http://${server.address}`, {
      pipelining: 1,
      keepAliveTimeout: MAXIMUM_IDLE_MILLISECONDS,
      keepAliveMaxTimeout: MAXIMUM_IDLE_MILLISECONDS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLISECONDS,
      // The caller of dispatch enforces the deadlines.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) =>
        connector(options, (error, socket) => {
          if (error) return callback(error, null);
          // Connecting may have taken long, so what arrived in the same turn,
          // such as the caller's close, comes before the request is written.
          setImmediate(() => {
            if (socket.destroyed) {
              return callback(new Error("the connection closed"), null);
            }
            this.socket = socket;
            // Registered before the parser's own listener.
            socket.on("readable", () => this.#readListener());
            callback(null, socket);
          });
        }),
    });
  }

  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    this.client.dispatch(options, handler);
  }

  hasSocketError(): boolean {
    return Boolean(this.socket?.errored);
  }

  bytesRead(): number {
    return this.socket?.bytesRead ?? 0;
  }

  onRead(listener: () => void): void {
    this.#readListener = listener;
  }

  isOpen(): boolean {
    return !this.client.destroyed && this.socket !== undefined &&
      !this.socket.destroyed;
  }
}

/** Whether a connection closed because of bytes that belong to no request. */
function isStrayResponseError(error: Error): boolean {
  return error.message === "bad response" ||
    error instanceof errors.HTTPParserError;
}

/** The bound on connections, and callbacks for events that are logged. */
export interface BackendConnectionsOptions {
  /** Connections to a server of a service that may be open; unlimited by default. */
  readonly shareOf?: (service: ServiceId) => number;
  /** Called when the idle limit of a service's connections is lowered. */
  readonly onIdleLimit?: (service: string, milliseconds: number) => void;
  /** Called when a connection is closed because of bytes that are no response. */
  readonly onExcess?: (excess: ExcessBytes) => void;
}

/** Bytes of a server that are not part of a response's body. */
export interface ExcessBytes {
  readonly server: BackendServerId;
  /** The request on the connection; undefined while it was idle. */
  readonly requestId?: string;
  readonly bytes: number;
  readonly phase: ResponsePhase;
}

/** Creates an empty pool; connections are opened on demand. */
export function createBackendConnections(
  {
    shareOf = () => Infinity,
    onIdleLimit = () => undefined,
    onExcess = () => undefined,
  }: BackendConnectionsOptions = {},
): BackendConnections {
  const connector = createBackendConnector(CONNECT_TIMEOUT_MILLISECONDS);
  const idleConnections = new Map<BackendServerId, _Connection[]>();
  const usedConnections = new Map<BackendServerId, number>();
  const idleLimits = createIdleLimits();
  const singleUseUntil = new Map<BackendServerId, number>();
  let opened = 0;
  let strayResponses = 0;

  function discard(connection: _Connection): void {
    const list = idleConnections.get(connection.server);
    const index = list?.indexOf(connection) ?? -1;
    if (list && index >= 0) list.splice(index, 1);
    // The handler of a request that is still queued already reported its end.
    connection.client.destroy().catch(() => undefined);
  }

  function inUse(server: BackendServerId): number {
    return usedConnections.get(server) ?? 0;
  }

  function count(server: BackendServerId): number {
    return inUse(server) + (idleConnections.get(server)?.length ?? 0);
  }

  function countUse(server: BackendServerId, change: 1 | -1): void {
    const used = inUse(server) + change;
    if (used > 0) usedConnections.set(server, used);
    else usedConnections.delete(server);
  }

  /** Closes idle connections beyond the share, which falls when routers join. */
  function closeExcess(server: BackendServerId): void {
    const list = idleConnections.get(server);
    for (let oldest = list?.[0]; oldest; oldest = list?.[0]) {
      if (count(server) <= shareOf(oldest.service)) return;
      discard(oldest);
    }
  }

  function take(server: RegisteredServer, now: number): _Connection {
    const list = idleConnections.get(server.id);
    const until = singleUseUntil.get(server.id);
    if (until !== undefined && now < until) {
      for (const connection of [...list ?? []]) discard(connection);
      return open(server);
    }
    for (let candidate = list?.pop(); candidate; candidate = list?.pop()) {
      if (!candidate.isOpen()) continue;
      const idleMilliseconds = now - candidate.releasedAt;
      if (idleMilliseconds > idleLimits.limit(server.service, now)) {
        discard(candidate);
        continue;
      }
      candidate.idleMilliseconds = idleMilliseconds;
      return candidate;
    }
    return open(server);
  }

  function open(server: RegisteredServer): _Connection {
    const connection = new _Connection(server, connector);
    opened++;
    connection.client.on("disconnect", (_url, _targets, error) => {
      const isIdle = idleConnections.get(connection.server)?.includes(
        connection,
      );
      if (isIdle && isStrayResponseError(error)) {
        recordStrayResponse(connection.server, performance.now());
      }
      discard(connection);
    });
    return connection;
  }

  /** Closes an idle connection on which bytes arrived: they belong to no request. */
  function discardIfStray(connection: _Connection): void {
    const excessBytes = connection.bytesRead() - connection.releasedBytes;
    if (excessBytes <= 0) return;
    recordStrayResponse(connection.server, performance.now());
    onExcess({ server: connection.server, bytes: excessBytes, phase: "idle" });
    discard(connection);
  }

  function recordStrayResponse(server: BackendServerId, now: number): void {
    strayResponses++;
    singleUseUntil.set(server, now + SINGLE_USE_MILLISECONDS);
  }

  return {
    acquire(server, now) {
      countUse(server.id, 1);
      return take(server, now);
    },
    release(released, isReusable, now) {
      const connection = released as _Connection;
      countUse(connection.server, -1);
      connection.releasedAt = now;
      const list = idleConnections.get(connection.server) ?? [];
      const canKeep = isReusable && connection.isOpen() &&
        list.length < MAXIMUM_IDLE_CONNECTIONS_PER_SERVER &&
        count(connection.server) < shareOf(connection.service) &&
        !singleUseUntil.has(connection.server);
      if (!canKeep) return discard(connection);
      idleConnections.set(connection.server, list);
      list.push(connection);
      connection.releasedBytes = connection.bytesRead();
      connection.onRead(() => discardIfStray(connection));
    },
    recordReset(server, reset, now) {
      const limit = idleLimits.recordReset(server.service, reset, now);
      if (limit !== undefined) onIdleLimit(server.service, limit);
    },
    recordStrayResponse,
    recordExcess: onExcess,
    retain(isKept) {
      for (const [server, list] of idleConnections) {
        closeExcess(server);
        if (isKept(server)) continue;
        for (const connection of [...list]) discard(connection);
        idleConnections.delete(server);
      }
      const now = performance.now();
      for (const [server, until] of singleUseUntil) {
        if (now >= until) singleUseUntil.delete(server);
      }
    },
    async close() {
      for (const list of idleConnections.values()) {
        for (const connection of [...list]) discard(connection);
      }
    },
    inUse,
    count,
    openedCount: () => opened,
    strayResponseCount: () => strayResponses,
  };
}
