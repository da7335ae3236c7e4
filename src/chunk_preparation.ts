/** Parses the chunks of a configuration without blocking the event loop. */
import { setImmediate } from "node:timers/promises";
import type { ChunkReader } from "./core/configuration_chunks.ts";

/**
 * Parsing yields to the event loop after this time. Parsing the configuration of
 * 47,000 workspaces at once, when a router first joins, would block the
 * membership protocol for most of its suspicion timeout.
 */
const PARSE_SLICE_MILLISECONDS = 5;

/** Parses chunks in short time slices, so that timers are not delayed. */
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
