/**
 * The member records that a router holds, the precedence between claims, and
 * digests of the live records. Digests leave out dead members, because routers
 * remove those at different times.
 */
import type { Member } from "../membership_view.ts";
import type { HostId } from "./ids.ts";
import { MEMBER_STATES, type MemberRecord } from "./membership_messages.ts";
import { compareRingPositions } from "./membership_ring.ts";
import { hash32 } from "./hash32.ts";

/** Number of digest buckets; a sync carries only records of differing buckets. */
export const DIGEST_BUCKETS = 64;

/** Returns whether a member is live, that is alive or suspect. */
export function isLive(record: MemberRecord | undefined): boolean {
  return record?.state === "alive" || record?.state === "suspect";
}

/** Returns a positive number if the left claim overrides the right, 0 if equal. */
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

/** The records that one router holds, by host. */
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

  /** Increases when a live member is added, removed or changed. */
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

  /** Returns the digest of each bucket. */
  digests(): readonly number[] {
    return this.#digests;
  }

  /** Returns the records of a bucket, in any state. */
  bucket(index: number): MemberRecord[] {
    return [...this.#buckets[index] ?? []].map((host) =>
      this.#records.get(host) as MemberRecord
    );
  }

  /** Returns the dead hosts whose records are still kept. */
  dead(): ReadonlySet<HostId> {
    return this.#dead;
  }

  /** Returns all records, in any state. */
  records(): IterableIterator<MemberRecord> {
    return this.#records.values();
  }

  /** Returns the live members in ring order; a new array after every change. */
  members(): readonly Member[] {
    return this.#members;
  }

  /** Stores a record. The caller must check that it overrides the old one. */
  set(record: MemberRecord): void {
    const old = this.#records.get(record.host);
    this.#records.set(record.host, record);
    this.#buckets[bucketOf(record.host)]?.add(record.host);
    this.#updateIndexes(record.host, old, record);
  }

  /** Removes the record of a host. */
  remove(host: HostId): void {
    const old = this.#records.get(host);
    this.#records.delete(host);
    this.#buckets[bucketOf(host)]?.delete(host);
    this.#updateIndexes(host, old, undefined);
  }

  #updateIndexes(
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

  #insertionIndex(member: Member): number {
    let [low, high] = [0, this.#members.length];
    while (low < high) {
      const middle = (low + high) >> 1;
      const order = compareRingPositions(
        this.#members[middle] as Member,
        member,
      );
      if (order < 0) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  #without(member: Member): readonly Member[] {
    return this.#members.filter(({ host }) => host !== member.host);
  }

  #with(member: Member): readonly Member[] {
    return this.#members.toSpliced(this.#insertionIndex(member), 0, member);
  }
}
