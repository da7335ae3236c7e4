/** Callers whose requests are under way while their router's process is suspended. */
import { connect, type Socket } from "node:net";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import type { GatewayHeaderNames } from "../src/gateway_protocol.ts";
import { responseText } from "./soak_backends.ts";
import { type Attempt, createAttempt, HOST_NAME } from "./soak_callers.ts";
import type { SoakRouter } from "./soak_routers.ts";
import { SHORT_ROUTES } from "./soak_routes.ts";

const CALLERS = 12;
const BODY = "b".repeat(100);
/** Time in which a router reads what was sent before it is suspended. */
const DELIVERY_MILLISECONDS = 100;
/** Time after the suspension for which callers keep their connections. */
const PATIENCE_MILLISECONDS = 2_000;

/** What the callers need of a soak run. */
export interface SuspendedCallersContext {
  readonly headerNames: GatewayHeaderNames;
  readonly now: () => number;
  readonly keys: () => readonly string[];
  readonly attempts: Attempt[];
}

interface _Caller {
  readonly socket: Socket;
  readonly attempt: Attempt;
  readonly text: string;
  received: string;
}

function _createText(
  { path, key, requestId, body }: Attempt,
  names: GatewayHeaderNames,
): string {
  return [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST_NAME}`,
    `Authorization: Bearer ${key}`,
    `${names.requestId}: ${requestId}`,
    `Content-Length: ${body.length}`,
    "",
    body,
  ].join("\r\n");
}

/** Sends no byte, half of the head, or all but half of the body, in turn. */
function _sentBytes(index: number, text: string): number {
  const headBytes = text.length - BODY.length;
  const sent = [0, headBytes / 2, text.length - BODY.length / 2];
  return Math.floor(sent[index % sent.length] ?? 0);
}

async function _openCaller(
  router: SoakRouter,
  context: SuspendedCallersContext,
): Promise<_Caller> {
  const { attempts, keys, now, headerNames } = context;
  const route = SHORT_ROUTES.find(({ kind }) => kind === "non_idempotent")!;
  const requestId = `suspended-${attempts.length}`;
  const attempt = createAttempt({
    requestId,
    route,
    path: `/${route.name}/${requestId}`,
    body: BODY,
    key: keys().at(-1) ?? "",
    router: router.settings.host,
    sentAt: now(),
  });
  attempt.hasReachedRouter = true;
  attempts.push(attempt);
  const [host = "", port = ""] = router.settings.callers.split(":");
  // A caller that keeps its end open learns whether its request runs all the same.
  const socket = connect({ host, port: Number(port), allowHalfOpen: true });
  const text = _createText(attempt, headerNames);
  const caller: _Caller = { socket, attempt, text, received: "" };
  socket.on("error", () => undefined);
  socket.on("data", (bytes) => (caller.received += String(bytes)));
  await Promise.race([once(socket, "connect"), once(socket, "close")]).catch(
    () => undefined,
  );
  return caller;
}

function _readResponse(
  { attempt, received }: _Caller,
  { headerNames, now }: SuspendedCallersContext,
): void {
  attempt.endedAt = now();
  const [, status] = /^HTTP\/1\.1 (\d{3}) /.exec(received) ?? [];
  if (status === undefined) return;
  const id = new RegExp(`^${headerNames.requestId}: (\\S+)`, "im");
  attempt.status = Number(status);
  attempt.isSigned = received.toLowerCase().includes(headerNames.signature);
  attempt.responseId = id.exec(received)?.[1];
  const text = responseText(attempt.path, attempt.body);
  attempt.isComplete = received.endsWith(text);
  attempt.text = attempt.isComplete ? text : "";
}

/** Suspends a router for a time with callers in the middle of their requests. */
export async function suspendAmidRequests(
  router: SoakRouter,
  milliseconds: number,
  context: SuspendedCallersContext,
): Promise<void> {
  const callers: _Caller[] = [];
  for (let index = 0; index < CALLERS; index++) {
    const caller = await _openCaller(router, context);
    caller.socket.write(caller.text.slice(0, _sentBytes(index, caller.text)));
    callers.push(caller);
  }
  await sleep(DELIVERY_MILLISECONDS);
  router.signal("SIGSTOP");
  await sleep(milliseconds / 2);
  for (const [index, { socket, text, attempt }] of callers.entries()) {
    socket.write(text.slice(_sentBytes(index, text)));
    attempt.bodySentAt = context.now();
  }
  await sleep(milliseconds / 2);
  router.signal("SIGCONT");
  await sleep(PATIENCE_MILLISECONDS);
  for (const caller of callers) {
    _readResponse(caller, context);
    caller.socket.destroy();
  }
}
