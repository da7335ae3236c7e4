/**
 * Merges claims about members: precedence between claims, suspicion timeouts,
 * refutation of claims about this router, and expiry of old claims.
 */
import type { Member } from "../membership_view.ts";
import type { HostId } from "./ids.ts";
import {
  type MemberRecord,
  unpackRecord,
  type WireRecord,
} from "./membership_messages.ts";
import { compareRecords, isLive, MembershipTable } from "./membership_table.ts";

/** Time a suspect has to refute the suspicion before it is declared dead. */
export const SUSPICION_TIMEOUT_MILLISECONDS = 1_500;
/** Time for which an unreachable member's record is kept and retried. */
export const UNREACHABLE_RETENTION_MILLISECONDS = 2 * 60 * 60 * 1_000;
/**
 * A death claim older than this about a member that is live in this view comes
 * from the other side of a healed network partition. It counts as a suspicion
 * that the member can refute, so healing removes no member from a view.
 */
const RECENT_DEATH_MILLISECONDS = 5_000;
/** Interval at which expired records are removed. */
const EXPIRY_PERIOD_MILLISECONDS = 60_000;

/** The properties that a router announces about itself at startup. */
export interface MembershipSelf extends Omit<Member, "leaving"> {
  /** Wall-clock time of process start in milliseconds; orders incarnations. */
  readonly started: number;
}

/** The claims of one router about all members. */
export class MembershipClaims {
  readonly table = new MembershipTable();
  readonly #host: HostId;
  readonly #suspicionDeadlines = new Map<HostId, number>();
  readonly #changed = new Set<HostId>();
  #superseded = false;
  #joined = false;
  #lastChange: number;
  #nextExpiry: number;

  constructor(self: MembershipSelf, now: number) {
    this.#host = self.host;
    this.#lastChange = now;
    this.#nextExpiry = now + EXPIRY_PERIOD_MILLISECONDS;
    const { host, dataCentre, address, callerAddress, incarnation, started } =
      self;
    this.#store({
      host,
      dataCentre,
      address,
      callerAddress,
      incarnation,
      started,
      refutation: 0,
      state: "alive",
      leaving: false,
      since: now,
    }, now);
  }

  /** The record of this router. */
  get self(): MemberRecord {
    return this.table.get(this.#host) as MemberRecord;
  }

  /** True once a process with a newer incarnation runs under this host id. */
  get superseded(): boolean {
    return this.#superseded;
  }

  /** True once a peer has sent its view, or if there are no seeds. */
  get joined(): boolean {
    return this.#joined;
  }

  /** Time of the last accepted claim. */
  get lastChange(): number {
    return this.#lastChange;
  }

  /** Number of suspected members. */
  get suspects(): number {
    return this.#suspicionDeadlines.size;
  }

  /** Records that a peer's view was received or that there are no seeds. */
  setJoined(): void {
    this.#joined = true;
  }

  /** Returns the hosts whose claims changed since the last call. */
  takeChanged(): HostId[] {
    const hosts = [...this.#changed];
    this.#changed.clear();
    return hosts;
  }

  /** Merges a message's records; with `gossip`, pushes accepted ones on. */
  applyAll(records: readonly WireRecord[], now: number, gossip = true): void {
    for (const record of records) {
      this.apply(unpackRecord(record, now), now, gossip);
    }
  }

  /** Merges a claim and returns whether it changed the view. */
  apply(record: MemberRecord, now: number, gossip = true): boolean {
    if (record.host === this.#host) return this.#applyToSelf(record, now);
    const known = this.table.get(record.host);
    if (
      !isLive(record) && now - record.since > UNREACHABLE_RETENTION_MILLISECONDS
    ) {
      return false;
    }
    if (!known && !isLive(record)) {
      this.table.set(record);
      return false;
    }
    const claim = known ? this.#reviseStaleDeath(record, known, now) : record;
    if (known && compareRecords(claim, known) <= 0) return false;
    this.#store(claim, now, gossip);
    return true;
  }

  /** Marks a member as suspect after its probes went unanswered. */
  suspect(host: HostId, incarnation: string, now: number): void {
    const known = this.table.get(host);
    if (known?.state !== "alive" || known.incarnation !== incarnation) return;
    this.#store({ ...known, state: "suspect", since: now }, now);
  }

  /** Declares suspects dead after their timeout and removes expired records. */
  tick(now: number): void {
    for (const [host, deadline] of this.#suspicionDeadlines) {
      const known = this.table.get(host);
      if (deadline > now || !known) continue;
      this.#store({ ...known, state: "dead", since: now }, now);
    }
    if (now >= this.#nextExpiry) this.#removeExpired(now);
  }

  /** Restarts every suspicion timeout, after this process was suspended. */
  restartSuspicions(now: number): void {
    for (const host of this.#suspicionDeadlines.keys()) {
      this.#suspicionDeadlines.set(host, now + SUSPICION_TIMEOUT_MILLISECONDS);
    }
  }

  /** Announces that this router leaves or has left. */
  updateSelf(
    change: Partial<Pick<MemberRecord, "leaving" | "state">>,
    now: number,
  ): void {
    const refutation = this.self.refutation + 1;
    this.#store({ ...this.self, ...change, refutation, since: now }, now);
  }

  /** Gossips the record of this router again. */
  announceSelf(): void {
    this.#changed.add(this.#host);
  }

  #reviseStaleDeath(
    record: MemberRecord,
    known: MemberRecord,
    now: number,
  ): MemberRecord {
    const stale = record.state === "dead" && isLive(known) &&
      record.incarnation === known.incarnation &&
      now - record.since > RECENT_DEATH_MILLISECONDS;
    return stale ? { ...record, state: "suspect", since: now } : record;
  }

  #applyToSelf(record: MemberRecord, now: number): boolean {
    const self = this.self;
    if (record.incarnation !== self.incarnation) {
      return this.#resolveIncarnation(record, now);
    }
    const contradicted = record.refutation > self.refutation ||
      (record.refutation === self.refutation && record.state !== "alive");
    if (!contradicted || self.state === "left") return false;
    const refutation = record.refutation + 1;
    this.#store({ ...self, refutation, since: now }, now);
    return true;
  }

  /**
   * Handles a record of this host with another incarnation. An older one is
   * overridden; a newer live one supersedes this process. If this process has
   * not joined yet or the newer record is not live, this process raises its
   * start time above the record's, because wall clocks may go back.
   */
  #resolveIncarnation(record: MemberRecord, now: number): boolean {
    if (compareRecords(record, this.self) < 0) {
      this.announceSelf();
      return false;
    }
    if (this.#joined && isLive(record)) {
      this.#superseded = true;
      return false;
    }
    const started = record.started + 1;
    this.#store({ ...this.self, started, since: now }, now);
    return true;
  }

  #store(record: MemberRecord, now: number, gossip = true): void {
    this.table.set(record);
    this.#lastChange = now;
    if (record.state === "suspect") {
      this.#suspicionDeadlines.set(
        record.host,
        now + SUSPICION_TIMEOUT_MILLISECONDS,
      );
    } else this.#suspicionDeadlines.delete(record.host);
    if (gossip) this.#changed.add(record.host);
  }

  #removeExpired(now: number): void {
    this.#nextExpiry = now + EXPIRY_PERIOD_MILLISECONDS;
    for (const record of [...this.table.records()]) {
      const expired = now - record.since > UNREACHABLE_RETENTION_MILLISECONDS;
      if (expired && !isLive(record)) this.table.remove(record.host);
    }
  }
}
