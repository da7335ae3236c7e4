/** What the clients of a process share: bounds, the memory account and its records. */
import { type BodyReserve, createBodyReserve } from "./body_reserve.ts";
import type { BoundClosureListener } from "./connection_guard.ts";
import {
  type ClientLimitOptions,
  type ClientLimits,
  resolveClientLimits,
} from "./core/client_limits.ts";
import {
  createMemoryAccount,
  type MemoryAccount,
} from "./core/memory_account.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import {
  createMemoryReclamation,
  type ReadListener,
} from "./memory_reclamation.ts";

/** Options of the resources. */
export interface ClientResourcesOptions {
  readonly limits: ClientLimitOptions | undefined;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

/** What the clients of a process share. */
export interface ClientResources {
  readonly limits: ClientLimits;
  readonly memory: MemoryAccount;
  readonly bodies: BodyReserve;
  /** Called with bytes that were read from clients. */
  readonly onRead: ReadListener;
  /** Logs and counts a connection that a bound closes. */
  readonly onBoundClosure: BoundClosureListener;
}

/** Creates the resources of a process. */
export function createClientResources(
  { limits: options, log, metrics }: ClientResourcesOptions,
): ClientResources {
  const limits = resolveClientLimits(options);
  const memory = createMemoryAccount(limits.memory);
  return {
    limits,
    memory,
    bodies: createBodyReserve(memory),
    onRead: createMemoryReclamation(Number.isFinite(memory.budgetBytes)),
    onBoundClosure(closure) {
      const { port, cause } = closure;
      metrics.boundClosures.inc({ port, cause });
      log.write("connection.closed", { ...closure });
    },
  };
}
