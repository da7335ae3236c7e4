/** Tells whether a backend server accepts connections, without a request. */
import { connect } from "node:net";
import { CONNECT_TIMEOUT_MILLISECONDS } from "./backend_connections.ts";
import type { SocketAddress } from "./core/ids.ts";

/** What became of a connection. */
export type ProbeResult =
  | "accepted"
  /** The host responded that nothing listens at the address. */
  | "refused"
  /** Neither, so the network may be at fault. */
  | "unknown";

/** Probes the server at an address. */
export type ProbeServer = (address: SocketAddress) => Promise<ProbeResult>;

/** Opens a connection and closes it. */
export function probeServer(address: SocketAddress): Promise<ProbeResult> {
  const separator = address.lastIndexOf(":");
  return new Promise((resolve) => {
    const socket = connect({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      timeout: CONNECT_TIMEOUT_MILLISECONDS,
    });
    socket.once("connect", () => {
      resolve("accepted");
      socket.destroy();
    });
    socket.once("timeout", () => {
      resolve("unknown");
      socket.destroy();
    });
    socket.once("error", ({ code }: NodeJS.ErrnoException) => {
      resolve(code === "ECONNREFUSED" ? "refused" : "unknown");
    });
  });
}
