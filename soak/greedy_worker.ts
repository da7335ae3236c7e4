/** The thread in which a greedy client sends; its connections end with the thread. */
import { connect, type Socket } from "node:net";
import { workerData } from "node:worker_threads";

const PIECE = Buffer.alloc(65_536, "b");

/** Connections that a greedy client opens at once and holds open. */
export interface GreedyConnections {
  readonly address: string;
  /** Head of the only request on each connection. */
  readonly heads: readonly string[];
  /** Bytes of the body that are sent after each head. */
  readonly bytes: number;
}

/** Writes a number of bytes as the socket takes them. */
function _writeBytes(socket: Socket, bytes: number): void {
  let remaining = bytes;
  function writeMore(): void {
    while (remaining > 0 && socket.writable) {
      const piece = PIECE.subarray(0, Math.min(PIECE.length, remaining));
      remaining -= piece.length;
      if (!socket.write(piece)) return;
    }
  }
  socket.on("drain", writeMore);
  writeMore();
}

/** Opens a connection and sends a head and a part of its body. */
function _openConnection(
  { address, bytes }: GreedyConnections,
  head: string,
): void {
  const [host = "", port = ""] = address.split(":");
  const socket = connect({ host, port: Number(port) });
  socket.on("error", () => undefined);
  socket.resume();
  socket.write(head);
  _writeBytes(socket, bytes);
}

const connections = workerData as GreedyConnections;
for (const head of connections.heads) _openConnection(connections, head);
