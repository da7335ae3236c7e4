/** Callers of tests that write to and read from a socket of their own. */
import { connect, type Socket } from "node:net";

/** A caller on a connection of its own. */
export interface SocketCaller {
  readonly socket: Socket;
  readonly closed: Promise<unknown>;
  /** What it has received so far. */
  text: string;
}

/** Opens a connection to an address, as `ip:port`; errors only close it. */
export function openSocketCaller(
  address: string,
  { allowHalfOpen = false } = {},
): SocketCaller {
  const [host, port] = address.split(":") as [string, string];
  const socket = connect({ port: Number(port), host, allowHalfOpen });
  socket.on("error", () => undefined);
  const closed = new Promise((resolve) => socket.once("close", resolve));
  const caller = { socket, closed, text: "" };
  socket.on("data", (bytes) => (caller.text += bytes.toString("latin1")));
  return caller;
}
