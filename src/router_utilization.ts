/**
 * How much of a router's machine is in use. The scarcest resource decides: the time of the
 * event loop, the link, or the memory for clients. A resource whose size the settings do
 * not state counts as unused.
 */
import type { MemoryAccount } from "./core/memory_account.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { createLinkUsage, type LinkUsage } from "./link_usage.ts";
import type { Clock } from "./timer_service.ts";

const BYTES_PER_MEGABIT = 1_000_000 / 8;
const MILLISECONDS_PER_SECOND = 1_000;

/** Options of the utilization. */
export interface RouterUtilizationOptions {
  readonly clock: Clock;
  readonly memory: Pick<MemoryAccount, "heldBytes" | "budgetBytes">;
  readonly metrics: Pick<GatewayMetrics, "routerUtilization">;
  /** Bandwidth of the machine's link in megabits per second, if it is known. */
  readonly linkMegabitsPerSecond: number | undefined;
  /** Replaces the bytes of this process's sockets. */
  readonly linkUsage?: LinkUsage;
  /** Replaces the fraction of time in which the event loop was busy since the last call. */
  readonly takeProcessorShare?: () => number;
}

/** The utilization of this router. */
export interface RouterUtilization {
  /** The largest fraction in the last interval, limited to 0 to 1 unlike the metric. */
  readonly busyShare: number;
  start(): void;
  /** Ends an interval; call it every second. */
  measure(): void;
  stop(): void;
}

/** Returns a function that measures the event loop since its last call. */
function _createProcessorShare(): () => number {
  let known = performance.eventLoopUtilization();
  return () => {
    const latest = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(latest, known);
    known = latest;
    return utilization;
  };
}

/** Creates the utilization of a router; it is 0 until the first measurement. */
export function createRouterUtilization(
  options: RouterUtilizationOptions,
): RouterUtilization {
  const { clock, memory, metrics, linkMegabitsPerSecond } = options;
  const {
    linkUsage = createLinkUsage(),
    takeProcessorShare = _createProcessorShare(),
  } = options;
  let busyShare = 0;
  let measuredAt = clock.monotonicMilliseconds();

  function linkShare(elapsedMilliseconds: number): number {
    if (linkMegabitsPerSecond === undefined) return 0;
    const possibleBytes = linkMegabitsPerSecond * BYTES_PER_MEGABIT *
      elapsedMilliseconds / MILLISECONDS_PER_SECOND;
    return possibleBytes > 0 ? linkUsage.takeBytes() / possibleBytes : 0;
  }

  return {
    get busyShare() {
      return busyShare;
    },
    start() {
      measuredAt = clock.monotonicMilliseconds();
      if (linkMegabitsPerSecond !== undefined) linkUsage.start();
    },
    measure() {
      const now = clock.monotonicMilliseconds();
      const shares = {
        processor: takeProcessorShare(),
        link: linkShare(now - measuredAt),
        memory: memory.heldBytes / memory.budgetBytes,
      };
      measuredAt = now;
      for (const [cause, share] of Object.entries(shares)) {
        metrics.routerUtilization.set({ cause }, share);
      }
      busyShare = Math.min(1, Math.max(...Object.values(shares)));
    },
    stop() {
      if (linkMegabitsPerSecond !== undefined) linkUsage.stop();
    },
  };
}
