/** Evacuates a data centre for a while. */
import { setTimeout as sleep } from "node:timers/promises";
import { EVACUATE_MILLISECONDS } from "./evacuations.ts";
import type { ScheduledFault } from "./fault_schedule.ts";
import { type FaultTargets, pick } from "./fault_targets.ts";
import { DATA_CENTRES } from "./soak_routers.ts";

/** Time for which an evacuation is in force at least. */
const SHORTEST_FORCE_MILLISECONDS = 3_000;

/** Evacuates a data centre and ends it; another one must be left to serve. */
export async function evacuateDataCentre(
  { target, forMilliseconds }: ScheduledFault,
  { begin, evacuations, coldService }: FaultTargets,
): Promise<void> {
  if (evacuations.isActive) return;
  const end = begin("fleet", true);
  const dataCentre = pick(DATA_CENTRES, target);
  evacuations.begin(dataCentre);
  await sleep(
    EVACUATE_MILLISECONDS + SHORTEST_FORCE_MILLISECONDS + forMilliseconds,
  );
  // Unused servers become cold; they may do so shortly before the evacuation ends.
  const becameCold = coldService?.becomeCold(dataCentre);
  evacuations.end(dataCentre);
  end();
  await becameCold;
}
