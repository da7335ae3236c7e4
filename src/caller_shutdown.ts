/** The end of a planned stop for callers: requests are finished, connections closed. */
import type { CallerServer } from "./gateway_server.ts";
import type { PlannedStop } from "./planned_stop.ts";
import type { TimerService } from "./timer_service.ts";

const POLL_MILLISECONDS = 50;
/** How long the last responses may take to leave after the end of the grace. */
const CLOSE_MILLISECONDS = 200;
const CLOSE_POLL_MILLISECONDS = 10;

/** What a shutdown works on. */
export interface CallerShutdownOptions {
  readonly callerServer: CallerServer;
  readonly plannedStop: PlannedStop;
  readonly timers: TimerService;
}

/** What is left of the callers when a shutdown ends. */
export interface UnfinishedCallers {
  /** Connections that are still open and end with the process. */
  readonly openConnections: number;
  /** Bytes of responses that are lost with them. */
  readonly unsentBytes: number;
}

/** Waits while requests are served, or may still come on open connections. */
async function _finishRequests(
  { callerServer, plannedStop, timers }: CallerShutdownOptions,
): Promise<void> {
  await callerServer.stopListening();
  while (callerServer.isBusy() && plannedStop.remainingMilliseconds() > 0) {
    await timers.sleep(POLL_MILLISECONDS, "stop");
    callerServer.closeIdle();
  }
  plannedStop.abandonRest();
}

/** Closes the callers' connections and waits until what was sent has left. */
async function _closeConnections(
  { callerServer, timers }: CallerShutdownOptions,
): Promise<void> {
  const deadline = timers.clock.monotonicMilliseconds() + CLOSE_MILLISECONDS;
  callerServer.closeAll();
  do await timers.sleep(CLOSE_POLL_MILLISECONDS, "stop"); while (
    callerServer.connectionCount > 0 &&
    timers.clock.monotonicMilliseconds() < deadline
  );
}

/** Serves what is due within the grace time, then closes all connections. */
export async function shutDownCallers(
  options: CallerShutdownOptions,
): Promise<UnfinishedCallers> {
  const { callerServer } = options;
  await _finishRequests(options);
  await _closeConnections(options);
  return {
    openConnections: callerServer.connectionCount,
    unsentBytes: callerServer.unsentBytes(),
  };
}
