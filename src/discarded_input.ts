/**
 * Reads the rest of a request that was refused, so that its response arrives: closing a
 * socket with unread input resets it. The bytes are not parsed, since very small chunks
 * cost far more than they weigh, and each connection is read once in a turn of the event
 * loop.
 */
import type { Socket } from "node:net";
import type { ReadListener } from "./memory_reclamation.ts";

/** Options of the discarding. */
export interface DiscardOptions {
  readonly maximumBytes: number;
  /** Called with bytes that were read. */
  readonly onRead: ReadListener;
  /** Called when more than the maximum has arrived. */
  readonly onExcess: () => void;
}

/** Discards what arrives from now on. */
export function discardInput(
  socket: Socket,
  { maximumBytes, onRead, onExcess }: DiscardOptions,
): void {
  let discardedBytes = 0;

  function discard(bytes: Buffer): void {
    discardedBytes += bytes.length;
    onRead(bytes.length);
    if (discardedBytes > maximumBytes) return onExcess();
    socket.pause();
    setImmediate(() => socket.resume());
  }

  // The parser may be in the middle of the last read.
  setImmediate(() => {
    if (socket.destroyed) return;
    socket.removeAllListeners("data");
    socket.on("data", discard);
    socket.resume();
  });
}
