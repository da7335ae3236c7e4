import test from "ava";
import type { Dispatcher } from "undici";
import type {
  BackendConnection,
  BackendConnections,
} from "./backend_connections.ts";
import { type ExchangeOptions, startExchange } from "./backend_exchange.ts";
import {
  createGatewayProtocol,
  DEFAULT_HEADER_NAMES,
} from "./gateway_protocol.ts";
import { testServer } from "../stand_ins/registered_servers.ts";
import { createManualTimerService } from "./timer_service.ts";

/** Creates connections that record the handlers of dispatched requests. */
function createScriptedConnections() {
  const handlers: Dispatcher.DispatchHandler[] = [];
  const released: boolean[] = [];
  const connection: BackendConnection = {
    server: testServer("server-1").id,
    dispatch: (_options, handler) => void handlers.push(handler),
    hasSocketError: () => false,
    idleMilliseconds: undefined,
  };
  const connections: BackendConnections = {
    acquire: () => connection,
    release: (_connection, isReusable) => void released.push(isReusable),
    recordReset: () => undefined,
    recordStrayResponse: () => undefined,
    retain: () => undefined,
    close: () => Promise.resolve(),
    openedCount: () => 1,
    strayResponseCount: () => 0,
  };
  return { connections, handlers, released };
}

function createController() {
  const aborts: Error[] = [];
  const controller: Dispatcher.DispatchController = {
    aborted: false,
    paused: false,
    reason: null,
    rawHeaders: [],
    rawTrailers: [],
    abort: (reason) => void aborts.push(reason),
    pause: () => undefined,
    resume: () => undefined,
  };
  return { controller, aborts };
}

async function startScripted() {
  const { connections, handlers, released } = createScriptedConnections();
  const { controller, aborts } = createController();
  const ends: boolean[] = [];
  const options: ExchangeOptions = {
    connections,
    protocol: createGatewayProtocol(DEFAULT_HEADER_NAMES),
    clock: createManualTimerService().clock,
    server: testServer("server-1"),
    requestId: "id-1",
    method: "GET",
    path: "/a/x",
    headers: [],
    body: undefined,
    listener: {
      onNotSent: () => undefined,
      onNotRun: () => undefined,
      onOutcomeUnknown: () => undefined,
      onResponse: () => ({
        onData: () => undefined,
        onEnd: (isComplete) => void ends.push(isComplete),
      }),
    },
  };
  const exchange = startExchange(options);
  await Promise.resolve();
  const handler = handlers[0] as Dispatcher.DispatchHandler;
  handler.onRequestStart?.(controller, {});
  handler.onResponseStart?.(controller, 200, {
    [DEFAULT_HEADER_NAMES.requestId]: "id-1",
    [DEFAULT_HEADER_NAMES.signature]: "signed",
  });
  return { exchange, handler, controller, aborts, ends, released };
}

test("guards against aborting a connection after its response ended, when another request may use it", async (t) => {
  const { exchange, handler, controller, aborts, ends, released } =
    await startScripted();
  handler.onResponseEnd?.(controller, {});
  exchange.cancel();
  t.deepEqual(ends, [true]);
  t.deepEqual(released, [true]);
  t.deepEqual(aborts, []);
});

test("guards against a cancelled exchange that continues at the server", async (t) => {
  const { exchange, aborts, ends, released } = await startScripted();
  exchange.cancel();
  exchange.cancel();
  t.is(aborts.length, 1);
  t.deepEqual(released, [false]);
  t.deepEqual(ends, []);
});
