/** A client that takes what it can: large bodies on many connections, never ended. */
import { setTimeout as sleep } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { SOAK_HEADER_NAMES } from "../platform/soak_fleet.ts";
import type { ScheduledFault } from "./fault_schedule.ts";
import { type FaultTargets, pick } from "./fault_targets.ts";
import type { GreedyConnections } from "./greedy_worker.ts";
import { HOST_NAME } from "./soak_callers.ts";
import { SHORT_ROUTES } from "./soak_routes.ts";

/** Largest legal body in runs with a greedy client. */
export const LARGEST_BODY_BYTES = 4_194_304;
/** Together their bodies are twice the memory of a router. */
const CONNECTIONS = 100;
const SHORTEST_HOLD_MILLISECONDS = 3_000;

function _createHead(key: string, id: string): string {
  return [
    `POST /${SHORT_ROUTES[0]!.name}/${id} HTTP/1.1`,
    `Host: ${HOST_NAME}`,
    `Authorization: Bearer ${key}`,
    `${SOAK_HEADER_NAMES.requestId}: ${id}`,
    `Content-Length: ${LARGEST_BODY_BYTES}`,
    "",
    "",
  ].join("\r\n");
}

/**
 * Lets a greedy client use a router for a while. Ordinary callers must not suffer, so
 * that it counts as no disturbance.
 */
export async function openGreedyClient(
  { target, forMilliseconds }: ScheduledFault,
  { routers, keys, now, recordGreedy }: FaultTargets,
): Promise<void> {
  const { callers, host } = pick(routers, target).settings;
  const id = `greedy-${Math.round(now())}`;
  const ids = Array.from(
    { length: CONNECTIONS },
    (_, index) => `${id}-${index}`,
  );
  const heads = ids.map((requestId) => {
    recordGreedy({ requestId, router: host, sentAt: now() });
    return _createHead(keys().at(-1) ?? "", requestId);
  });
  // A thread of its own, since the callers and servers share this one.
  const worker = new Worker(new URL("./greedy_worker.js", import.meta.url), {
    workerData: {
      address: callers,
      heads,
      bytes: LARGEST_BODY_BYTES - 1,
    } satisfies GreedyConnections,
  });
  worker.on("error", (cause) => {
    throw cause;
  });
  await sleep(SHORTEST_HOLD_MILLISECONDS + forMilliseconds);
  await worker.terminate();
}
