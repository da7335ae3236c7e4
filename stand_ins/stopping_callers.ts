/** Callers and event streams for tests of planned stops. */
import type { ServerResponse } from "node:http";
import { DEFAULT_HEADER_NAMES as NAMES } from "../src/gateway_protocol.ts";
import { type Bench, callerHeaders } from "./gateway_test_bench.ts";
import { responseHeaders } from "./raw_backend.ts";
import { openSocketCaller, type SocketCaller } from "./socket_callers.ts";

const EVENT_PERIOD_MILLISECONDS = 50;

/** Opens a connection to a gateway of a bench. */
export function openCaller(
  { gateways }: Bench,
  { gateway = 0, allowHalfOpen = false } = {},
): SocketCaller {
  return openSocketCaller(gateways[gateway]!.callers, { allowHalfOpen });
}

/** The head of a request that leaves the gateway time until long after its stop. */
export function postHead(path: string, id: string, framing: string): string {
  const headers = { ...callerHeaders(id), [NAMES.deadline]: "15000" };
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  return `POST ${path} HTTP/1.1\r\n${lines.join("")}${framing}\r\n\r\n`;
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
