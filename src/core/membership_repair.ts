/**
 * Anti-entropy between diverging views: pairwise syncs, joining through seeds,
 * and periodic retries of unreachable members.
 */
import type { SocketAddress } from "./ids.ts";
import type { MembershipClaims } from "./membership_claims.ts";
import {
  type MemberRecord,
  type MembershipMessage,
  type MembershipMessageKind,
  packRecord,
  syncSchema,
  unpackRecord,
  type WireRecord,
} from "./membership_messages.ts";
import {
  compareRecords,
  DIGEST_BUCKETS,
  isLive,
  type MembershipTable,
} from "./membership_table.ts";
import type { RandomSource } from "./random.ts";

/**
 * Time without changes after which a differing digest means a lost update, not
 * one still being gossiped.
 */
const QUIET_PERIOD_MILLISECONDS = 400;
const MINIMUM_SYNC_PERIOD_MILLISECONDS = 1_000;
const MAXIMUM_SYNC_PERIOD_MILLISECONDS = 16_000;
/** Interval at which one unreachable member is probed again. */
const RETRY_PERIOD_MILLISECONDS = 5_000;
const JOIN_PERIOD_MILLISECONDS = 1_000;
const SEED_RETRY_PERIOD_MILLISECONDS = 30_000;
const SEEDS_PER_ATTEMPT = 2;

/** Options for `MembershipRepair`. */
export interface MembershipRepairOptions {
  readonly claims: MembershipClaims;
  readonly random: RandomSource;
  readonly seeds: readonly SocketAddress[];
  readonly send: (message: MembershipMessage) => void;
  /** Probes a member that was declared dead. */
  readonly retry: (record: MemberRecord, now: number) => void;
}

/** Returns the records of every bucket whose digest differs from the peer's. */
function _differingRecords(
  table: MembershipTable,
  peerDigests: readonly number[],
): MemberRecord[] {
  const digests = table.digests();
  const records: MemberRecord[] = [];
  for (let bucket = 0; bucket < DIGEST_BUCKETS; bucket++) {
    if (digests[bucket] === peerDigests[bucket]) continue;
    records.push(...table.bucket(bucket));
  }
  return records;
}

/** Returns the local records that a peer lacks or that override the peer's. */
function _missingRecords(
  own: readonly MemberRecord[],
  peerRecords: readonly WireRecord[],
  now: number,
): WireRecord[] {
  const known = new Map(
    peerRecords.map((wire) => [wire[0], unpackRecord(wire, now)]),
  );
  return own.filter((record) => {
    const peerRecord = known.get(record.host);
    return peerRecord ? compareRecords(record, peerRecord) > 0 : isLive(record);
  }).map((record) => packRecord(record, now));
}

/** Keeps one router's view consistent with those of its peers. */
export class MembershipRepair {
  readonly #options: MembershipRepairOptions;
  readonly #seeds = new Set<SocketAddress>();
  #nextSync = 0;
  #syncPeriod = MINIMUM_SYNC_PERIOD_MILLISECONDS;
  #nextRetry: number;
  #nextSeedContact: number;
  #syncs = 0;

