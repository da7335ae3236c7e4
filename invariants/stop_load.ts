/** Load beside a planned stop, which delays the moment at which it is handled. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { STOP_HOST_NAME } from "./stop_requests.ts";

const BUSY_PROCESSES = 4;
const FLOOD_CONNECTIONS = 40;
const FLOOD_REQUESTS_PER_CONNECTION = 60;

/** What keeps the machine, or the stopping process, busy at the signal. */
export type StopLoad = "none" | "busy_processes" | "request_flood";

/** Starts processes that compute; returns a function that ends them. */
export function startBusyProcesses(): () => void {
  const children = Array.from(
    { length: BUSY_PROCESSES },
    () => spawn(process.execPath, ["-e", "for (;;);"], { stdio: "ignore" }),
  );
  return () => children.forEach((child) => child.kill("SIGKILL"));
}

async function _openConnection(address: string): Promise<Socket> {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => undefined);
  socket.resume();
  await once(socket, "connect");
  return socket;
}

/**
 * Gives a router much to compute: pipelined requests to a path without a route.
 * Returns a function that closes their connections.
 */
export async function sendRequestFlood(address: string): Promise<() => void> {
  const sockets = await Promise.all(
    Array.from({ length: FLOOD_CONNECTIONS }, () => _openConnection(address)),
  );
  const request = `GET /none/ HTTP/1.1\r\nHost: ${STOP_HOST_NAME}\r\n\r\n`;
  for (const socket of sockets) {
    socket.write(request.repeat(FLOOD_REQUESTS_PER_CONNECTION));
  }
  return () => sockets.forEach((socket) => socket.destroy());
}
