/**
 * The connection on which a caller's request arrived. It outlives the request,
 * and the requests that a caller pipelines share it: only the one whose turn it
 * is owns the response stream, so its events do not reach the others.
 */
import type { Socket } from "node:net";

/** Tells the requests of a connection that their caller has left. */
export interface CallerConnection {
  /** Whether the caller has closed its side or the connection failed. */
  hasLeft(): boolean;
  /**
   * Calls the listener once the caller has left; returns a function that
   * removes the listener.
   */
  onLeft(listener: () => void): () => void;
}

const _connections = new WeakMap<Socket, CallerConnection>();

function _createCallerConnection(socket: Socket): CallerConnection {
  const listeners = new Set<() => void>();
  let left = socket.destroyed || socket.readableEnded;

  function leave(): void {
    if (left) return;
    left = true;
    for (const listener of [...listeners]) listener();
    listeners.clear();
  }

  socket.once("end", leave);
  socket.once("close", leave);
  return {
    hasLeft: () => left,
    onLeft(listener) {
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
  };
}

/** Returns the connection of a socket; all requests on it share one. */
export function callerConnectionOf(socket: Socket): CallerConnection {
  let connection = _connections.get(socket);
  if (!connection) {
    connection = _createCallerConnection(socket);
    _connections.set(socket, connection);
  }
  return connection;
}
