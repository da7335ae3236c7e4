/**
 * Merging of claims: which claim overrides which, suspicion and its end,
 * refutation of claims about this router, and forgetting of old claims.
 */
import type { Member } from "../membership_view.ts";
import type { HostId } from "./ids.ts";
import {
  type MemberRecord,
  unpackRecord,
  type WireRecord,
} from "./membership_messages.ts";
import { compareRecords, isLive, MembershipTable } from "./membership_table.ts";

/** Time a suspect has to refute the suspicion. */
export const SUSPICION_MILLISECONDS = 1_500;
/** Time for which an unreachable member is remembered and retried. */
export const UNREACHABLE_RETENTION_MILLISECONDS = 2 * 60 * 60 * 1_000;
/**
 * A death older than this says nothing about a member that is alive in this
 * view: the claim comes from the other side of a healed cut. Such a member is
 * suspected and can refute, so healing removes nobody from a view.
 */
const FRESH_DEATH_MILLISECONDS = 5_000;
const FORGET_PERIOD_MILLISECONDS = 60_000;

/** What a router says about itself when it starts. */
export interface MembershipSelf extends Omit<Member, "leaving"> {
  /** Wall milliseconds at the start of the process; orders incarnations. */
  readonly started: number;
}

/** The claims of one router. */
export class MembershipClaims {
  readonly table = new MembershipTable();
  readonly #host: HostId;
  readonly #suspicions = new Map<HostId, number>();
  readonly #changed = new Set<HostId>();
  #superseded = false;
  #joined = false;
  #lastChange: number;
  #nextForget: number;

  constructor(self: MembershipSelf, now: number) {
    this.#host = self.host;
    this.#lastChange = now;
    this.#nextForget = now + FORGET_PERIOD_MILLISECONDS;
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

  /** True once another process runs as this host with a newer incarnation. */
  get superseded(): boolean {
    return this.#superseded;
  }

  /** True once a peer has answered with its view. */
  get joined(): boolean {
    return this.#joined;
  }

  /** Time of the last accepted claim. */
  get lastChange(): number {
    return this.#lastChange;
  }

  /** Number of members under suspicion. */
  get suspects(): number {
    return this.#suspicions.size;
  }

  /** Marks the first view as received. */
  setJoined(): void {
    this.#joined = true;
  }

  /** Returns the hosts whose claims changed since the last call. */
  takeChanged(): HostId[] {
    const hosts = [...this.#changed];
    this.#changed.clear();
    return hosts;
  }

  /** Merges the claims of a message. */
  applyAll(records: readonly WireRecord[], now: number, spread = true): void {
    for (const record of records) {
      this.apply(unpackRecord(record, now), now, spread);
    }
  }

  /** Merges a claim and returns whether it changed the view. */
  apply(record: MemberRecord, now: number, spread = true): boolean {
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
    const claim = known ? this.#weigh(record, known, now) : record;
    if (known && compareRecords(claim, known) <= 0) return false;
    this.#store(claim, now, spread);
    return true;
  }

  /** Suspects a member whose probes were not answered. */
  suspect(host: HostId, incarnation: string, now: number): void {
    const known = this.table.get(host);
    if (known?.state !== "alive" || known.incarnation !== incarnation) return;
    this.#store({ ...known, state: "suspect", since: now }, now);
  }

  /** Declares suspects dead whose time is up and forgets old claims. */
  tick(now: number): void {
    for (const [host, deadline] of this.#suspicions) {
      const known = this.table.get(host);
      if (deadline > now || !known) continue;
      this.#store({ ...known, state: "dead", since: now }, now);
    }
    if (now >= this.#nextForget) this.#forget(now);
  }

  /** Gives every suspect its full time again, after this process was paused. */
  restartSuspicions(now: number): void {
    for (const host of this.#suspicions.keys()) {
      this.#suspicions.set(host, now + SUSPICION_MILLISECONDS);
    }
  }

  /** Announces that this router is leaving or has left. */
  changeSelf(
    change: Partial<Pick<MemberRecord, "leaving" | "state">>,
    now: number,
  ): void {
    const refutation = this.self.refutation + 1;
    this.#store({ ...this.self, ...change, refutation, since: now }, now);
  }

  /** Spreads the record of this router again. */
  announceSelf(): void {
    this.#changed.add(this.#host);
  }

  #weigh(
    record: MemberRecord,
    known: MemberRecord,
    now: number,
  ): MemberRecord {
    const contradicted = record.state === "dead" && isLive(known) &&
      record.incarnation === known.incarnation &&
      now - record.since > FRESH_DEATH_MILLISECONDS;
    return contradicted ? { ...record, state: "suspect", since: now } : record;
  }

  #applyToSelf(record: MemberRecord, now: number): boolean {
    const self = this.self;
    if (record.incarnation !== self.incarnation) {
      return this.#meetOtherIncarnation(record, now);
    }
    const denied = record.refutation > self.refutation ||
      (record.refutation === self.refutation && record.state !== "alive");
    if (!denied || self.state === "left") return false;
    const refutation = record.refutation + 1;
    this.#store({ ...self, refutation, since: now }, now);
    return true;
  }

  /**
   * A record of this host under another incarnation: an older process is
   * overridden; a newer live one has replaced this process. A joining or
   * unopposed process raises its start time, because wall clocks may go back.
   */
  #meetOtherIncarnation(record: MemberRecord, now: number): boolean {
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

  #store(record: MemberRecord, now: number, spread = true): void {
    this.table.set(record);
    this.#lastChange = now;
    if (record.state === "suspect") {
      this.#suspicions.set(record.host, now + SUSPICION_MILLISECONDS);
    } else this.#suspicions.delete(record.host);
    if (spread) this.#changed.add(record.host);
  }

  #forget(now: number): void {
    this.#nextForget = now + FORGET_PERIOD_MILLISECONDS;
    for (const record of [...this.table.records()]) {
      const old = now - record.since > UNREACHABLE_RETENTION_MILLISECONDS;
      if (old && !isLive(record)) this.table.remove(record.host);
    }
  }
}
