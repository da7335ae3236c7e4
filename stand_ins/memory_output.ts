/** An in-memory log output for tests. */
import type { LogOutput } from "../src/decision_log.ts";

/** Creates an output that appends each line to `lines`. */
export function createMemoryOutput(lines: string[]): LogOutput {
  return {
    write: (line) => void lines.push(line),
    flush: () => undefined,
    end: () => undefined,
    dropped: () => 0,
  };
}
