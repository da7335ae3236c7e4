/** Records the most memory that the router processes of a run have taken. */
import type { SoakRouter } from "./soak_routers.ts";

/** What a process takes between the last sample and its end is not seen. */
const PERIOD_MILLISECONDS = 50;

/** The most memory that any process of a router took, in bytes, by its host. */
export type MemoryPeaks = ReadonlyMap<string, number>;

/** Records peaks until the returned function is called. */
export function recordMemoryPeaks(
  routers: readonly SoakRouter[],
  peaks: Map<string, number>,
): () => void {
  function sample(): void {
    for (const router of routers) {
      const { host } = router.settings;
      peaks.set(host, Math.max(peaks.get(host) ?? 0, router.readPeakBytes()));
    }
  }
  const timer = setInterval(sample, PERIOD_MILLISECONDS);
  return () => {
    sample();
    clearInterval(timer);
  };
}
