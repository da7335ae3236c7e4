/**
 * Who watches the platform and who tells whom about a change. The members of a
 * data centre form a tree by rendezvous order; its first two watch.
 */
import { rankByRendezvous } from "./rendezvous.ts";

/** Routers per data centre that watch the platform. */
export const WATCHERS_PER_DATA_CENTRE = 2;
/** A router announces a change to this many others in its data centre. */
export const ANNOUNCEMENT_FAN_OUT = 4;

/** What the tree needs to know of a member. */
export interface TreeMember {
  readonly host: string;
  readonly dataCentre: string;
  readonly leaving: boolean;
}

function _rank<T extends TreeMember>(
  dataCentre: string,
  members: readonly T[],
): T[] {
  const candidates = members.filter((member) =>
    member.dataCentre === dataCentre && !member.leaving
  );
  return rankByRendezvous(
    `configuration/watchers/${dataCentre}`,
    candidates,
    (member) => member.host,
  );
}

/** Whether this router watches the platform. */
export function isWatcher(
  self: TreeMember,
  members: readonly TreeMember[],
): boolean {
  const watchers = _rank(self.dataCentre, members).slice(
    0,
    WATCHERS_PER_DATA_CENTRE,
  );
  return watchers.some((member) => member.host === self.host);
}

/**
 * Returns the members that a router tells about a change: its children in the
 * tree and, if it watches, the watchers of the other data centres.
 */
export function chooseAnnouncementTargets<T extends TreeMember>(
  self: TreeMember,
  members: readonly T[],
): T[] {
  const ranked = _rank(self.dataCentre, members);
  const position = ranked.findIndex((member) => member.host === self.host);
  if (position < 0) return [];
  const first = position * ANNOUNCEMENT_FAN_OUT + 1;
  const children = ranked.slice(first, first + ANNOUNCEMENT_FAN_OUT);
  if (position >= WATCHERS_PER_DATA_CENTRE) return children;
  const others = new Set(members.map((member) => member.dataCentre));
  others.delete(self.dataCentre);
  const remote = [...others].flatMap((dataCentre) =>
    _rank(dataCentre, members).slice(0, WATCHERS_PER_DATA_CENTRE)
  );
  return [...children, ...remote];
}
