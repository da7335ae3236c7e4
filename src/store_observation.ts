/** Metrics and log lines about a gateway's calls to the fleet's store. */
import type { DecisionLog } from "./decision_log.ts";
import type { FleetStore } from "./fleet_store.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayStateTask } from "./gateway_state_task.ts";

/** Where calls are recorded, and the state whose age is logged. */
export interface StoreObservationOptions {
  readonly state: GatewayStateTask;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

/** Records a store's calls and its returns from a copy. */
export function observeStore(
  store: FleetStore,
  { state, log, metrics }: StoreObservationOptions,
): void {
  store.onCall = (operation, result) =>
    metrics.storeCalls.inc({ operation, result });
  store.onRestored = (era) =>
    log.write("store.restored", {
      era,
      configurationAge: Math.round(state.ageMilliseconds("configuration")),
      registryAge: Math.round(state.ageMilliseconds("registry")),
    });
}
