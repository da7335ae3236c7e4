/**
 * How late the event loop of this process runs what is due. A native timer records the
 * time between its calls; what is beyond its period is time in which a turn of the loop,
 * or the lack of processor time, kept every request waiting. The delays are served as a
 * histogram, and a long one leaves a line.
 *
 * A reset of a monitor of `perf_hooks` also forgets the last call, so that the turn in
 * which it happens and the one after it are not recorded. Two monitors therefore tick
 * together and take turns: one is reset while the other goes on recording.
 */
import { monitorEventLoopDelay } from "node:perf_hooks";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Clock } from "./timer_service.ts";

/**
 * Period of the native timer; an idle process wakes up this often. The recorded delay of a
 * turn is shorter than the turn by up to a period, since the timer is due during the turn.
 */
export const DELAY_RESOLUTION_MILLISECONDS = 50;
/** A delay of at least this leaves a line; a turn that is a period longer always does. */
export const MINIMUM_LOGGED_DELAY_MILLISECONDS = 100;
/** Shorter delays are those of timers in a calm process and count as none. */
export const MINIMUM_DELAY_MILLISECONDS = 10;

const NANOSECONDS_PER_MILLISECOND = 1e6;
const MICROSECONDS_PER_MILLISECOND = 1e3;

/** The part of a monitor of `perf_hooks` that is in use; values are in nanoseconds. */
export interface DelayMonitor {
  /** Number of recorded times between two calls. */
  readonly count: number;
  percentile(percentile: number): number;
  enable(): void;
  disable(): void;
  /** Forgets everything, the time of the last call as well. */
  reset(): void;
}

/** Options of the observation of the event loop. */
export interface EventLoopDelayOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Pick<GatewayMetrics, "eventLoopDelaySeconds">;
  /** Creates one of the two monitors; by default one of `perf_hooks`. */
  readonly createMonitor?: () => DelayMonitor;
}

/** Observes the delay of the event loop; it does not keep the process alive. */
export interface EventLoopDelay {
  start(): void;
  /**
   * Serves and logs the delays since the last call; `inFlight` is the number of requests
   * that are being served. Call it several times a second, after the timers of a turn.
   */
  observe(inFlight: number): void;
  stop(): void;
}

/** What a monitor holds: all records, and the delays among them, longest first. */
interface _Records {
  readonly count: number;
  readonly delays: readonly number[];
}

const NO_RECORDS: _Records = { count: 0, delays: [] };

function _createSystemMonitor(): DelayMonitor {
  return monitorEventLoopDelay({ resolution: DELAY_RESOLUTION_MILLISECONDS });
}

function _readRecords(monitor: DelayMonitor): _Records {
  const { count } = monitor;
  const delays: number[] = [];
  for (let rank = count; rank > 0; rank--) {
    const between = monitor.percentile(100 * rank / count) /
      NANOSECONDS_PER_MILLISECOND;
    const delay = between - DELAY_RESOLUTION_MILLISECONDS;
    if (delay < MINIMUM_DELAY_MILLISECONDS) break;
    delays.push(delay);
  }
  return { count, delays };
}

/** Returns the records that the same monitor has made since `earlier`. */
function _subtract(latest: _Records, earlier: _Records): _Records {
  let matched = 0;
  const delays = latest.delays.filter((delay) => {
    const isKnown = delay === earlier.delays[matched];
    if (isKnown) matched++;
    return !isKnown;
  });
  return { count: latest.count - earlier.count, delays };
}

/** Creates the observation of the event loop; `start` begins to record. */
export function createEventLoopDelay(
  options: EventLoopDelayOptions,
): EventLoopDelay {
  const { clock, log, metrics } = options;
  const { createMonitor = _createSystemMonitor } = options;
  let monitor = createMonitor();
  let spare = createMonitor();
  /** What `monitor` held when it was last read. */
  let known = NO_RECORDS;
  let observedAt = 0;
  let processorUsage: NodeJS.CpuUsage | undefined;

  function takeRecords(): _Records {
    const latest = _readRecords(monitor);
    const taken = _subtract(latest, known);
    known = latest;
    // A monitor that has recorded since its reset misses nothing any more.
    if (spare.count > 0) {
      [monitor, spare] = [spare, monitor];
      known = _readRecords(monitor);
      spare.reset();
    }
    return taken;
  }

  function observe(inFlight: number): void {
    const now = clock.monotonicMilliseconds();
    const usage = process.cpuUsage();
    const { user = 0, system = 0 } = processorUsage ?? {};
    const processorMilliseconds = (usage.user + usage.system - user - system) /
      MICROSECONDS_PER_MILLISECOND;
    const { count, delays } = takeRecords();
    for (let index = 0; index < count; index++) {
      const delay = delays[index] ?? 0;
      metrics.eventLoopDelaySeconds.observe(delay / 1_000);
      if (delay < MINIMUM_LOGGED_DELAY_MILLISECONDS) continue;
      log.write("process.stalled", {
        milliseconds: Math.round(delay),
        inFlight,
        processorMilliseconds: Math.round(processorMilliseconds),
        intervalMilliseconds: Math.round(now - observedAt),
      });
    }
    observedAt = now;
    processorUsage = usage;
  }

  return {
    start() {
      observedAt = clock.monotonicMilliseconds();
      processorUsage = process.cpuUsage();
      monitor.enable();
      spare.enable();
    },
    observe,
    stop() {
      monitor.disable();
      spare.disable();
    },
  };
}
