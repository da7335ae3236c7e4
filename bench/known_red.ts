/** Reads the list of known failing bounds that CI prints and passes over. */
import { readFile } from "node:fs/promises";

/** A bound that is known to be broken. */
export interface KnownRed {
  readonly bench: string;
  readonly bound: string;
  readonly seed: number;
}

const ENTRY = /^test: bench ([a-z_]+), bound "([^"]+)", seed (\d+)$/;

/** Returns the entries of the text that name a bound and a seed. */
export function parseKnownRed(text: string): KnownRed[] {
  return text.split("\n").flatMap((line) => {
    const match = ENTRY.exec(line.trim());
    if (!match) return [];
    const [, bench = "", bound = "", seed = ""] = match;
    return [{ bench, bound, seed: Number(seed) }];
  });
}

/** Reads KNOWN-RED.txt at the root; an absent file lists nothing. */
export async function readKnownRed(): Promise<KnownRed[]> {
  try {
    const path = new URL("../../KNOWN-RED.txt", import.meta.url);
    return parseKnownRed(await readFile(path, "utf8"));
  } catch {
    return [];
  }
}
