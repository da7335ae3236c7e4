/**
 * The connection on which a caller's request arrived. It outlives the request,
 * and the requests that a caller pipelines share it: only the one whose turn it
 * is owns the response stream, so its events do not reach the others.
 *
 * An event loop that stood still finds a request and the close that followed it
 * in the same moment, and reads the request first. Work must therefore not start
 * before everything that has arrived was read.
 */
import type { Socket } from "node:net";

/**
 * Turns of the event loop until everything that has arrived was read. The current
 * turn still handles the events of its last poll; the next one polls again.
 */
const TURNS_UNTIL_READ = 2;

/** Tells the requests of a connection that their caller has left. */
export interface CallerConnection {
  /**
   * Calls the listener once the caller has left, soon if it has left already;
   * returns a function that removes the listener.
   */
  onLeft(listener: () => void): () => void;
  /**
   * Calls the listener after everything that has arrived was read, and never if
   * the caller has left by then.
   */
  whenStillThere(listener: () => void): void;
}

const _connections = new WeakMap<Socket, CallerConnection>();

function _afterTurns(turns: number, listener: () => void): void {
  setImmediate(() => {
    if (turns <= 1) listener();
    else _afterTurns(turns - 1, listener);
  });
}

function _createCallerConnection(socket: Socket): CallerConnection {
  const listeners = new Set<() => void>();
  let hasLeft = socket.destroyed || socket.readableEnded;

  function leave(): void {
    if (hasLeft) return;
    hasLeft = true;
    for (const listener of [...listeners]) listener();
    listeners.clear();
  }

  socket.once("end", leave);
  socket.once("close", leave);
  return {
    onLeft(listener) {
      if (hasLeft) {
        const immediate = setImmediate(listener);
        return () => clearImmediate(immediate);
      }
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
    whenStillThere(listener) {
      _afterTurns(TURNS_UNTIL_READ, () => {
        if (!hasLeft) listener();
      });
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
