/**
 * Structured log of events that affect a request or change the state of this
 * process. Each class of events has a rate limit in lines per second; dropped
 * lines are counted and reported. Lines are written asynchronously and dropped
 * while the reader of standard output is stalled.
 */
import pino, { type Logger } from "pino";
import { createTokenBucket, type TokenBucket } from "./core/token_bucket.ts";
import type { Clock } from "./timer_service.ts";

/** All events, each with the class whose rate limit applies to it. */
export const LOG_EVENTS = {
  "process.started": "state",
  "process.stalled": "state",
  "process.fault": "state",
  "listener.failed": "state",
  "process.stopping": "state",
  "process.stopped": "state",
  "settings.reloaded": "state",
  "settings.rejected": "state",
  "dependency.lost": "state",
  "dependency.silent": "state",
  "dependency.returned": "state",
  "store.restored": "state",
  "configuration.in_force": "state",
  "configuration.rejected": "state",
  "registry.changed": "state",
  "registry.entry_ignored": "state",
  "peer.connected": "state",
  "peer.left": "state",
  "peer.lost": "state",
  "peer.message_ignored": "state",
  "server.excluded": "state",
  "server.crashed": "state",
  "server.leaving": "state",
  "server.pausing": "state",
  "server.rate_limit": "state",
  "server.cold": "state",
  "server.warm": "state",
  "server.malformed_header": "failure",
  "prompt.quarantined": "state",
  "prompt.cleared": "state",
  "service.idle_limit": "state",
  "server.excess_bytes": "failure",
  "evacuation.started": "state",
  "evacuation.ended": "state",
  "router.removed": "state",
  "lines.dropped": "state",
  "connection.closed": "failure",
  "request.malformed": "failure",
  "request.dropped": "failure",
  "request.rejected": "failure",
  "request.failed": "failure",
  "request.retried": "failure",
  "request.cancelled": "failure",
  "response.unread": "failure",
  "request.placed": "routine",
  "request.ended": "routine",
} as const satisfies Record<string, LogClass>;

/** Events of one class share a rate limit. */
export type LogClass = "state" | "failure" | "routine";
/** Name of a log event. */
export type LogEvent = keyof typeof LOG_EVENTS;
/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;
/** Builds the fields of a log line; not called for dropped lines. */
export type LazyLogFields = () => LogFields;

/** Rate limit of each class; bursts may use up to a quarter of it. */
const LINES_PER_SECOND: Readonly<Record<LogClass, number>> = {
  state: 400,
  failure: 200,
  routine: 160,
};
/** Bytes buffered for a stalled reader before lines are dropped. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;
/** Lines are batched until they reach this size or are flushed. */
const MINIMUM_WRITE_BYTES = 8 * 1024;

/** Writes rate-limited log lines. */
export interface DecisionLog {
  write(event: LogEvent, fields: LogFields | LazyLogFields): void;
  /** Reports dropped lines and writes buffered lines to the output. */
  flush(): void;
  /** Writes buffered lines synchronously, before the process exits. */
  end(): void;
  /** Lines dropped since the process started. */
  dropped(): number;
}

/** Destination of log lines. */
export interface LogOutput {
  write(line: string): void;
  flush(): void;
  end(): void;
  /** Lines dropped by the output itself. */
  dropped(): number;
}

/** Creates an output that writes to standard output without blocking. */
export function createStandardOutput(): LogOutput {
  let dropped = 0;
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: MINIMUM_WRITE_BYTES,
    maxLength: MAXIMUM_BUFFERED_BYTES,
  });
  destination.on("drop", () => dropped++);
  // A closed pipe must not end the process.
  destination.on("error", () => dropped++);
  return {
    write: (line) => void destination.write(line),
    flush: () => destination.flush(),
    end() {
      try {
        destination.flushSync();
      } catch {
        // The reader has closed the pipe, so the error cannot be reported.
        dropped++;
      }
    },
    dropped: () => dropped,
  };
}

/** Options of a decision log. */
export interface DecisionLogOptions {
  readonly clock: Clock;
  readonly output: LogOutput;
  /** Fields added to every line, for example the host name. */
  readonly base: LogFields;
}

/** Creates the decision log of a process. */
export function createDecisionLog(options: DecisionLogOptions): DecisionLog {
  const { clock, output } = options;
  const logger: Logger = pino(
    { base: options.base, timestamp: pino.stdTimeFunctions.epochTime },
    { write: (line) => output.write(line) },
  );
  const buckets = new Map<LogClass, TokenBucket>();
  let dropped = 0;
  let reportedLines = 0;

  function bucketFor(event: LogEvent): TokenBucket {
    const logClass = LOG_EVENTS[event];
    let bucket = buckets.get(logClass);
    if (!bucket) {
      bucket = createTokenBucket(
        LINES_PER_SECOND[logClass],
        clock.monotonicMilliseconds(),
      );
      buckets.set(logClass, bucket);
    }
    return bucket;
  }

  function write(event: LogEvent, fields: LogFields | LazyLogFields): void {
    if (!bucketFor(event).tryTake(clock.monotonicMilliseconds())) {
      dropped++;
      return;
    }
    const isProblem = LOG_EVENTS[event] === "failure";
    const values = typeof fields === "function" ? fields() : fields;
    logger[isProblem ? "warn" : "info"](values, event);
  }

  return {
    write,
    flush() {
      const total = dropped + output.dropped();
      if (total > reportedLines) {
        write("lines.dropped", { lines: total - reportedLines });
        reportedLines = total;
      }
      output.flush();
    },
    end: () => output.end(),
    dropped: () => dropped + output.dropped(),
  };
}
