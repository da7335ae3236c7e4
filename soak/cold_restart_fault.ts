/** Restarts servers of the service whose servers are cold after their start. */
import type { ScheduledFault } from "./fault_schedule.ts";
import { type FaultTargets, pick } from "./fault_targets.ts";

/** Time that a server needs at least until it serves again. */
const SHORTEST_RESTART_MILLISECONDS = 1_000;
/** Every third time all servers restart, so that no warm one is left. */
const ALL_SERVERS_INTERVAL = 3;

/**
 * Restarts one server or all of them, under the ids that they had every other time.
 * Requests of other services must not suffer, so that it counts as no disturbance.
 */
export async function restartCold(
  { target, variant, forMilliseconds }: ScheduledFault,
  { coldService }: FaultTargets,
): Promise<void> {
  if (!coldService) return;
  const { servers } = coldService;
  const restarted = variant % ALL_SERVERS_INTERVAL === 0
    ? servers
    : [pick(servers, target)];
  await Promise.all(restarted.map((server) =>
    coldService.restart(server, {
      keepsId: target % 2 === 0,
      downMilliseconds: SHORTEST_RESTART_MILLISECONDS + forMilliseconds,
    })
  ));
}
