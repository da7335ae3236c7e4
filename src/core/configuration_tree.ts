/**
 * Chooses which routers watch the platform and how changes are announced. The
 * members of a data centre form a tree in rendezvous order; the first two watch.
 */
import { rankByRendezvous } from "./rendezvous.ts";

/** Routers per data centre that watch the platform. */
export const WATCHERS_PER_DATA_CENTRE = 2;
/** Maximum number of children of a router in the announcement tree. */
export const ANNOUNCEMENT_FAN_OUT = 4;

/** The fields of a member that the tree depends on. */
export interface TreeMember {
  readonly host: string;
  readonly dataCentre: string;
  readonly leaving: boolean;
}

function _rankMembers<T extends TreeMember>(
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

/** Whether a router watches the platform for changes. */
export function isWatcher(
  self: TreeMember,
  members: readonly TreeMember[],
): boolean {
  const watchers = _rankMembers(self.dataCentre, members).slice(
    0,
    WATCHERS_PER_DATA_CENTRE,
  );
  return watchers.some((member) => member.host === self.host);
}

/**
 * Returns the members to which a router announces a change: its children in the
 * tree and, if it is a watcher, the watchers of the other data centres.
 */
export function chooseAnnouncementTargets<T extends TreeMember>(
  self: TreeMember,
  members: readonly T[],
): T[] {
  const ranked = _rankMembers(self.dataCentre, members);
  const position = ranked.findIndex((member) => member.host === self.host);
  if (position < 0) return [];
  const first = position * ANNOUNCEMENT_FAN_OUT + 1;
  const children = ranked.slice(first, first + ANNOUNCEMENT_FAN_OUT);
  if (position >= WATCHERS_PER_DATA_CENTRE) return children;
  const others = new Set(members.map((member) => member.dataCentre));
  others.delete(self.dataCentre);
  const remote = [...others].flatMap((dataCentre) =>
    _rankMembers(dataCentre, members).slice(0, WATCHERS_PER_DATA_CENTRE)
  );
  return [...children, ...remote];
}
