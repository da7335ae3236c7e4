/** What a soak run reports. */
import { findGuaranteeViolations, listUndisturbed } from "./guarantees.ts";
import type { SoakRecord } from "./soak_record.ts";
import { listSilences, type Stall } from "./stalls.ts";

const BYTES_IN_MEGABYTE = 1_000_000;

/** Counts, injected faults and guarantee violations of a soak run. */
export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  /** Requests during which, and shortly before, nothing was disturbed. */
  readonly undisturbed: number;
  /** Long stalls of the soak, which count as disturbances. */
  readonly stalls: readonly Stall[];
  /** Longest time for which callers and servers, all in this process, stood still. */
  readonly longestStallMilliseconds: number;
  /** Most memory that a router process took; undefined if not measured. */
  readonly peakMegabytes: number | undefined;
  readonly faults: readonly string[];
  readonly broken: readonly string[];
}

/** Checks the guarantees of a run and counts what happened in it. */
export function createSoakResult(
  seed: number,
  faults: readonly string[],
  record: SoakRecord,
): SoakResult {
  const { attempts, memoryPeaks, stalls } = record;
  return {
    seed,
    requests: attempts.length,
    served:
      attempts.filter(({ status, isComplete }) => status === 200 && isComplete)
        .length,
    undisturbed: listUndisturbed(record).length,
    stalls: listSilences(stalls),
    longestStallMilliseconds: Math.max(
      0,
      ...stalls.map(({ from, until }) => until - from),
    ),
    peakMegabytes: memoryPeaks.size === 0
      ? undefined
      : Math.round(Math.max(...memoryPeaks.values()) / BYTES_IN_MEGABYTE),
    faults,
    broken: findGuaranteeViolations(record),
  };
}
