/**
 * Tells a connection that was reset from one that ended. Node.js reports a reset that
 * arrives with the last bytes as a regular end, and undici takes a reset for the end of a
 * response without a length, so a part of a response would be taken for the whole.
 */
import type { Socket } from "node:net";
import { buildConnector } from "undici";

const NO_BYTES = Buffer.alloc(0);

/** A connection was reset. Its code is none that undici takes for an end. */
export class ConnectionResetError extends Error {
  readonly code = "CONNECTION_RESET";

  constructor() {
    super("the connection was reset");
  }
}

function _isReset(error: Error | undefined): boolean {
  return (error as NodeJS.ErrnoException | undefined)?.code === "ECONNRESET";
}

/**
 * Whether the end of a connection that is reported is a reset. The system no longer
 * knows the peer of such a connection, and a write fails, also one of no bytes, which
 * sends nothing. Both are asked: bytes that wait to be written delay the write.
 */
function _endedByReset(socket: Socket): boolean {
  if (socket.remoteAddress === undefined) return true;
  if (socket.writableLength > 0 || !socket.writable) return false;
  socket.write(NO_BYTES);
  return socket.errored !== null;
}

/**
 * Makes a connected socket report each reset as a `ConnectionResetError`, after all
 * bytes that arrived before it were read.
 */
export function reportResets(socket: Socket): void {
  const emit = socket.emit.bind(socket) as (
    event: string | symbol,
    ...values: unknown[]
  ) => boolean;
  const destroy = socket.destroy.bind(socket);

  socket.destroy = (error) =>
    destroy(_isReset(error) ? new ConnectionResetError() : error);
  socket.emit = (event: string | symbol, ...values: unknown[]) => {
    if (event !== "end" || !_endedByReset(socket)) {
      return emit(event, ...values);
    }
    socket.destroy(new ConnectionResetError());
    return true;
  };
}

/** Opens connections to backend servers that report resets. */
export type BackendConnector = ReturnType<typeof buildConnector>;

/** Creates a connector that gives up an attempt to connect after the timeout. */
export function createBackendConnector(
  timeoutMilliseconds: number,
): BackendConnector {
  const connector = buildConnector({ timeout: timeoutMilliseconds });
  return (options, callback) =>
    connector(options, (...[error, socket]) => {
      if (error) return callback(error, null);
      reportResets(socket);
      callback(null, socket);
    });
}
