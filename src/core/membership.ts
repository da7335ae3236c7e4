/**
 * SWIM-style membership of one router: probes its ring targets, replies to its
 * peers, gossips changes and repairs diverging views. Performs no I/O: time and
 * randomness are arguments, and every call returns the messages to send.
 */
import type { Member } from "../membership_view.ts";
import {
  brandId,
  type HostId,
  type IncarnationId,
  type SocketAddress,
} from "./ids.ts";
import { MembershipClaims, type MembershipSelf } from "./membership_claims.ts";
import {
  indirectProbeSchema,
  type MembershipMessage,
  type MembershipMessageKind,
  packRecord,
  probeSchema,
  updatesSchema,
} from "./membership_messages.ts";
import { MembershipProber, type ProbeTarget } from "./membership_probes.ts";
import {
  createMembershipRing,
  type MembershipRing,
} from "./membership_ring.ts";
import { pickPushPeers } from "./membership_push.ts";
import { MembershipRepair } from "./membership_repair.ts";
import type { RandomSource } from "./random.ts";

/** Interval at which `tick` must be called. */
export const MEMBERSHIP_TICK_MILLISECONDS = 100;
/** A longer gap between ticks means that the process was suspended. */
const PAUSE_THRESHOLD_MILLISECONDS = 1_000;
const MAXIMUM_RECORDS_PER_PUSH = 256;

/** Options for `createMembership`. */
export interface MembershipOptions {
  readonly self: MembershipSelf;
  readonly seeds: readonly SocketAddress[];
  readonly random: RandomSource;
}

/** Sender of a message, as authenticated by the connection's handshake. */
export interface MembershipSender {
  readonly host: HostId;
  readonly incarnation: IncarnationId;
  readonly address: SocketAddress;
}

/** Membership statistics for the state dump. */
export interface MembershipStatistics {
  readonly live: number;
  readonly suspects: number;
  readonly remembered: number;
  readonly targets: readonly HostId[];
  readonly refutation: number;
  readonly joined: boolean;
  readonly superseded: boolean;
  readonly syncs: number;
  readonly rejectedMessages: number;
}

