/** Checks that routers stay within the memory that their settings name. */
import type { SoakRecord } from "./soak_record.ts";

const BYTES_IN_MEGABYTE = 1_000_000;

/** Memory and descriptors of the smallest machine, in the settings of the routers. */
export const SMALLEST_MACHINE = {
  memoryMegabytes: 202,
  descriptors: 2_069,
} as const;

/** Returns a line for each router that took more memory than it may. */
export function findMemoryViolations(
  { memoryPeaks }: Pick<SoakRecord, "memoryPeaks">,
): string[] {
  const allowed = SMALLEST_MACHINE.memoryMegabytes;
  return [...memoryPeaks].flatMap(([host, bytes]) => {
    const megabytes = bytes / BYTES_IN_MEGABYTE;
    return megabytes <= allowed
      ? []
      : [`${host}: took ${Math.ceil(megabytes)} MB of memory of ${allowed} MB`];
  });
}
