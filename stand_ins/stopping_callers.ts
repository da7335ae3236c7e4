/** Callers and event streams for tests of planned stops. */
import type { ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import type { Bench } from "./gateway_test_bench.ts";
import { responseHeaders } from "./raw_backend.ts";

const EVENT_PERIOD_MILLISECONDS = 50;

/** A caller on a connection of its own. */
export interface SocketCaller {
  readonly socket: Socket;
  readonly closed: Promise<unknown>;
  /** What it has received so far. */
  text: string;
}

/** Opens a connection to a gateway of a bench. */
export function openCaller(
  { gateways }: Bench,
  { gateway = 0, allowHalfOpen = false } = {},
): SocketCaller {
  const [host, port] = gateways[gateway]!.callers.split(":");
  const socket = connect({ port: Number(port), host: host!, allowHalfOpen });
  socket.on("error", () => undefined);
  const closed = new Promise((resolve) => socket.once("close", resolve));
  const caller = { socket, closed, text: "" };
  socket.on("data", (bytes) => (caller.text += bytes.toString("latin1")));
  return caller;
}

/** Responds to a request with events for a time in milliseconds. */
export function respondWithEvents(
  response: ServerResponse,
  id: string,
  milliseconds: number,
): void {
  response.writeHead(200, {
    ...responseHeaders(id),
    "content-type": "text/event-stream",
  });
  let number = 0;
  const events = setInterval(() => {
    response.write(`id: ${++number}\ndata: x\n\n`);
    if (number * EVENT_PERIOD_MILLISECONDS < milliseconds) return;
    clearInterval(events);
    response.end();
  }, EVENT_PERIOD_MILLISECONDS);
  response.on("close", () => clearInterval(events));
}