/** The membership state of one router. */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #claims: MembershipClaims;
  readonly #prober: MembershipProber;
  readonly #repair: MembershipRepair;
  #outgoing: MembershipMessage[] = [];
  #ring: MembershipRing;
  #ringVersion: number;
  #lastTick: number;
  #rejectedMessages = 0;

  constructor(options: MembershipOptions, now: number) {
    this.#options = options;
    this.#claims = new MembershipClaims(options.self, now);
    this.#ring = createMembershipRing(this.members());
    this.#ringVersion = this.version;
    this.#lastTick = now;
    this.#prober = new MembershipProber({
      self: options.self.host,
      random: options.random,
      ring: () => this.#currentRing(),
      send: (message) => this.#outgoing.push(message),
      probeBody: (number, target, at) => this.#probeBody(number, target, at),
      onFailure: (target, failedAt) =>
        this.#claims.suspect(target.host, target.incarnation, failedAt),
    });
    this.#repair = new MembershipRepair({
      claims: this.#claims,
      random: options.random,
      seeds: options.seeds,
      send: (message) => this.#outgoing.push(message),
      retry: (record, at) => this.#prober.retry(record, at),
    }, now);
  }

  /** Returns this router as its peers see it. */
  self(): Member {
    const { host, dataCentre, address, callerAddress, incarnation, leaving } =
      this.#claims.self;
    return { host, dataCentre, address, callerAddress, incarnation, leaving };
  }

  /** Returns alive and suspect members in ring order, including this router. */
  members(): readonly Member[] {
    return this.#claims.table.members();
  }

  /** Increases with every change of `members()`. */
  get version(): number {
    return this.#claims.table.version;
  }

  /** True once a process with a newer incarnation runs under this host id. */
  get superseded(): boolean {
    return this.#claims.superseded;
  }

  /** True once a peer has sent its view, or if there are no seeds. */
  get joined(): boolean {
    return this.#claims.joined;
  }

  /** Adds seed addresses to join through. */
  addSeeds(addresses: readonly SocketAddress[]): void {
    this.#repair.addSeeds(addresses);
  }

  /** Returns statistics for the state dump. */
  statistics(): MembershipStatistics {
    const { table, suspects, self, joined, superseded } = this.#claims;
    return {
      live: table.members().length,
      suspects,
      remembered: table.dead().size,
      targets: this.#prober.targets().map((target) => target.host),
      refutation: self.refutation,
      joined,
      superseded,
      syncs: this.#repair.syncs,
      rejectedMessages: this.#rejectedMessages,
    };
  }

  /** Runs due probes, timeouts and repairs; returns their messages. */
  tick(now: number): MembershipMessage[] {
    if (this.superseded) return [];
    if (now - this.#lastTick > PAUSE_THRESHOLD_MILLISECONDS) {
      this.#prober.reset();
      this.#claims.restartSuspicions(now);
    }
    this.#lastTick = now;
    this.#prober.tick(now);
    this.#claims.tick(now);
    this.#repair.tick(now);
    this.#push(now);
    return this.#takeOutgoing();
  }

  /** Handles a message; a malformed one is counted and dropped. */
  receive(
    kind: MembershipMessageKind,
    body: unknown,
    from: MembershipSender,
    now: number,
  ): MembershipMessage[] {
    if (this.superseded) return [];
    const accepted = kind === "membership.probe"
      ? this.#receiveProbe(body, from, now)
      : kind === "membership.probe_indirect"
      ? this.#receiveIndirectProbe(body, from, now)
      : kind === "membership.sync"
      ? this.#repair.receive(body, from.address, now)
      : this.#receiveUpdates(body, now);
    if (!accepted) this.#rejectedMessages++;
    return this.#takeOutgoing();
  }

  /** Announces that this router is leaving. */
  leave(now: number): void {
    if (!this.#claims.self.leaving) {
      this.#claims.updateSelf({ leaving: true }, now);
    }
  }

  /** Marks this router as left and returns its final messages. */
  depart(now: number): MembershipMessage[] {
    if (this.superseded) return [];
    const monitors = this.#currentRing().monitorsOf(this.#options.self.host);
    this.#claims.updateSelf({ leaving: true, state: "left" }, now);
    const body = { u: [packRecord(this.#claims.self, now)] };
    for (const { address } of monitors) {
      this.#send(address, "membership.updates", body);
    }
    this.#push(now);
    return this.#takeOutgoing();
  }

  #takeOutgoing(): MembershipMessage[] {
    const messages = this.#outgoing;
    this.#outgoing = [];
    return messages;
  }

  #send(to: SocketAddress, kind: MembershipMessageKind, body: unknown): void {
    this.#outgoing.push({ to, kind, body });
  }

  #currentRing(): MembershipRing {
    if (this.#ringVersion !== this.version) {
      this.#ring = createMembershipRing(this.members());
      this.#ringVersion = this.version;
    }
    return this.#ring;
  }

  #probeBody(number: number, target: ProbeTarget, now: number): unknown {
    const { table } = this.#claims;
    const claim = table.get(target.host);
    const body = { q: number, d: table.digest };
    const agrees = !claim || claim.state === "alive" ||
      claim.incarnation !== target.incarnation;
    return agrees ? body : { ...body, r: [packRecord(claim, now)] };
  }

  #receiveProbe(body: unknown, from: MembershipSender, now: number): boolean {
    const parsed = probeSchema.safeParse(body);
    if (!parsed.success) return false;
    const { q, a, d, r } = parsed.data;
    this.#claims.applyAll(r ?? [], now);
    if (q !== undefined) {
      this.#replyToProbe(q, r !== undefined, from, now);
      this.#repair.joinThrough(from.address, now);
    }
    if (a !== undefined) this.#handleReply(a, d, from, now);
    return true;
  }

  /**
   * Replies to a probe. A record of the sender that is not alive or has another
   * incarnation is included for the sender to refute.
   */
  #replyToProbe(
    number: number,
    includeSelf: boolean,
    from: MembershipSender,
    now: number,
  ): void {
    const { table, self } = this.#claims;
    const claim = table.get(from.host);
    const contradicts = claim && (claim.state !== "alive" ||
      claim.incarnation !== from.incarnation);
    const records = [
      ...includeSelf ? [packRecord(self, now)] : [],
      ...contradicts ? [packRecord(claim, now)] : [],
    ];
    const body = { a: number, d: table.digest };
    this.#send(
      from.address,
      "membership.probe",
      records.length > 0 ? { ...body, r: records } : body,
    );
  }

  #handleReply(
    number: number,
    digest: number,
    from: MembershipSender,
    now: number,
  ): void {
    const probe = this.#prober.acceptReply(number, from.host, from.incarnation);
    if (!probe) return;
    if (probe.requester) {
      const { address, number: requested } = probe.requester;
      this.#send(address, "membership.probe_indirect", { a: requested });
    }
    if (probe.stage === "retry") this.#repair.sync(from.address, now);
    else this.#repair.compareDigest(digest, from.address, now);
  }

  #receiveIndirectProbe(
    body: unknown,
    from: MembershipSender,
    now: number,
  ): boolean {
    const parsed = indirectProbeSchema.safeParse(body);
    if (!parsed.success) return false;
    const { q, a, t } = parsed.data;
    if (a !== undefined) this.#prober.acceptIndirectReply(a);
    if (q === undefined || !t) return true;
    const target = {
      host: brandId<HostId>(t[0]),
      incarnation: brandId<IncarnationId>(t[1]),
      address: brandId<SocketAddress>(t[2]),
    };
    this.#prober.relay(target, { address: from.address, number: q }, now);
    return true;
  }

  #receiveUpdates(body: unknown, now: number): boolean {
    const parsed = updatesSchema.safeParse(body);
    if (parsed.success) this.#claims.applyAll(parsed.data.u, now);
    return parsed.success;
  }

  #push(now: number): void {
    const hosts = this.#claims.takeChanged();
    if (hosts.length === 0) return;
    const { table } = this.#claims;
    const records = hosts.map((host) => table.get(host)).filter((record) =>
      record !== undefined
    ).map((record) => packRecord(record, now));
    const peers = pickPushPeers(
      this.#options.self.host,
      this.members(),
      this.#currentRing(),
      this.#options.random,
    );
    for (let at = 0; at < records.length; at += MAXIMUM_RECORDS_PER_PUSH) {
      const body = { u: records.slice(at, at + MAXIMUM_RECORDS_PER_PUSH) };
      for (const { address } of peers) {
        this.#send(address, "membership.updates", body);
      }
    }
  }
}

/** Creates the membership state of one router. */
export function createMembership(
  options: MembershipOptions,
  now: number,
): Membership {
  return new Membership(options, now);
}
