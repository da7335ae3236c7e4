/** Parses configuration chunks ahead of use without blocking the event loop. */
import { setImmediate } from "node:timers/promises";
import type { ChunkReader } from "./core/configuration_chunks.ts";

/**
 * Longest time of parsing before other events are handled. On a first join,
 * parsing 47,000 workspaces at once would block the membership protocol for
 * most of its suspicion timeout.
 */
const PARSE_SLICE_MILLISECONDS = 5;

/** Parses chunks into the reader's cache in short time slices. */
export async function parseChunksInSlices(
  reader: ChunkReader,
  texts: readonly string[],
): Promise<void> {
  let sliceEnd = performance.now() + PARSE_SLICE_MILLISECONDS;
  for (const text of texts) {
    reader.parseAhead(text);
    if (performance.now() < sliceEnd) continue;
    await setImmediate();
    sliceEnd = performance.now() + PARSE_SLICE_MILLISECONDS;
  }
}
