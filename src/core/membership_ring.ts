/**
 * The monitoring ring: live members ordered by hash. A member is monitored by
 * its two nearest predecessors of its own data centre and the nearest one of
 * another, so that a cut data centre is noticed from outside as well.
 */
import type { Member } from "../membership_view.ts";
import type { DataCentreId, HostId } from "./ids.ts";
import { hash64 } from "./rendezvous.ts";

const MONITORS = 3;
const MONITORS_OF_OWN_DATA_CENTRE = 2;
/**
 * Ring steps within which a monitor of another data centre is looked for. The
 * bound keeps a small data centre from monitoring all of a large one.
 */
const MAXIMUM_OUTSIDE_STEPS = 8;

/** The ring for one set of live members. */
export interface MembershipRing {
  /** Members that probe the given one, nearest first. */
  monitorsOf(host: HostId): readonly Member[];
  /** Members that the given one probes. */
  targetsOf(host: HostId): readonly Member[];
  /** The next member on the ring. */
  successorOf(host: HostId): Member | undefined;
  /** Members of the host's data centre, itself included, in ring order. */
  neighboursOf(host: HostId): readonly Member[];
}

const _positions = new Map<HostId, string>();
const MAXIMUM_REMEMBERED_POSITIONS = 8_192;

function _positionOf(host: HostId): string {
  const known = _positions.get(host);
  if (known !== undefined) return known;
  if (_positions.size >= MAXIMUM_REMEMBERED_POSITIONS) _positions.clear();
  const position = hash64(host);
  _positions.set(host, position);
  return position;
}

function _byPosition(left: Member, right: Member): number {
  const [leftPosition, rightPosition] = [
    _positionOf(left.host),
    _positionOf(right.host),
  ];
  if (leftPosition !== rightPosition) {
    return leftPosition < rightPosition ? -1 : 1;
  }
  return left.host < right.host ? -1 : 1;
}

/** Orders the members once; the caller keeps the ring until the members change. */
export function createMembershipRing(
  members: readonly Member[],
): MembershipRing {
  const ordered = [...members].sort(_byPosition);
  const places = new Map(ordered.map((member, index) => [member.host, index]));
  const dataCentres = new Map<DataCentreId, Member[]>();
  const localPlaces = new Map<HostId, number>();
  for (const member of ordered) {
    const group = dataCentres.get(member.dataCentre) ?? [];
    if (group.length === 0) dataCentres.set(member.dataCentre, group);
    localPlaces.set(member.host, group.length);
    group.push(member);
  }

  function nearest(
    place: number,
    maximumSteps: number,
    wanted: (member: Member) => boolean,
  ): Member | undefined {
    const steps = Math.min(maximumSteps, ordered.length - 1);
    for (let step = 1; step <= steps; step++) {
      const index = (place - step + ordered.length) % ordered.length;
      const candidate = ordered[index] as Member;
      if (wanted(candidate)) return candidate;
    }
    return undefined;
  }

  function monitorsOf(host: HostId): readonly Member[] {
    const place = places.get(host);
    if (place === undefined) return [];
    const member = ordered[place] as Member;
    const group = dataCentres.get(member.dataCentre) ?? [];
    const local = localPlaces.get(host) ?? 0;
    const monitors: Member[] = [];
    const locals = Math.min(MONITORS_OF_OWN_DATA_CENTRE, group.length - 1);
    for (let step = 1; step <= locals; step++) {
      const index = (local - step + group.length) % group.length;
      monitors.push(group[index] as Member);
    }
    const outside = nearest(
      place,
      MAXIMUM_OUTSIDE_STEPS,
      (other) => other.dataCentre !== member.dataCentre,
    );
    if (outside) monitors.push(outside);
    const wanted = Math.min(MONITORS, ordered.length - 1);
    while (monitors.length < wanted) {
      const next = nearest(
        place,
        ordered.length,
        (other) => !monitors.includes(other),
      );
      if (!next) break;
      monitors.push(next);
    }
    return monitors;
  }

  return {
    monitorsOf,
    targetsOf: (host) =>
      ordered.filter((member) =>
        member.host !== host &&
        monitorsOf(member.host).some((monitor) => monitor.host === host)
      ),
    successorOf: (host) => {
      const place = places.get(host);
      if (place === undefined || ordered.length < 2) return undefined;
      return ordered[(place + 1) % ordered.length];
    },
    neighboursOf: (host) => {
      const place = places.get(host);
      if (place === undefined) return [];
      return dataCentres.get((ordered[place] as Member).dataCentre) ?? [];
    },
  };
}
