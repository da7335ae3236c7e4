/**
 * The requests that one connection has pipelined. Their responses leave in order, and
 * each is held until those before it are read, so only a few are served at once; the
 * others wait. A connection with many waiting requests is not read.
 */
import type { ServerResponse } from "node:http";
import type { ClientLimits } from "./core/client_limits.ts";
import type { MemoryAccount } from "./core/memory_account.ts";

/** Memory of a request beside the first: its buffered response and a read. */
const CONCURRENT_REQUEST_BYTES = 160 * 1024;
/** Memory of the objects of a request that waits. */
const WAITING_REQUEST_BYTES = 4 * 1024;
/** Waiting requests that count as a part of their connection. */
const UNCOUNTED_WAITING_REQUESTS = 8;

/** Options of the queue of one connection. */
export interface RequestQueueOptions {
  readonly limits: Pick<
    ClientLimits,
    "concurrentRequests" | "waitingRequests" | "maximumWaitingRequests"
  >;
  readonly memory: MemoryAccount;
  /** Called if the connection has to be closed. */
  readonly onExcess: () => void;
  /** Stops or starts to read the connection. */
  readonly setReading: (isReading: boolean) => void;
}

/** The requests of one connection. */
export interface RequestQueue {
  /** Starts a request at once or after those before it. */
  add(response: ServerResponse, start: () => void): void;
  /** Forgets waiting requests; their connection has closed. */
  close(): void;
}

interface _Waiting {
  readonly response: ServerResponse;
  readonly start: () => void;
}

/** Creates the queue of a connection. */
export function createRequestQueue(
  { limits, memory, onExcess, setReading }: RequestQueueOptions,
): RequestQueue {
  const waiting: _Waiting[] = [];
  const holding = memory.open("pipelined_request", {
    now: performance.now(),
    giveUp: onExcess,
  });
  let running = 0;
  let isReading = true;
  let isClosed = false;

  /** Takes the memory for these numbers of requests; the first needs none. */
  function tryHold(runningRequests: number, waitingRequests: number): boolean {
    const concurrent = Math.max(0, runningRequests - 1);
    const counted = Math.max(0, waitingRequests - UNCOUNTED_WAITING_REQUESTS);
    const bytes = concurrent * CONCURRENT_REQUEST_BYTES +
      counted * WAITING_REQUEST_BYTES;
    const now = performance.now();
    if (bytes > holding.heldBytes) return holding.tryGrow(bytes, now);
    if (bytes < holding.heldBytes) holding.count(bytes, now);
    return true;
  }

  function canStart(): boolean {
    return running === 0 ||
      (running < limits.concurrentRequests &&
        tryHold(running + 1, waiting.length));
  }

  function run({ response, start }: _Waiting): void {
    running++;
    response.once("close", onEnded);
    start();
  }

  function onEnded(): void {
    running--;
    if (isClosed) return;
    holding.recordProgress(CONCURRENT_REQUEST_BYTES, performance.now());
    while (waiting.length > 0 && !isClosed && canStart()) {
      run(waiting.shift() as _Waiting);
    }
    tryHold(running, waiting.length);
    updateReading();
  }

  function updateReading(): void {
    const shouldRead = waiting.length < limits.waitingRequests;
    if (shouldRead === isReading || isClosed) return;
    isReading = shouldRead;
    setReading(shouldRead);
  }

  return {
    add(response, start) {
      if (isClosed) return;
      if (waiting.length === 0 && canStart()) return run({ response, start });
      waiting.push({ response, start });
      const hasRoom = waiting.length <= limits.maximumWaitingRequests &&
        tryHold(running, waiting.length);
      if (!hasRoom) return onExcess();
      updateReading();
    },
    close() {
      isClosed = true;
      waiting.length = 0;
      holding.release();
    },
  };
}
