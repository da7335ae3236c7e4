/**
 * The choice of the peers that a change is pushed to.
 */
import type { Member } from "../membership_view.ts";
import type { HostId } from "./ids.ts";
import type { MembershipRing } from "./membership_ring.ts";
import type { RandomSource } from "./random.ts";

const PUSH_PEERS = 4;
const MAXIMUM_PICKS = 16;

/**
 * Picks the peers for a change: the ring successor, which closes the gaps that
 * random picks leave, and random others.
 */
export function pickPushPeers(
  self: HostId,
  members: readonly Member[],
  ring: MembershipRing,
  random: RandomSource,
): Member[] {
  const successor = ring.successorOf(self);
  const peers = new Set<Member>();
  if (successor && successor.host !== self) peers.add(successor);
  const wanted = Math.min(PUSH_PEERS, members.length - 1);
  for (let pick = 0; peers.size < wanted && pick < MAXIMUM_PICKS; pick++) {
    const peer = members[random.integer(members.length)] as Member;
    if (peer.host !== self) peers.add(peer);
  }
  return [...peers];
}
