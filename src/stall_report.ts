/** Reports stalls of the process, with the processor time that it used meanwhile. */
import process from "node:process";
import type { StallDetector } from "./core/stall_detector.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

/** Options of {@link createStallReport}. */
export interface StallReportOptions {
  readonly stalls: StallDetector;
  readonly log: Pick<DecisionLog, "write">;
  readonly metrics: Pick<GatewayMetrics, "stallSeconds">;
  /** Processor time that the process has used so far, of all its threads. */
  readonly processorMilliseconds?: () => number;
}

/** Records a periodic call, and reports the stall before it, if there was one. */
export type StallReport = (now: number, inFlight: number) => void;

function _readProcessorMilliseconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

/**
 * Creates a report for periodic calls. A process that used far less processor time than
 * it stood still got none or was paused; one that used as much was computing.
 */
export function createStallReport({
  stalls,
  log,
  metrics,
  processorMilliseconds = _readProcessorMilliseconds,
}: StallReportOptions): StallReport {
  let usedBefore = processorMilliseconds();
  return (now, inFlight) => {
    const used = processorMilliseconds();
    const stall = stalls.observe(now);
    if (stall !== undefined) {
      metrics.stallSeconds.inc(stall / 1_000);
      log.write("process.stalled", {
        milliseconds: Math.round(stall),
        processorMilliseconds: Math.round(used - usedBefore),
        inFlight,
      });
    }
    usedBefore = used;
  };
}
