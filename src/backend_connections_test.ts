import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import test from "ava";
import { startRawBackend } from "../stand_ins/raw_backend.ts";
import { createBackendConnections } from "./backend_connections.ts";
import { startExchange } from "./backend_exchange.ts";
import { createGatewayProtocol } from "./gateway_protocol.ts";
import { createSystemTimerService } from "./timer_service.ts";

/** More ticks than a connected client takes until it writes its request. */
const WRITE_TICKS = 50;

function afterTicks(ticks: number, listener: () => void): void {
  if (ticks === 0) listener();
  else process.nextTick(() => afterTicks(ticks - 1, listener));
}

/** Calls the listener in the turn in which the next socket connects. */
function onNextConnect(listener: () => void): void {
  function onSocket(message: unknown): void {
    unsubscribe("net.client.socket", onSocket);
    const { socket } = message as { socket: Socket };
    socket.once("connect", () => afterTicks(WRITE_TICKS, listener));
  }
  subscribe("net.client.socket", onSocket);
}

test.serial("guards against sending a request that is cancelled in the turn in which its connection is established", async (t) => {
  const backend = await startRawBackend();
  const connections = createBackendConnections();
  let hasConnected = false;
  onNextConnect(() => {
    hasConnected = true;
    exchange.cancel();
  });
  const exchange = startExchange({
    connections,
    protocol: createGatewayProtocol(),
    clock: createSystemTimerService().clock,
    server: backend.registration("s0"),
    requestId: "a",
    method: "GET",
    path: "/x",
    headers: [],
    body: undefined,
    listener: {
      onNotices: () => undefined,
      onNotSent: () => t.fail("not sent"),
      onNotRun: () => t.fail("not run"),
      onOutcomeUnknown: () => t.fail("outcome unknown"),
      onResponse: () => ({ onData: () => {}, onEnd: () => {} }),
    },
  });
  await new Promise((resolve) => setTimeout(resolve, 200));
  t.true(hasConnected);
  t.is(backend.received.length, 0);
  await connections.close();
  await backend.close();
});
