/**
 * The records a router holds, the order between claims, and digests of the
 * live ones. Digests leave out dead members, because routers forget those at
 * different times.
 */
import type { Member } from "../membership_view.ts";
import type { HostId } from "./ids.ts";
import { MEMBER_STATES, type MemberRecord } from "./membership_messages.ts";
import { compareRingPlaces } from "./membership_ring.ts";
import { hash32 } from "./rendezvous.ts";

/** Buckets of the digest; a sync carries only records of differing buckets. */
export const DIGEST_BUCKETS = 64;

/** Whether a record counts as live: alive or suspect. */
export function isLive(record: MemberRecord | undefined): boolean {
  return record?.state === "alive" || record?.state === "suspect";
}

/** Positive if the left claim overrides the right one, 0 if they are equal. */
export function compareRecords(
  left: MemberRecord,
  right: MemberRecord,
): number {
  if (left.incarnation !== right.incarnation) {
    const order = left.started - right.started;
    return order !== 0 ? order : left.incarnation > right.incarnation ? 1 : -1;
  }
  return left.refutation - right.refutation ||
    MEMBER_STATES.indexOf(left.state) - MEMBER_STATES.indexOf(right.state);
}

function _toMember(record: MemberRecord): Member {
  const { host, dataCentre, address, callerAddress, incarnation, leaving } =
    record;
  return { host, dataCentre, address, callerAddress, incarnation, leaving };
}

function _recordHash(record: MemberRecord): number {
  const { host, incarnation, started, refutation, leaving } = record;
  return hash32(
    `${host}\0${incarnation}\0${started}\0${refutation}\0${leaving}`,
  );
}

/** Returns the digest bucket of a host. */
export function bucketOf(host: HostId): number {
  return hash32(host) % DIGEST_BUCKETS;
}

/** The records of one router by host. */
export class MembershipTable {
  readonly #records = new Map<HostId, MemberRecord>();
  readonly #buckets = Array.from(
    { length: DIGEST_BUCKETS },
    () => new Set<HostId>(),
  );
  readonly #digests = new Array<number>(DIGEST_BUCKETS).fill(0);
  readonly #dead = new Set<HostId>();
  #digest = 0;
  #version = 0;
  #members: readonly Member[] = [];

  /** Rises when a live member appears, disappears or changes. */
  get version(): number {
    return this.#version;
  }

  /** Digest over all live records. */
  get digest(): number {
    return this.#digest;
  }

  get(host: HostId): MemberRecord | undefined {
    return this.#records.get(host);
  }

  /** Digest of each bucket. */
  digests(): readonly number[] {
    return this.#digests;
  }

  /** Records of a bucket in every state. */
  bucket(index: number): MemberRecord[] {
    return [...this.#buckets[index] ?? []].map((host) =>
      this.#records.get(host) as MemberRecord
    );
  }

  /** Hosts that were declared dead and are still remembered. */
  dead(): ReadonlySet<HostId> {
    return this.#dead;
  }

  /** All records. */
  records(): IterableIterator<MemberRecord> {
    return this.#records.values();
  }

  /** Live members in ring order; a new array after every change. */
  members(): readonly Member[] {
    return this.#members;
  }

  /** Stores a record. The caller has decided that it overrides the old one. */
  set(record: MemberRecord): void {
    const old = this.#records.get(record.host);
    this.#records.set(record.host, record);
    this.#buckets[bucketOf(record.host)]?.add(record.host);
    this.#afterChange(record.host, old, record);
  }

  /** Forgets a host. */
  remove(host: HostId): void {
    const old = this.#records.get(host);
    this.#records.delete(host);
    this.#buckets[bucketOf(host)]?.delete(host);
    this.#afterChange(host, old, undefined);
  }

  #afterChange(
    host: HostId,
    old: MemberRecord | undefined,
    record: MemberRecord | undefined,
  ): void {
    if (record?.state === "dead") this.#dead.add(host);
    else this.#dead.delete(host);
    const [wasLive, live] = [isLive(old), isLive(record)];
    let difference = 0;
    if (wasLive) difference ^= _recordHash(old as MemberRecord);
    if (live) difference ^= _recordHash(record as MemberRecord);
    const bucket = bucketOf(host);
    this.#digests[bucket] = ((this.#digests[bucket] ?? 0) ^ difference) >>> 0;
    this.#digest = (this.#digest ^ difference) >>> 0;
    const changed = wasLive !== live || (live &&
      (old?.incarnation !== record?.incarnation ||
        old?.leaving !== record?.leaving || old?.address !== record?.address));
    if (!changed) return;
    this.#version++;
    if (wasLive) this.#members = this.#without(_toMember(old as MemberRecord));
    if (live) this.#members = this.#with(_toMember(record as MemberRecord));
  }

  #placeOf(member: Member): number {
    let [low, high] = [0, this.#members.length];
    while (low < high) {
      const middle = (low + high) >> 1;
      const order = compareRingPlaces(this.#members[middle] as Member, member);
      if (order < 0) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  #without(member: Member): readonly Member[] {
    return this.#members.filter(({ host }) => host !== member.host);
  }

  #with(member: Member): readonly Member[] {
    return this.#members.toSpliced(this.#placeOf(member), 0, member);
  }
}
