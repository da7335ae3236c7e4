/**
 * Selects the peers to which a router gossips a change.
 */
import type { Member } from "../membership_view.ts";
import type { HostId } from "./ids.ts";
import type { MembershipRing } from "./membership_ring.ts";
import type { RandomSource } from "./random.ts";

/** Peers to which a change is sent, including the ring successor. */
const GOSSIP_FANOUT = 4;
/** Limit of random picks, which may hit this router or the same peer again. */
const MAXIMUM_PICKS = 16;

/**
 * Picks the ring successor and random other members. The successor makes sure
 * that a change also reaches members that no random pick selects.
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
  const count = Math.min(GOSSIP_FANOUT, members.length - 1);
  for (let pick = 0; peers.size < count && pick < MAXIMUM_PICKS; pick++) {
    const peer = members[random.integer(members.length)] as Member;
    if (peer.host !== self) peers.add(peer);
  }
  return [...peers];
}
