/**
 * Structured log lines about decisions: what touched a request or changed what
 * this process believes. The volume is bounded by a budget of lines a second;
 * what is dropped is counted and reported. Lines are written in the background
 * and dropped while the reader of standard output is stalled.
 */
import pino, { type Logger } from "pino";
import { createTokenBucket, type TokenBucket } from "./core/token_bucket.ts";
import type { Clock } from "./timer_service.ts";

/** Every event, with how long its lines are kept when the budget runs short. */
export const LOG_EVENTS = {
  "process.started": "state",
  "process.stopping": "state",
  "process.stopped": "state",
  "settings.reloaded": "state",
  "settings.rejected": "state",
  "dependency.lost": "state",
  "dependency.returned": "state",
  "configuration.in_force": "state",
  "configuration.rejected": "state",
  "registry.changed": "state",
  "registry.entry_ignored": "state",
  "peer.connected": "state",
  "peer.lost": "state",
  "peer.message_ignored": "state",
  "server.excluded": "state",
  "service.idle_limit": "state",
  "router.removed": "state",
  "lines.dropped": "state",
  "request.malformed": "failure",
  "request.rejected": "failure",
  "request.failed": "failure",
  "request.retried": "failure",
  "request.cancelled": "failure",
  "request.placed": "routine",
  "request.ended": "routine",
} as const satisfies Record<string, LogClass>;

/** Lines of a class share a budget. */
export type LogClass = "state" | "failure" | "routine";
/** One of the closed list of events. */
export type LogEvent = keyof typeof LOG_EVENTS;
/** Fields of a line. */
export type LogFields = Readonly<Record<string, unknown>>;
/** Fields of a line that may be dropped; built only if it is written. */
export type LazyLogFields = () => LogFields;

/** Lines a second for each class; a quarter of it may come at once. */
const LINES_A_SECOND: Readonly<Record<LogClass, number>> = {
  state: 400,
  failure: 200,
  routine: 160,
};
/** Bytes that wait for a stalled reader before lines are dropped. */
const MAXIMUM_WAITING_BYTES = 256 * 1024;
/** Lines are written together once they reach this size, or after a while. */
const WRITE_BYTES = 8 * 1024;

/** Writes decisions. */
export interface DecisionLog {
  write(event: LogEvent, fields: LogFields | LazyLogFields): void;
  /** Reports dropped lines and hands waiting lines to the operating system. */
  flush(): void;
  /** Writes what waits, synchronously; for the end of the process. */
  end(): void;
  /** Lines dropped since the start. */
  dropped(): number;
}

/** Where lines go. */
export interface LogOutput {
  write(line: string): void;
  flush(): void;
  end(): void;
  /** Lines that the output itself dropped. */
  dropped(): number;
}

/** Writes to standard output without waiting for its reader. */
export function createStandardOutput(): LogOutput {
  let dropped = 0;
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: MAXIMUM_WAITING_BYTES,
  });
  destination.on("drop", () => dropped++);
  // A closed reader must not end the process.
  destination.on("error", () => dropped++);
  return {
    write: (line) => void destination.write(line),
    flush: () => destination.flush(),
    end() {
      try {
        destination.flushSync();
      } catch {
        // The reader is gone; there is nobody to tell.
        dropped++;
      }
    },
    dropped: () => dropped,
  };
}

/** What a decision log needs. */
export interface DecisionLogOptions {
  readonly clock: Clock;
  readonly output: LogOutput;
  /** Fields of every line, for example the name of the host. */
  readonly base: LogFields;
}

/** Creates the log of one process. */
export function createDecisionLog(options: DecisionLogOptions): DecisionLog {
  const { clock, output } = options;
  const logger: Logger = pino(
    { base: options.base, timestamp: pino.stdTimeFunctions.epochTime },
    { write: (line) => output.write(line) },
  );
  const buckets = new Map<LogClass, TokenBucket>();
  let dropped = 0;
  let reported = 0;

  function bucketOf(event: LogEvent): TokenBucket {
    const logClass = LOG_EVENTS[event];
    let bucket = buckets.get(logClass);
    if (!bucket) {
      bucket = createTokenBucket(
        LINES_A_SECOND[logClass],
        clock.monotonicMilliseconds(),
      );
      buckets.set(logClass, bucket);
    }
    return bucket;
  }

  function write(event: LogEvent, fields: LogFields | LazyLogFields): void {
    if (!bucketOf(event).tryTake(clock.monotonicMilliseconds())) {
      dropped++;
      return;
    }
    const isProblem = LOG_EVENTS[event] === "failure";
    const built = typeof fields === "function" ? fields() : fields;
    logger[isProblem ? "warn" : "info"](built, event);
  }

  return {
    write,
    flush() {
      const lost = dropped + output.dropped();
      if (lost > reported) {
        write("lines.dropped", { lines: lost - reported });
        reported = lost;
      }
      output.flush();
    },
    end: () => output.end(),
    dropped: () => dropped + output.dropped(),
  };
}
