/**
 * Callers that send one request each and leave while the gateway's event loop
 * stands still. They run in a thread of their own, so a test can block the loop.
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
  /** Whether each caller has used its connection for a request before. */
  readonly isKept: boolean;
  readonly end: "close" | "reset";
}

/** Callers that are ready to send. */
export interface LeavingCallers {
  /** Makes each caller send its request and leave soon after. */
  leave(): void;
  stop(): Promise<void>;
}

/** Prefix of the ids of requests that the callers abandon. */
export const ABANDONED_PREFIX = "abandoned-";

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

function _sendAndLeave(
  socket: Socket,
  { path, end }: LeavingCallersOptions,
  index: number,
): void {
  socket.write(requestText(path, `${ABANDONED_PREFIX}${index}`));
  setTimeout(() => {
    if (end === "reset") socket.resetAndDestroy();
    else socket.destroy();
  }, PATIENCE_MILLISECONDS);
}

async function _runCallers(options: LeavingCallersOptions): Promise<void> {
  const indexes = Array.from({ length: options.count }, (_, index) => index);
  const used = options.isKept
    ? await Promise.all(indexes.map((index) => _openUsed(options, index)))
    : [];
  parentPort?.once("message", () => {
    for (const index of indexes) {
      const socket = used[index];
      if (socket) _sendAndLeave(socket, options, index);
      else {
        void _open(options.callers).then((opened) =>
          _sendAndLeave(opened, options, index)
        );
      }
    }
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
    leave: () => worker.postMessage("leave"),
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