  constructor(options: MembershipRepairOptions, now: number) {
    this.#options = options;
    this.#nextRetry = now + this.#jitter(RETRY_PERIOD_MILLISECONDS);
    this.#nextSeedContact = now;
    this.addSeeds(options.seeds);
    if (this.#seeds.size === 0) options.claims.setJoined();
  }

  /** Number of syncs that this router started. */
  get syncs(): number {
    return this.#syncs;
  }

  /** Adds seed addresses to join through. */
  addSeeds(addresses: readonly SocketAddress[]): void {
    const own = this.#options.claims.self.address;
    for (const address of addresses) {
      if (address !== own) this.#seeds.add(address);
    }
  }

  /** Contacts seeds and unreachable members when due. */
  tick(now: number): void {
    this.#contactSeeds(now);
    this.#retryUnreachable(now);
  }

  /**
   * Joins through a peer that probes this router. This lets a restarted router
   * rejoin when all its seeds are gone but peers still retry its old address.
   */
  joinThrough(peer: SocketAddress, now: number): void {
    if (this.#options.claims.joined || now < this.#nextSync) return;
    this.#nextSync = now + MINIMUM_SYNC_PERIOD_MILLISECONDS;
    this.sync(peer, now);
  }

  /** Starts a sync if a peer's digest differs and this view is quiet. */
  compareDigest(digest: number, peer: SocketAddress, now: number): void {
    if (digest === this.#options.claims.table.digest) {
      this.#syncPeriod = MINIMUM_SYNC_PERIOD_MILLISECONDS;
      return;
    }
    const quiet =
      now - this.#options.claims.lastChange >= QUIET_PERIOD_MILLISECONDS;
    if (!quiet || now < this.#nextSync) return;
    this.#nextSync = now + this.#jitter(this.#syncPeriod);
    this.#syncPeriod = Math.min(
      2 * this.#syncPeriod,
      MAXIMUM_SYNC_PERIOD_MILLISECONDS,
    );
    this.sync(peer, now);
  }

  /** Requests a sync of differing records from a peer. */
  sync(peer: SocketAddress, now: number): void {
    const { table, self } = this.#options.claims;
    this.#syncs++;
    this.#send(peer, "membership.sync", {
      p: 0,
      b: table.digests(),
      u: [packRecord(self, now)],
    });
  }

  /** Handles a sync request or response; returns false if it is malformed. */
  receive(body: unknown, from: SocketAddress, now: number): boolean {
    const parsed = syncSchema.safeParse(body);
    if (!parsed.success || parsed.data.b.length !== DIGEST_BUCKETS) {
      return false;
    }
    const { p, b, u } = parsed.data;
    const { table } = this.#options.claims;
    if (p === 0) {
      this.#options.claims.applyAll(u, now);
      const records = _differingRecords(table, b);
      this.#send(from, "membership.sync", {
        p: 1,
        b: table.digests(),
        u: records.map((record) => packRecord(record, now)),
      });
      return true;
    }
    const missing = _missingRecords(_differingRecords(table, b), u, now);
    const previousDigest = table.digest;
    this.#options.claims.applyAll(u, now, this.#options.claims.joined);
    this.#options.claims.setJoined();
    if (table.digest !== previousDigest) {
      this.#syncPeriod = MINIMUM_SYNC_PERIOD_MILLISECONDS;
    }
    if (missing.length > 0) {
      this.#send(from, "membership.updates", { u: missing });
    }
    return true;
  }

  #send(to: SocketAddress, kind: MembershipMessageKind, body: unknown): void {
    this.#options.send({ to, kind, body });
  }

  #jitter(milliseconds: number): number {
    return milliseconds * (0.5 + this.#options.random.next());
  }

  /** Joins through seeds; once joined, retries seeds that are not live members. */
  #contactSeeds(now: number): void {
    if (now < this.#nextSeedContact || this.#seeds.size === 0) return;
    this.#nextSeedContact = now + this.#jitter(
      this.#options.claims.joined
        ? SEED_RETRY_PERIOD_MILLISECONDS
        : JOIN_PERIOD_MILLISECONDS,
    );
    const live = new Set(
      this.#options.claims.table.members().map((member) => member.address),
    );
    const absent = [...this.#seeds].filter((address) => !live.has(address));
    const candidates = this.#options.claims.joined ? absent : [...this.#seeds];
    const picked = this.#options.random.shuffle(candidates);
    for (const address of picked.slice(0, SEEDS_PER_ATTEMPT)) {
      this.sync(address, now);
    }
  }

  #retryUnreachable(now: number): void {
    const dead = this.#options.claims.table.dead();
    if (now < this.#nextRetry || dead.size === 0) return;
    this.#nextRetry = now + this.#jitter(RETRY_PERIOD_MILLISECONDS);
    const host = [...dead][this.#options.random.integer(dead.size)];
    const record = host && this.#options.claims.table.get(host);
    if (record) this.#options.retry(record, now);
  }
}
