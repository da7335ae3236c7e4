/**
 * Kept connections to backend servers. Every connection carries one request at
 * a time and is closed as soon as anything on it is out of order, because bytes
 * that belong to no request must not reach a caller.
 */
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher, errors } from "undici";
import type { RegisteredServer } from "./core/server_registry.ts";
import type { BackendServerId } from "./core/ids.ts";
import { createIdleLimits, type ResetAfterIdle } from "./core/idle_limits.ts";

/** Time to open a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MILLISECONDS = 500;
/** Idle connections are closed after this time, before servers usually do. */
const IDLE_MILLISECONDS = 4_000;
/** A connection is closed this long before the server's announced limit. */
const IDLE_MARGIN_MILLISECONDS = 1_000;
const MAXIMUM_IDLE_PER_SERVER = 16;
/** After a stray answer, connections to that server are used once for this long. */
const SINGLE_USE_MILLISECONDS = 10_000;

/** One connection while a request uses it. */
export interface BackendConnection {
  readonly server: BackendServerId;
  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void;
  /** Whether the socket failed, as opposed to having been closed in order. */
  hasSocketError(): boolean;
  /** Time for which it was not used; undefined on its first request. */
  readonly idleMilliseconds: number | undefined;
}

/** The connections to all backend servers. */
export interface BackendConnections {
  acquire(server: RegisteredServer, now: number): BackendConnection;
  /** Gives a connection back; an unclean one is closed. */
  release(connection: BackendConnection, clean: boolean, now: number): void;
  /** Records that a request on a kept connection was reset before any answer. */
  recordReset(
    server: RegisteredServer,
    reset: ResetAfterIdle,
    now: number,
  ): void;
  /** Records that a server sent an answer that belongs to no request. */
  recordStrayResponse(server: BackendServerId, now: number): void;
  /** Closes the idle connections of servers that are gone. */
  retain(isKept: (server: BackendServerId) => boolean): void;
  close(): Promise<void>;
  /** Connections opened since the start. */
  opened(): number;
  /** Answers that belonged to no request, since the start. */
  strayResponses(): number;
}

type _Connector = ReturnType<typeof buildConnector>;

class _Connection implements BackendConnection {
  readonly server: BackendServerId;
  readonly client: Client;
  idleMilliseconds: number | undefined;
  releasedAt = 0;
  socket: Socket | undefined;

  constructor(server: RegisteredServer, connector: _Connector) {
    this.server = server.id;
    this.client = new Client(`http://${server.address}`, {
      pipelining: 1,
      keepAliveTimeout: IDLE_MILLISECONDS,
      keepAliveMaxTimeout: IDLE_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MILLISECONDS,
      // Deadlines are kept by the caller of dispatch.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) =>
        connector(options, (error, socket) => {
          if (error) return callback(error, null);
          this.socket = socket;
          callback(null, socket);
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

  isOpen(): boolean {
    return !this.client.destroyed && this.socket !== undefined &&
      !this.socket.destroyed;
  }
}

/** Whether a connection ended because bytes came that belong to no request. */
function isStrayResponse(error: Error): boolean {
  return error.message === "bad response" ||
    error instanceof errors.HTTPParserError;
}

/** What happened to connections, for the log. */
export interface BackendConnectionsOptions {
  /** Called when connections of a service may rest for a shorter time. */
  readonly onIdleLimit?: (service: string, milliseconds: number) => void;
}

/** Creates the connections; none is opened before it is needed. */
export function createBackendConnections(
  { onIdleLimit = () => undefined }: BackendConnectionsOptions = {},
): BackendConnections {
  const connector = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS });
  const idle = new Map<BackendServerId, _Connection[]>();
  const idleLimits = createIdleLimits();
  const singleUseUntil = new Map<BackendServerId, number>();
  let opened = 0;
  let strayAnswers = 0;

  function discard(connection: _Connection): void {
    const list = idle.get(connection.server);
    const index = list?.indexOf(connection) ?? -1;
    if (list && index >= 0) list.splice(index, 1);
    // A request that is still queued was ended by its own handler.
    connection.client.destroy().catch(() => undefined);
  }

  function open(server: RegisteredServer): _Connection {
    const connection = new _Connection(server, connector);
    opened++;
    connection.client.on("disconnect", (_url, _targets, error) => {
      const isIdle = idle.get(connection.server)?.includes(connection);
      if (isIdle && isStrayResponse(error)) {
        recordStrayAnswer(connection.server, performance.now());
      }
      discard(connection);
    });
    return connection;
  }

  function recordStrayAnswer(server: BackendServerId, now: number): void {
    strayAnswers++;
    singleUseUntil.set(server, now + SINGLE_USE_MILLISECONDS);
  }

  return {
    acquire(server, now) {
      const list = idle.get(server.id);
      const until = singleUseUntil.get(server.id);
      if (until !== undefined && now < until) {
        for (const connection of [...list ?? []]) discard(connection);
        return open(server);
      }
      for (let kept = list?.pop(); kept; kept = list?.pop()) {
        if (!kept.isOpen()) continue;
        const rested = now - kept.releasedAt;
        if (rested > idleLimits.limit(server.service, now)) {
          discard(kept);
          continue;
        }
        kept.idleMilliseconds = rested;
        return kept;
      }
      return open(server);
    },
    release(released, clean, now) {
      const connection = released as _Connection;
      connection.releasedAt = now;
      const list = idle.get(connection.server) ?? [];
      const isUsable = clean && connection.isOpen() &&
        list.length < MAXIMUM_IDLE_PER_SERVER &&
        !singleUseUntil.has(connection.server);
      if (!isUsable) return discard(connection);
      idle.set(connection.server, list);
      list.push(connection);
    },
    recordReset(server, reset, now) {
      const limit = idleLimits.recordReset(server.service, reset, now);
      if (limit !== undefined) onIdleLimit(server.service, limit);
    },
    recordStrayResponse: recordStrayAnswer,
    retain(isKept) {
      for (const [server, list] of idle) {
        if (isKept(server)) continue;
        for (const connection of [...list]) discard(connection);
        idle.delete(server);
      }
      const now = performance.now();
      for (const [server, until] of singleUseUntil) {
        if (now >= until) singleUseUntil.delete(server);
      }
    },
    async close() {
      for (const list of idle.values()) {
        for (const connection of [...list]) discard(connection);
      }
    },
    opened: () => opened,
    strayResponses: () => strayAnswers,
  };
}
