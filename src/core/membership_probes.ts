/**
 * Probes of one router: which members to probe when, which answers are
 * outstanding, and what to do about a missing one. A missed direct probe is
 * repeated through the member's other monitors before it counts as a failure.
 */
import type { Member } from "../membership_view.ts";
import type { HostId, IncarnationId, SocketAddress } from "./ids.ts";
import type { MembershipMessage } from "./membership_messages.ts";
import type { MembershipRing } from "./membership_ring.ts";
import type { RandomSource } from "./random.ts";

/** Period of the probes of one target. */
export const PROBE_PERIOD_MILLISECONDS = 500;
const PROBE_TIMEOUT_MILLISECONDS = 400;
const INDIRECT_TIMEOUT_MILLISECONDS = 400;
/**
 * Extra members of the same data centre probed after a failure. They make the
 * discovery of a cut data centre spread faster than ring repair alone.
 */
const SWEEP_PROBES = 2;

/** Whom a probe addresses. */
export interface ProbeTarget {
  readonly host: HostId;
  readonly incarnation: IncarnationId;
  readonly address: SocketAddress;
}

type Stage = "direct" | "indirect" | "relayed" | "retry";

/** A probe whose answer is awaited. */
export interface OutstandingProbe {
  readonly target: ProbeTarget;
  /** Who asked for a relayed probe, and under which number. */
  readonly requester?: { address: SocketAddress; number: number };
  stage: Stage;
  deadline: number;
}

/** What the prober needs from the membership of its router. */
export interface MembershipProberOptions {
  readonly self: HostId;
  readonly random: RandomSource;
  readonly ring: () => MembershipRing;
  readonly send: (message: MembershipMessage) => void;
  /** Body of a probe: adds the digest and a claim about the target. */
  readonly probeBody: (
    number: number,
    target: ProbeTarget,
    now: number,
  ) => unknown;
  /** Called when neither direct nor indirect probes were answered. */
  readonly onFailure: (target: ProbeTarget, now: number) => void;
}

/** Runs the probes of one router. */
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

  /** Members that this router monitors. */
  targets(): readonly Member[] {
    return this.#targets;
  }

  /** Sends due probes and handles missing answers. */
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

  /** Drops outstanding probes: after a pause their answers prove nothing. */
  reset(): void {
    this.#outstanding.clear();
  }

  /** Probes a member that is remembered as dead. */
  retry(target: ProbeTarget, now: number): void {
    if (!this.#isProbing(target.host)) this.#probe(target, "retry", now);
  }

  /** Probes a member for another monitor. */
  relay(
    target: ProbeTarget,
    requester: { address: SocketAddress; number: number },
    now: number,
  ): void {
    this.#probe(target, "relayed", now, requester);
  }

  /** Settles a probe that its target answered; undefined if it is not awaited. */
  answered(
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

  /** Settles a probe that another monitor reported as answered. */
  answeredIndirectly(number: number): void {
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
        probe.deadline = now + INDIRECT_TIMEOUT_MILLISECONDS;
        continue;
      }
      this.#outstanding.delete(number);
      if (probe.stage === "relayed" || probe.stage === "retry") continue;
      this.#options.onFailure(probe.target, now);
      this.#sweep(probe.target.host, now);
    }
  }

  #probeIndirectly(number: number, probe: OutstandingProbe): boolean {
    const { host, incarnation, address } = probe.target;
    const helpers = this.#options.ring().monitorsOf(host).filter((monitor) =>
      monitor.host !== this.#options.self
    );
    for (const helper of helpers) {
      this.#options.send({
        to: helper.address,
        kind: "membership.probe_indirect",
        body: { q: number, t: [host, incarnation, address] },
      });
    }
    return helpers.length > 0;
  }

  #sweep(failed: HostId, now: number): void {
    const ring = this.#options.ring();
    const others = ring.neighboursOf(failed);
    if (others.length === 0) return;
    for (let count = 0; count < SWEEP_PROBES; count++) {
      const pick = this.#options.random.integer(others.length);
      const member = others[pick] as Member;
      const skipped = member.host === failed ||
        member.host === this.#options.self || this.#isProbing(member.host);
      if (!skipped) this.#probe(member, "direct", now);
    }
  }
}
