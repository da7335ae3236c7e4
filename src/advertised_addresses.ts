/**
 * Chooses the routers that are advertised to the callers of a workspace: a small
 * subset across data centres, so that a traffic surge of one workspace does not
 * reach the other routers.
 */
import type { WorkspaceId } from "./core/ids.ts";
import { rankByRendezvous } from "./core/rendezvous.ts";
import type { Member } from "./membership_view.ts";

/** Returns the members that callers of a workspace may use, best first. */
export function chooseAdvertisedMembers(
  workspace: WorkspaceId,
  members: readonly Member[],
  count: number,
): readonly Member[] {
  const ranked = rankByRendezvous(
    `entry/${workspace}`,
    members.filter((member) => !member.leaving),
    (member) => member.host,
  );
  const chosen = ranked.slice(0, count);
  const first = chosen[0];
  if (!first || count < 2) return chosen;
  const remote = ranked.find((member) =>
    member.dataCentre !== first.dataCentre
  );
  // A whole data centre may fail, so the subset spans at least two if it can.
  if (!remote || chosen.includes(remote)) return chosen;
  return [...chosen.slice(0, -1), remote];
}
