/** Parses the chunks of a configuration without blocking the event loop. */
import { setImmediate } from "node:timers/promises";
import type { ChunkReader } from "./core/configuration_chunks.ts";

/**
 * Parsing yields to other work after this time. A first join of 47,000
 * workspaces in one step would block membership for most of its suspicion time.
 */
const PARSE_SLICE_MILLISECONDS = 5;
/** Parses chunks in slices of a few milliseconds, so that timers stay on time. */
export async function prepareChunks(
  reader: ChunkReader,
  texts: readonly string[],
): Promise<void> {
  let sliceEnd = performance.now() + PARSE_SLICE_MILLISECONDS;
  for (const text of texts) {
    reader.prepare(text);
    if (performance.now() < sliceEnd) continue;
    await setImmediate();
    sliceEnd = performance.now() + PARSE_SLICE_MILLISECONDS;
  }
}
