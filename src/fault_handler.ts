/**
 * The last resort for errors that no code handles. Ending the process at once would cut
 * the requests of all callers for a fault in one. An exception leaves the rest of the
 * process intact, so it goes on; a task whose promise was rejected has ended, and
 * without it the router would serve with an old state, so the process stops as planned.
 */
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Clock } from "./timer_service.ts";

const MAXIMUM_STACK_CHARACTERS = 2_000;
/** More exceptions than this within the period stop the process as well. */
const TOLERATED_EXCEPTIONS = 5;
const EXCEPTION_PERIOD_MILLISECONDS = 60_000;

/** Where an error that nothing handled comes from, as Node.js names it. */
export type FaultOrigin = NodeJS.UncaughtExceptionOrigin;

/** What to do after a fault. */
export type FaultDecision = "go_on" | "stop";

/** Options of {@link createFaultHandler}. */
export interface FaultHandlerOptions {
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
}

/** Records a fault and returns what to do. */
export type FaultHandler = (
  error: unknown,
  origin: FaultOrigin,
) => FaultDecision;

/** Creates the handler of one process. */
export function createFaultHandler(options: FaultHandlerOptions): FaultHandler {
  const { log, metrics, clock } = options;
  let exceptions: number[] = [];

  function decide(origin: FaultOrigin): FaultDecision {
    if (origin === "unhandledRejection") return "stop";
    const now = clock.monotonicMilliseconds();
    exceptions = exceptions.filter((at) =>
      now - at < EXCEPTION_PERIOD_MILLISECONDS
    );
    exceptions.push(now);
    return exceptions.length > TOLERATED_EXCEPTIONS ? "stop" : "go_on";
  }

  return (error, origin) => {
    const decision = decide(origin);
    const text = error instanceof Error ? error.stack : undefined;
    metrics.faults.inc({ origin });
    log.write("process.fault", {
      origin,
      decision,
      stack: (text ?? String(error)).slice(0, MAXIMUM_STACK_CHARACTERS),
    });
    log.flush();
    return decision;
  };
}
