/** What requests cost: the caller's time, and the time of the process behind. */
import {
  type ManagedProcess,
  readProcessorMicroseconds,
} from "../stand_ins/processes.ts";

/** Microseconds per request: elapsed, and processor time of the measured process. */
export interface RequestCost {
  readonly elapsed: number;
  readonly processor: number;
}

/** How many requests are sent, and how many at once. */
export interface RequestLoad {
  readonly requests: number;
  readonly workers: number;
}

/** Sends numbered requests over a number of workers and measures a process. */
export async function measureRequests(
  process: ManagedProcess,
  { requests, workers }: RequestLoad,
  send: (item: number) => Promise<void>,
): Promise<RequestCost> {
  let sent = 0;
  async function work(): Promise<void> {
    while (sent < requests) await send(sent++);
  }
  const processorBefore = await readProcessorMicroseconds(process);
  const startedAt = performance.now();
  await Promise.all(Array.from({ length: workers }, work));
  const elapsed = 1_000 * (performance.now() - startedAt) / requests;
  const processorAfter = await readProcessorMicroseconds(process);
  return { elapsed, processor: (processorAfter - processorBefore) / requests };
}
