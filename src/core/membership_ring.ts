/**
 * The monitoring ring: live members ordered by hash. A member is monitored by
 * its two nearest predecessors of its own data centre and the nearest one of
 * another, so that a cut data centre is noticed from outside as well.
 */
import type { Member } from "../membership_view.ts";
import type { HostId } from "./ids.ts";
import { hash32 } from "./rendezvous.ts";

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

const _positions = new Map<HostId, number>();
const MAXIMUM_REMEMBERED_POSITIONS = 8_192;

function _positionOf(host: HostId): number {
  const known = _positions.get(host);
  if (known !== undefined) return known;
  if (_positions.size >= MAXIMUM_REMEMBERED_POSITIONS) _positions.clear();
  const position = hash32(host);
  _positions.set(host, position);
  return position;
}

/** Order of members on the ring. */
export function compareRingPlaces(left: Member, right: Member): number {
  const order = _positionOf(left.host) - _positionOf(right.host);
  return order !== 0 ? order : left.host < right.host ? -1 : 1;
}

/** Creates the ring of members that are in ring order; kept until they change. */
export function createMembershipRing(
  ordered: readonly Member[],
): MembershipRing {
  function placeOf(host: HostId): number | undefined {
    let [low, high] = [0, ordered.length - 1];
    while (low <= high) {
      const middle = (low + high) >> 1;
      const candidate = ordered[middle] as Member;
      if (candidate.host === host) return middle;
      const order = _positionOf(candidate.host) - _positionOf(host);
      const before = order !== 0 ? order < 0 : candidate.host < host;
      if (before) low = middle + 1;
      else high = middle - 1;
    }
    return undefined;
  }

  /** Collects members in one direction until there are enough. */
  function collect(
    place: number,
    direction: 1 | -1,
    options: { steps: number; count: number },
    wanted: (member: Member) => boolean,
  ): Member[] {
    const found: Member[] = [];
    const steps = Math.min(options.steps, ordered.length - 1);
    for (let step = 1; step <= steps && found.length < options.count; step++) {
      const index = (place + direction * step + ordered.length) %
        ordered.length;
      const candidate = ordered[index] as Member;
      if (wanted(candidate)) found.push(candidate);
    }
    return found;
  }

  function monitorsOf(host: HostId): readonly Member[] {
    const place = placeOf(host);
    if (place === undefined) return [];
    const { dataCentre } = ordered[place] as Member;
    const monitors = collect(
      place,
      -1,
      { steps: ordered.length, count: MONITORS_OF_OWN_DATA_CENTRE },
      (other) => other.dataCentre === dataCentre,
    );
    monitors.push(...collect(
      place,
      -1,
      { steps: MAXIMUM_OUTSIDE_STEPS, count: 1 },
      (other) => other.dataCentre !== dataCentre,
    ));
    const rest = collect(
      place,
      -1,
      { steps: ordered.length, count: MONITORS - monitors.length },
      (other) => !monitors.includes(other),
    );
    return [...monitors, ...rest];
  }

  /** Members in whose monitors the host can be, then those where it is. */
  function targetsOf(host: HostId): readonly Member[] {
    const place = placeOf(host);
    if (place === undefined) return [];
    const { dataCentre } = ordered[place] as Member;
    const steps = { steps: MAXIMUM_OUTSIDE_STEPS, count: ordered.length };
    const candidates = new Set([
      ...collect(
        place,
        1,
        { steps: ordered.length, count: MONITORS },
        (other) => other.dataCentre === dataCentre,
      ),
      ...collect(place, 1, steps, () => true),
    ]);
    return [...candidates].filter((member) =>
      monitorsOf(member.host).some((monitor) => monitor.host === host)
    );
  }

  return {
    monitorsOf,
    targetsOf,
    successorOf: (host) => {
      const place = placeOf(host);
      if (place === undefined || ordered.length < 2) return undefined;
      return ordered[(place + 1) % ordered.length];
    },
    neighboursOf: (host) => {
      const place = placeOf(host);
      if (place === undefined) return [];
      const { dataCentre } = ordered[place] as Member;
      return ordered.filter((member) => member.dataCentre === dataCentre);
    },
  };
}
