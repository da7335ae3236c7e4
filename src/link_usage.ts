/**
 * Bytes that the sockets of this process carry, in both directions. Diagnostics channels
 * of the runtime report every TCP socket that is accepted or opened, so clients, servers,
 * peers and the store are all counted. A socket that was opened before is not.
 */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

const SOCKET_CHANNELS = ["net.server.socket", "net.client.socket"];

/** Counts bytes from `start` on. */
export interface LinkUsage {
  start(): void;
  /** Returns the bytes that moved since the last call. */
  takeBytes(): number;
  stop(): void;
}

function _movedBytes(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten - socket.writableLength;
}

/** Creates the count of this process; nothing is observed before `start`. */
export function createLinkUsage(): LinkUsage {
  /** Open sockets with the bytes that were counted for them. */
  const counted = new Map<Socket, number>();
  let bytes = 0;

  function count(socket: Socket): void {
    const known = counted.get(socket);
    if (known === undefined) return;
    const moved = _movedBytes(socket);
    // What a closed socket had not sent is not in its figures any more.
    bytes += Math.max(0, moved - known);
    counted.set(socket, moved);
  }

  function add(message: unknown): void {
    const { socket } = message as { socket: Socket };
    counted.set(socket, 0);
    socket.once("close", () => {
      count(socket);
      counted.delete(socket);
    });
  }

  return {
    start() {
      for (const channel of SOCKET_CHANNELS) subscribe(channel, add);
    },
    takeBytes() {
      for (const socket of counted.keys()) count(socket);
      const taken = bytes;
      bytes = 0;
      return taken;
    },
    stop() {
      for (const channel of SOCKET_CHANNELS) unsubscribe(channel, add);
      counted.clear();
    },
  };
}
