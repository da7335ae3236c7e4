/**
 * Which routers a workspace's callers are told to use: a small subset, so that
 * a surge of one workspace stays in its subset, spread over data centres.
 */
import type { WorkspaceId } from "./core/ids.ts";
import { rankByRendezvous } from "./core/rendezvous.ts";
import type { Member } from "./membership_view.ts";

/** The members a workspace's callers may use, best first. */
export function chooseEntryMembers(
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
  // One data centre may be lost as a whole, so the subset never lies in one.
  if (!remote || chosen.includes(remote)) return chosen;
  return [...chosen.slice(0, -1), remote];
}
