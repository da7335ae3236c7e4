/** Closes some kept connections of callers after a response while this router is overloaded. */
import { createConnectionShedding } from "./core/connection_shedding.ts";
import type { EntryRouter } from "./core/entry_weights.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Clock } from "./timer_service.ts";

/** Options of the shedder. */
export interface ConnectionShedderOptions {
  readonly clock: Clock;
  readonly metrics: Pick<GatewayMetrics, "shedConnections">;
  /** Routers that accept callers, this one included. */
  readonly routers: () => readonly EntryRouter[];
  readonly openConnections: () => number;
}

/** Decides for each response whether its connection is closed after it. */
export interface ConnectionShedder {
  /** Records this router's utilization; call it every second. */
  observe(utilization: number): void;
  /** Closes a connection if one is due and `tryClose` returns true. */
  closeIfDue(tryClose: () => boolean): void;
}

/** Creates the shedder of a router. */
export function createConnectionShedder(
  { clock, metrics, routers, openConnections }: ConnectionShedderOptions,
): ConnectionShedder {
  const shedding = createConnectionShedding();
  return {
    observe(utilization) {
      shedding.observe(
        utilization,
        routers(),
        clock.monotonicMilliseconds(),
      );
    },
    closeIfDue(tryClose) {
      const now = clock.monotonicMilliseconds();
      if (!shedding.isDue(now)) return;
      const open = openConnections();
      if (!tryClose()) return;
      shedding.recordClosed(open, now);
      metrics.shedConnections.inc();
    },
  };
}
