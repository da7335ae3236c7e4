/** Reads the list of known failing bounds, which CI prints but does not fail on. */
import { readFile } from "node:fs/promises";

/** A bound that is known to fail with a seed. */
export interface KnownFailure {
  readonly bench: string;
  readonly bound: string;
  readonly seed: number;
}

const ENTRY_PATTERN = /^test: bench ([a-z_]+), bound "([^"]+)", seed (\d+)$/;

/** Returns the entries of the list that name a bound and a seed. */
export function parseKnownFailures(text: string): KnownFailure[] {
  return text.split("\n").flatMap((line) => {
    const match = ENTRY_PATTERN.exec(line.trim());
    if (!match) return [];
    const [, bench = "", bound = "", seed = ""] = match;
    return [{ bench, bound, seed: Number(seed) }];
  });
}

/** Reads KNOWN-RED.txt at the project root; empty if it cannot be read. */
export async function readKnownFailures(): Promise<KnownFailure[]> {
  try {
    const path = new URL("../../KNOWN-RED.txt", import.meta.url);
    return parseKnownFailures(await readFile(path, "utf8"));
  } catch {
    return [];
  }
}
