/**
 * Failure detector of one router: schedules probes, tracks outstanding replies
 * and handles timeouts. After a direct probe times out, the member's other
 * monitors probe it indirectly before it counts as failed.
 */
import type { Member } from "../membership_view.ts";
import type { HostId, IncarnationId, SocketAddress } from "./ids.ts";
import type { MembershipMessage } from "./membership_messages.ts";
import type { MembershipRing } from "./membership_ring.ts";
import type { RandomSource } from "./random.ts";

/** Interval between probes of one target. */
export const PROBE_PERIOD_MILLISECONDS = 500;
const PROBE_TIMEOUT_MILLISECONDS = 400;
const INDIRECT_PROBE_TIMEOUT_MILLISECONDS = 400;
/**
 * Random members of the failed member's data centre that are probed as well.
 * They detect a partitioned data centre faster than ring repair alone.
 */
const EXTRA_PROBES = 2;

/** The member that a probe addresses. */
export interface ProbeTarget {
  readonly host: HostId;
  readonly incarnation: IncarnationId;
  readonly address: SocketAddress;
}

type Stage = "direct" | "indirect" | "relayed" | "retry";

/** A probe that awaits its reply. */
export interface OutstandingProbe {
  readonly target: ProbeTarget;
  /** Router that requested a relayed probe, and its probe number. */
  readonly requester?: { address: SocketAddress; number: number };
  stage: Stage;
  deadline: number;
}

/** Options for `MembershipProber`. */
export interface MembershipProberOptions {
  readonly self: HostId;
  readonly random: RandomSource;
  readonly ring: () => MembershipRing;
  readonly send: (message: MembershipMessage) => void;
  /** Builds the body of a probe, with the digest and any claim about the target. */
  readonly probeBody: (
    number: number,
    target: ProbeTarget,
    now: number,
  ) => unknown;
  /** Called when both direct and indirect probes timed out. */
  readonly onFailure: (target: ProbeTarget, now: number) => void;
}

/** Probes the members that one router monitors. */
export class MembershipProber {
  readonly #options: MembershipProberOptions;
  readonly #outstanding = new Map<number, OutstandingProbe>();
  readonly #nextProbe = new Map<HostId, number>();
  #targets: readonly Member[] = [];
  #ring: MembershipRing | undefined;
  #nextNumber = 1;

  constructor(options: MembershipProberOptions) {
    this.#options = options;
  }

  /** Returns the members that this router monitors. */
  targets(): readonly Member[] {
    return this.#targets;
  }

  /** Handles timed-out probes and sends due ones. */
  tick(now: number): void {
    this.#refreshTargets(now);
    this.#expire(now);
    for (const target of this.#targets) {
      const due = this.#nextProbe.get(target.host) ?? now;
      if (due > now) continue;
      this.#nextProbe.set(target.host, now + PROBE_PERIOD_MILLISECONDS);
      if (!this.#isProbing(target.host)) this.#probe(target, "direct", now);
    }
  }

  /**
   * Drops outstanding probes: after this process was suspended, their replies
   * and timeouts are no evidence about the targets.
   */
  reset(): void {
    this.#outstanding.clear();
  }

  /** Probes a member that was declared dead. */
  retry(target: ProbeTarget, now: number): void {
    if (!this.#isProbing(target.host)) this.#probe(target, "retry", now);
  }

  /** Probes a member on behalf of another monitor. */
  relay(
    target: ProbeTarget,
    requester: { address: SocketAddress; number: number },
    now: number,
  ): void {
    this.#probe(target, "relayed", now, requester);
  }

  /** Completes and returns the probe that a reply belongs to, if any. */
  acceptReply(
    number: number,
    host: HostId,
    incarnation: IncarnationId,
  ): OutstandingProbe | undefined {
    const probe = this.#outstanding.get(number);
    const expected = probe?.target;
    if (expected?.host !== host || expected.incarnation !== incarnation) {
      return undefined;
    }
    this.#outstanding.delete(number);
    return probe;
  }

  /** Completes an indirect probe that another monitor reported as successful. */
  acceptIndirectReply(number: number): void {
    if (this.#outstanding.get(number)?.stage === "indirect") {
      this.#outstanding.delete(number);
    }
  }

  #isProbing(host: HostId): boolean {
    for (const { target, stage } of this.#outstanding.values()) {
      if (target.host === host && stage !== "relayed") return true;
    }
    return false;
  }

  #refreshTargets(now: number): void {
    const ring = this.#options.ring();
    if (ring === this.#ring) return;
    this.#ring = ring;
    this.#targets = ring.targetsOf(this.#options.self);
    const hosts = new Set(this.#targets.map((target) => target.host));
    for (const host of [...this.#nextProbe.keys()]) {
      if (!hosts.has(host)) this.#nextProbe.delete(host);
    }
    for (const host of hosts) {
      if (this.#nextProbe.has(host)) continue;
      const phase = this.#options.random.integer(PROBE_PERIOD_MILLISECONDS);
      this.#nextProbe.set(host, now + phase);
    }
  }

  #probe(
    target: ProbeTarget,
    stage: Stage,
    now: number,
    requester?: { address: SocketAddress; number: number },
  ): void {
    const number = this.#nextNumber++;
    const deadline = now + PROBE_TIMEOUT_MILLISECONDS;
    const probe = { target, stage, deadline };
    this.#outstanding.set(number, requester ? { ...probe, requester } : probe);
    this.#options.send({
      to: target.address,
      kind: "membership.probe",
      body: this.#options.probeBody(number, target, now),
    });
  }

  #expire(now: number): void {
    for (const [number, probe] of [...this.#outstanding]) {
      if (probe.deadline > now) continue;
      if (probe.stage === "direct" && this.#probeIndirectly(number, probe)) {
        probe.stage = "indirect";
        probe.deadline = now + INDIRECT_PROBE_TIMEOUT_MILLISECONDS;
        continue;
      }
      this.#outstanding.delete(number);
      if (probe.stage === "relayed" || probe.stage === "retry") continue;
      this.#options.onFailure(probe.target, now);
      this.#probeSameDataCentre(probe.target.host, now);
    }
  }

  #probeIndirectly(number: number, probe: OutstandingProbe): boolean {
    const { host, incarnation, address } = probe.target;
    const relays = this.#options.ring().monitorsOf(host).filter((monitor) =>
      monitor.host !== this.#options.self
    );
    for (const relay of relays) {
      this.#options.send({
        to: relay.address,
        kind: "membership.probe_indirect",
        body: { q: number, t: [host, incarnation, address] },
      });
    }
    return relays.length > 0;
  }

  #probeSameDataCentre(failed: HostId, now: number): void {
    const ring = this.#options.ring();
    const others = ring.dataCentreMembersOf(failed);
    if (others.length === 0) return;
    for (let count = 0; count < EXTRA_PROBES; count++) {
      const pick = this.#options.random.integer(others.length);
      const member = others[pick] as Member;
      const skipped = member.host === failed ||
        member.host === this.#options.self || this.#isProbing(member.host);
      if (!skipped) this.#probe(member, "direct", now);
    }
  }
}
