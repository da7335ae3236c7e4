/**
 * Keeps the connections of one port within their bounds: closes those that do nothing
 * when there are too many, and counts the memory of connections and of responses that
 * their clients do not read.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  type ClosedConnection,
  CONNECTION_BYTES,
  type ConnectionBounds,
  createConnectionLimits,
} from "./core/connection_limits.ts";
import type { MemoryAccount, MemoryHolding } from "./core/memory_account.ts";

/** Ports that clients reach. */
export type ClientPort = "callers" | "entry" | "status";

/** Why a connection was closed by a bound. */
export type CloseCause =
  /** Too many connections are open. */
  | "connections"
  /** Too many connections have not finished a head. */
  | "unfinished_heads"
  /** The memory for clients is full and its response is not read. */
  | "unread_response"
  /** It has pipelined too many requests, or they hold memory that others need. */
  | "pipelined_requests"
  /** A body came in too many very small pieces. */
  | "small_pieces"
  /** It goes on sending a request that was refused. */
  | "discarded_bytes";

/** A connection that a bound closes. */
export interface BoundClosure {
  readonly port: ClientPort;
  readonly cause: CloseCause;
  readonly caller: string;
  /** Requests whose heads were read on the connection. */
  readonly requests: number;
  /** Time since the connection was accepted, in milliseconds. */
  readonly connectionAge: number;
}

/** Called once for each connection that a bound closes. */
export type BoundClosureListener = (closure: BoundClosure) => void;

/** Options of a guard. */
export interface ConnectionGuardOptions {
  readonly port: ClientPort;
  readonly bounds: ConnectionBounds;
  readonly memory: MemoryAccount;
  readonly onClosed: BoundClosureListener;
}

/** Guards the connections of one port. */
export interface ConnectionGuard {
  /** Connections that are open. */
  readonly size: number;
  /** Closes a connection because of a bound. */
  close(socket: Socket, cause: CloseCause): void;
  /** Counts responses that wait, and closes slow readers if memory is short. */
  countUnread(): void;
}

/** What is known of one connection. */
interface _ConnectionState {
  readonly openedAt: number;
  readonly connection: MemoryHolding;
  readonly unread: MemoryHolding;
  requests: number;
  openResponses: number;
  /** The last request, while any response is open. */
  request: IncomingMessage | undefined;
  /** Bytes that had left the process at the last count. */
  sentBytes: number;
}

/** Guards the connections of a server from now on. */
export function guardConnections(
  server: Server,
  { port, bounds, memory, onClosed }: ConnectionGuardOptions,
): ConnectionGuard {
  const limits = createConnectionLimits<Socket>(bounds);
  const states = new Map<Socket, _ConnectionState>();

  function add(socket: Socket): void {
    const now = performance.now();
    const connection = memory.open("connection", {
      now,
      giveUp: () => undefined,
    });
    connection.count(CONNECTION_BYTES, now);
    connection.keep();
    const unread = memory.open("response", {
      now,
      giveUp: () => close(socket, "unread_response"),
    });
    states.set(socket, {
      openedAt: now,
      connection,
      unread,
      requests: 0,
      openResponses: 0,
      request: undefined,
      sentBytes: 0,
    });
    socket.once("close", () => remove(socket));
    closeFor(limits.add(socket, now));
  }

  function closeFor(closed: ClosedConnection<Socket> | undefined): void {
    if (closed) close(closed.connection, closed.bound);
  }

  function recordBusy(socket: Socket): void {
    closeFor(limits.recordBusy(socket));
  }

  function recordStalled(socket: Socket, now: number): void {
    closeFor(limits.recordStalled(socket, now));
  }

  function remove(socket: Socket): void {
    const state = states.get(socket);
    states.delete(socket);
    limits.remove(socket);
    state?.connection.release();
    state?.unread.release();
  }

  function close(socket: Socket, cause: CloseCause): void {
    const state = states.get(socket);
    if (!state) return;
    const { remoteAddress } = socket;
    remove(socket);
    // Frees the output that waits in the kernel for a client that does not read.
    if (state.openResponses > 0) socket.resetAndDestroy();
    else socket.destroy();
    onClosed({
      port,
      cause,
      caller: remoteAddress ?? "",
      requests: state.requests,
      connectionAge: Math.round(performance.now() - state.openedAt),
    });
  }

  function recordRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const { socket } = request;
    const state = states.get(socket);
    if (!state) return;
    state.requests++;
    state.openResponses++;
    state.request = request;
    if (request.complete) recordBusy(socket);
    else recordStalled(socket, performance.now());
    request.once("end", () => recordBusy(socket));
    response.once("close", () => {
      state.openResponses--;
      if (state.openResponses > 0) return;
      state.request = undefined;
      limits.recordIdle(socket);
    });
  }

  function recordUnread(
    socket: Socket,
    isStalled: boolean,
    now: number,
  ): void {
    if (isStalled) recordStalled(socket, now);
    // A request whose body is still to come stays stalled.
    else if (states.get(socket)?.request?.complete) recordBusy(socket);
  }

  function countUnread(): void {
    const now = performance.now();
    for (const [socket, state] of states) {
      const unsentBytes = socket.writableLength;
      const sentBytes = socket.bytesWritten - unsentBytes;
      if (unsentBytes !== state.unread.heldBytes) {
        state.unread.count(unsentBytes, now);
      }
      const progress = sentBytes - state.sentBytes;
      recordUnread(socket, unsentBytes > 0 && progress === 0, now);
      if (progress > 0) state.unread.recordProgress(progress, now);
      state.sentBytes = sentBytes;
    }
    memory.shed(now);
  }

  server.on("connection", add);
  server.on("request", (request, response) => {
    recordRequest(request, response);
  });
  return {
    get size() {
      return states.size;
    },
    close,
    countUnread,
  };
}
