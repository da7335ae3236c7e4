/** A log output that keeps lines in memory, for tests. */
import type { LogOutput } from "../src/decision_log.ts";

/** Returns an output that appends each line to a list. */
export function createMemoryOutput(lines: string[]): LogOutput {
  return {
    write: (line) => void lines.push(line),
    flush: () => undefined,
    end: () => undefined,
    dropped: () => 0,
  };
}
