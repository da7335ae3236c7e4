/**
 * The monitoring ring: live members ordered by the hash of their host. A member
 * is monitored by its two nearest predecessors in its own data centre and the
 * nearest one in another, so that a partitioned data centre is also detected
 * from outside.
 */
import type { Member } from "../membership_view.ts";
import type { HostId } from "./ids.ts";
import { cachedHash32 } from "./hash32.ts";

const MONITORS_PER_MEMBER = 3;
const SAME_DATA_CENTRE_MONITORS = 2;
/**
 * Ring steps searched for a monitor in another data centre. The limit keeps a
 * small data centre from having to monitor all members of a large one.
 */
const MAXIMUM_REMOTE_STEPS = 8;

/** The monitoring ring over one set of live members. */
export interface MembershipRing {
  /** Returns a host's probers, those of its data centre first. */
  monitorsOf(host: HostId): readonly Member[];
  /** Returns the members that a host probes. */
  targetsOf(host: HostId): readonly Member[];
  /** Returns the next member on the ring. */
  successorOf(host: HostId): Member | undefined;
  /** Returns all members of a host's data centre in ring order. */
  dataCentreMembersOf(host: HostId): readonly Member[];
}

/** Compares members by ring position, and by host for equal hashes. */
export function compareRingPositions(left: Member, right: Member): number {
  const order = cachedHash32(left.host) - cachedHash32(right.host);
  return order !== 0 ? order : left.host < right.host ? -1 : 1;
}

/** Creates the ring over members in ring order; rebuild it when they change. */
export function createMembershipRing(
  ordered: readonly Member[],
): MembershipRing {
  function indexOf(host: HostId): number | undefined {
    let [low, high] = [0, ordered.length - 1];
    while (low <= high) {
      const middle = (low + high) >> 1;
      const candidate = ordered[middle] as Member;
      if (candidate.host === host) return middle;
      const order = cachedHash32(candidate.host) - cachedHash32(host);
      const precedes = order !== 0 ? order < 0 : candidate.host < host;
      if (precedes) low = middle + 1;
      else high = middle - 1;
    }
    return undefined;
  }

  /** Collects up to `count` matching members in one direction of the ring. */
  function collect(
    start: number,
    direction: 1 | -1,
    options: { steps: number; count: number },
    matches: (member: Member) => boolean,
  ): Member[] {
    const found: Member[] = [];
    const steps = Math.min(options.steps, ordered.length - 1);
    for (let step = 1; step <= steps && found.length < options.count; step++) {
      const index = (start + direction * step + ordered.length) %
        ordered.length;
      const candidate = ordered[index] as Member;
      if (matches(candidate)) found.push(candidate);
    }
    return found;
  }

  function monitorsOf(host: HostId): readonly Member[] {
    const index = indexOf(host);
    if (index === undefined) return [];
    const { dataCentre } = ordered[index] as Member;
    const monitors = collect(
      index,
      -1,
      { steps: ordered.length, count: SAME_DATA_CENTRE_MONITORS },
      (other) => other.dataCentre === dataCentre,
    );
    monitors.push(...collect(
      index,
      -1,
      { steps: MAXIMUM_REMOTE_STEPS, count: 1 },
      (other) => other.dataCentre !== dataCentre,
    ));
    const rest = collect(
      index,
      -1,
      { steps: ordered.length, count: MONITORS_PER_MEMBER - monitors.length },
      (other) => !monitors.includes(other),
    );
    return [...monitors, ...rest];
  }

  /** Filters the members that the host may monitor by their actual monitors. */
  function targetsOf(host: HostId): readonly Member[] {
    const index = indexOf(host);
    if (index === undefined) return [];
    const { dataCentre } = ordered[index] as Member;
    const steps = { steps: MAXIMUM_REMOTE_STEPS, count: ordered.length };
    const candidates = new Set([
      ...collect(
        index,
        1,
        { steps: ordered.length, count: MONITORS_PER_MEMBER },
        (other) => other.dataCentre === dataCentre,
      ),
      ...collect(index, 1, steps, () => true),
    ]);
    return [...candidates].filter((member) =>
      monitorsOf(member.host).some((monitor) => monitor.host === host)
    );
  }

  return {
    monitorsOf,
    targetsOf,
    successorOf: (host) => {
      const index = indexOf(host);
      if (index === undefined || ordered.length < 2) return undefined;
      return ordered[(index + 1) % ordered.length];
    },
    dataCentreMembersOf: (host) => {
      const index = indexOf(host);
      if (index === undefined) return [];
      const { dataCentre } = ordered[index] as Member;
      return ordered.filter((member) => member.dataCentre === dataCentre);
    },
  };
}
