/** Measures requests: the elapsed time and the CPU time of the serving process. */
import {
  type ManagedProcess,
  readProcessorMicroseconds,
} from "../stand_ins/processes.ts";

/** Elapsed time per request, and CPU time of the measured process per request. */
export interface RequestCost {
  readonly elapsedMicroseconds: number;
  readonly processorMicroseconds: number;
}

/** The number of requests, and of workers that send them concurrently. */
export interface RequestLoad {
  readonly requests: number;
  readonly workers: number;
}

/** Sends numbered requests from concurrent workers and measures a process. */
export async function measureRequests(
  process: ManagedProcess,
  { requests, workers }: RequestLoad,
  send: (item: number) => Promise<void>,
): Promise<RequestCost> {
  let sent = 0;
  async function runWorker(): Promise<void> {
    while (sent < requests) await send(sent++);
  }
  const processorBefore = await readProcessorMicroseconds(process);
  const startedAt = performance.now();
  await Promise.all(Array.from({ length: workers }, runWorker));
  const elapsedMicroseconds = 1_000 * (performance.now() - startedAt) /
    requests;
  const processorAfter = await readProcessorMicroseconds(process);
  return {
    elapsedMicroseconds,
    processorMicroseconds: (processorAfter - processorBefore) / requests,
  };
}
