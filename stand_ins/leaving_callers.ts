/**
 * Callers that send one request each while the gateway's event loop stands still, and
 * leave or wait for the response. They run in a thread of their own, so a test can
 * block the loop.
 */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import {
  isMainThread,
  parentPort,
  Worker,
  workerData,
} from "node:worker_threads";
import { requestText } from "./gateway_test_bench.ts";

/** How long the callers wait before they leave. */
const PATIENCE_MILLISECONDS = 300;

/** What the callers do. */
export interface LeavingCallersOptions {
  /** Caller address of the gateway. */
  readonly callers: string;
  readonly path: string;
  readonly count: number;
  /** Whether the callers connect only then, have connected, or have sent a request. */
  readonly connection: "new" | "open" | "used";
  /** How a caller leaves; one that stays keeps its end open. */
  readonly end: "close" | "reset" | "stay";
}

/** Callers that are ready to send. */
export interface LeavingCallers {
  /** Makes each caller send its request and end as it should. */
  send(): void;
  /** Returns what each caller has received since it was told to send. */
  responses(): Promise<readonly string[]>;
  stop(): Promise<void>;
}

/** Prefix of the ids of the requests that are sent while the loop stands still. */
export const LATE_PREFIX = "late-";

async function _open(callers: string): Promise<Socket> {
  const [host, port] = callers.split(":") as [string, string];
  const socket = connect(Number(port), host);
  socket.on("error", () => undefined);
  await once(socket, "connect");
  return socket;
}

async function _openUsed(
  { callers, path }: LeavingCallersOptions,
  index: number,
): Promise<Socket> {
  const socket = await _open(callers);
  socket.write(requestText(path, `first-${index}`));
  await once(socket, "data");
  return socket;
}

async function _prepare(
  options: LeavingCallersOptions,
  index: number,
): Promise<Socket | undefined> {
  if (options.connection === "new") return undefined;
  if (options.connection === "open") return await _open(options.callers);
  return await _openUsed(options, index);
}

function _send(
  socket: Socket,
  { path, end }: LeavingCallersOptions,
  index: number,
): void {
  socket.write(requestText(path, `${LATE_PREFIX}${index}`));
  if (end === "stay") return;
  setTimeout(() => {
    if (end === "reset") socket.resetAndDestroy();
    else socket.destroy();
  }, PATIENCE_MILLISECONDS);
}

async function _runCallers(options: LeavingCallersOptions): Promise<void> {
  const indexes = Array.from({ length: options.count }, (_, index) => index);
  const responses = indexes.map(() => "");
  const prepared = await Promise.all(
    indexes.map((index) => _prepare(options, index)),
  );

  async function send(index: number): Promise<void> {
    const socket = prepared[index] ?? await _open(options.callers);
    socket.on("data", (bytes) => (responses[index] += String(bytes)));
    _send(socket, options, index);
  }

  parentPort?.on("message", (message: "send" | "report") => {
    if (message === "report") parentPort?.postMessage(responses);
    else for (const index of indexes) void send(index);
  });
  parentPort?.postMessage("ready");
}

if (!isMainThread) await _runCallers(workerData as LeavingCallersOptions);

/** Starts callers in a thread; resolves when they are ready to send. */
export async function startLeavingCallers(
  options: LeavingCallersOptions,
): Promise<LeavingCallers> {
  const worker = new Worker(new URL(import.meta.url), { workerData: options });
  await once(worker, "message");
  return {
    send: () => worker.postMessage("send"),
    async responses() {
      worker.postMessage("report");
      const [responses] = await once(worker, "message") as [string[]];
      return responses;
    },
    async stop() {
      await worker.terminate();
    },
  };
}

/** Blocks this thread's event loop. */
export function stall(milliseconds: number): void {
  const never = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(never, 0, 0, milliseconds);
}
