/**
 * Tells a crash of a backend server from a response that was lost otherwise. A
 * server that refuses a connection right after it dropped one is gone, and the
 * requests that it dropped are evidence against their prompt parts.
 */
import type { BackendServerId } from "./core/ids.ts";
import { type PromptCrashes } from "./core/prompt_crashes.ts";
import type { PartKey } from "./core/prompt_directory.ts";
import type { RegisteredServer } from "./core/server_registry.ts";
import type { ServerOutcomes } from "./core/server_outcomes.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { type ProbeServer, probeServer } from "./server_probe.ts";
import type { TimerService } from "./timer_service.ts";

/**
 * Delay of the probe. A process that ends closes its connections in any order, so
 * its port may outlive them by an instant.
 */
const PROBE_DELAY_MILLISECONDS = 50;

/** Options of the crash detection. */
export interface CrashDetectionOptions {
  readonly crashes: PromptCrashes;
  readonly outcomes: ServerOutcomes;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  readonly probe?: ProbeServer;
}

/** Detects crashes of backend servers. */
export interface CrashDetection {
  /** Records that a server dropped the connection of a request it had received. */
  recordDropped(server: RegisteredServer, parts: readonly PartKey[]): void;
}

interface _Dropped {
  readonly parts: readonly PartKey[];
  readonly at: number;
}

/** Creates the crash detection of a router. */
export function createCrashDetection(
  options: CrashDetectionOptions,
): CrashDetection {
  const { crashes, outcomes, timers, log, metrics } = options;
  const probe = options.probe ?? probeServer;
  const droppedByServer = new Map<BackendServerId, _Dropped[]>();

  function now(): number {
    return timers.clock.monotonicMilliseconds();
  }

  async function check(server: RegisteredServer): Promise<void> {
    const result = await probe(server.address);
    const dropped = droppedByServer.get(server.id) ?? [];
    droppedByServer.delete(server.id);
    if (result !== "refused") return;
    outcomes.recordUnreachable(server.id, now());
    metrics.serverCrashes.inc();
    log.write("server.crashed", {
      server: server.id,
      requests: dropped.length,
    });
    for (const { parts, at } of dropped) crashes.recordCrash(server, parts, at);
  }

  return {
    recordDropped(server, parts) {
      if (parts.length === 0) return;
      const dropped = droppedByServer.get(server.id);
      if (dropped) {
        dropped.push({ parts, at: now() });
        return;
      }
      droppedByServer.set(server.id, [{ parts, at: now() }]);
      timers.after(
        PROBE_DELAY_MILLISECONDS,
        "server probe",
        () => void check(server),
      );
    },
  };
}
