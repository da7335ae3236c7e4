/**
 * Routers that run the production membership code over an in-memory network in
 * simulated time, with message loss, partitions, pauses and crashes. Used by
 * tests and the control bench.
 */
import {
  brandId,
  type DataCentreId,
  type HostId,
  type IncarnationId,
  type SocketAddress,
} from "../src/core/ids.ts";
import {
  createMembership,
  type Membership,
  MEMBERSHIP_TICK_MILLISECONDS,
} from "../src/core/membership.ts";
import type {
  MembershipMessage,
  MembershipMessageKind,
} from "../src/core/membership_messages.ts";
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";
import {
  createFrameReader,
  encodeFrame,
  FRAME_VERSION,
} from "../src/frame_codec.ts";

/** Simulated time per step. */
const STEP_MILLISECONDS = 10;
const START_UNIX_MILLISECONDS = 1_800_000_000_000;

/** Configures a simulated fleet. */
export interface MembershipFleetOptions {
  readonly size: number;
  readonly dataCentres: number;
  readonly seed: number;
  /** Probability that a message is lost. */
  readonly loss: number;
  /** Whether messages pass through the frame codec and are counted. */
  readonly encode: boolean;
}

/** One simulated router. */
export interface SimulatedRouter {
  readonly index: number;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly address: SocketAddress;
  incarnation: IncarnationId;
  membership: Membership;
  state: "running" | "paused" | "killed";
  /** Messages buffered for a paused router, as in its socket buffers. */
  readonly backlog: Delivery[];
}

/** A message in transit. */
export interface Delivery {
  readonly from: SimulatedRouter;
  readonly incarnation: IncarnationId;
  readonly to: SocketAddress;
  readonly kind: MembershipMessageKind;
  readonly body: unknown;
}

/** Totals of the encoded messages. */
export interface FleetTraffic {
  messages: number;
  bytes: number;
}

const MAXIMUM_BACKLOG_MESSAGES = 4_096;

/** A fleet of simulated routers, advanced in fixed time steps. */
export class MembershipFleet {
  readonly routers: SimulatedRouter[] = [];
  readonly traffic: FleetTraffic = { messages: 0, bytes: 0 };
  readonly #options: MembershipFleetOptions;
  readonly #random: RandomSource;
  readonly #byAddress = new Map<SocketAddress, SimulatedRouter>();
  readonly #phases: SimulatedRouter[][];
  #inFlight: Delivery[] = [];
  #partitionOf: ((router: SimulatedRouter) => number) | undefined;
  #restarts = 0;
  now = 0;

  constructor(options: MembershipFleetOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    this.#phases = Array.from(
      { length: MEMBERSHIP_TICK_MILLISECONDS / STEP_MILLISECONDS },
      () => [],
    );
    for (let index = 0; index < options.size; index++) this.#addRouter(index);
  }

  /** Returns the routers that are neither paused nor killed. */
  running(): SimulatedRouter[] {
    return this.routers.filter((router) => router.state === "running");
  }

  /** Advances the simulated time. */
  advance(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.now < end) this.#step();
  }

  /** Advances until the condition holds; returns the time it took, if any. */
  advanceUntil(condition: () => boolean, limit: number): number | undefined {
    const start = this.now;
    while (this.now - start <= limit) {
      if (condition()) return this.now - start;
      this.advance(50);
    }
    return undefined;
  }

  kill(router: SimulatedRouter): void {
    router.state = "killed";
    router.backlog.length = 0;
  }

  pause(router: SimulatedRouter): void {
    if (router.state === "running") router.state = "paused";
  }

  resume(router: SimulatedRouter): void {
    if (router.state !== "paused") return;
    router.state = "running";
    for (const delivery of router.backlog.splice(0)) this.#deliver(delivery);
  }

  /** Replaces the router's process with a new incarnation. */
  restart(router: SimulatedRouter): void {
    this.kill(router);
    router.incarnation = this.#incarnation(router.host);
    router.membership = this.#createMembership(router);
    router.state = "running";
  }

  /** Shuts a router down gracefully: it leaves before it stops. */
  depart(router: SimulatedRouter): void {
    router.membership.leave(this.now);
    this.#send(router, router.membership.depart(this.now));
    this.kill(router);
  }

  /** Partitions the network; messages between partitions are dropped. */
  cut(partitionOf: (router: SimulatedRouter) => number): void {
    this.#partitionOf = partitionOf;
  }

  heal(): void {
    this.#partitionOf = undefined;
  }

  /** Whether each of the routers has exactly these routers as its members. */
  isConverged(routers: readonly SimulatedRouter[] = this.running()): boolean {
    const expected = new Set(routers.map((router) => router.incarnation));
    return routers.every(({ membership }) => {
      const members = membership.members();
      return members.length === expected.size &&
        members.every((member) => expected.has(member.incarnation));
    });
  }

  /** Number of running routers whose member list includes the incarnation. */
  viewsWith(incarnation: IncarnationId): number {
    return this.running().filter((router) =>
      router.membership.members().some((member) =>
        member.incarnation === incarnation
      )
    ).length;
  }

  #incarnation(host: HostId): IncarnationId {
    return brandId<IncarnationId>(`${host}.${this.#random.token()}`);
  }

  #addRouter(index: number): void {
    const host = brandId<HostId>(`host-${index}`);
    const address = brandId<SocketAddress>(
      `127.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7080`,
    );
    const identity = {
      index,
      host,
      dataCentre: brandId<DataCentreId>(
        `data-centre-${index % this.#options.dataCentres}`,
      ),
      address,
      incarnation: this.#incarnation(host),
    };
    const router: SimulatedRouter = {
      ...identity,
      membership: this.#createMembership(identity),
      state: "running",
      backlog: [],
    };
    this.routers.push(router);
    this.#byAddress.set(address, router);
    this.#phases[this.#random.integer(this.#phases.length)]?.push(router);
  }

  #createMembership(
    identity: Pick<
      SimulatedRouter,
      "host" | "dataCentre" | "address" | "incarnation"
    >,
  ): Membership {
    const { host, dataCentre, address, incarnation } = identity;
    const seeds = this.routers.slice(0, 3).map((router) => router.address);
    return createMembership({
      self: {
        host,
        dataCentre,
        address,
        incarnation,
        callerAddress: brandId<SocketAddress>(address.replace("7080", "8080")),
        started: START_UNIX_MILLISECONDS + this.now + this.#restarts++,
      },
      seeds,
      random: createSeededRandom(this.#random.integer(2 ** 31)),
    }, this.now);
  }

  #step(): void {
    this.now += STEP_MILLISECONDS;
    const due = this.#inFlight;
    this.#inFlight = [];
    for (const delivery of due) this.#deliver(delivery);
    const phase = (this.now / STEP_MILLISECONDS) % this.#phases.length;
    for (const router of this.#phases[phase] ?? []) {
      if (router.state !== "running") continue;
      this.#send(router, router.membership.tick(this.now));
    }
  }

  #send(from: SimulatedRouter, messages: readonly MembershipMessage[]): void {
    for (const { to, kind, body } of messages) {
      const decoded = this.#options.encode ? this.#transcode(kind, body) : body;
      if (this.#random.next() < this.#options.loss) continue;
      this.#inFlight.push({
        from,
        incarnation: from.incarnation,
        to,
        kind,
        body: decoded,
      });
    }
  }

  #transcode(kind: MembershipMessageKind, body: unknown): unknown {
    const bytes = encodeFrame({
      v: FRAME_VERSION,
      k: kind,
      i: 0,
      r: false,
      g: 1,
      b: body,
    })._unsafeUnwrap();
    this.traffic.messages++;
    this.traffic.bytes += bytes.length;
    return createFrameReader().push(bytes)._unsafeUnwrap()[0]?.b;
  }

  #deliver(delivery: Delivery): void {
    const target = this.#byAddress.get(delivery.to);
    if (!target || target.state === "killed") return;
    if (
      this.#partitionOf &&
      this.#partitionOf(target) !== this.#partitionOf(delivery.from)
    ) {
      return;
    }
    if (target.state === "paused") {
      if (target.backlog.length < MAXIMUM_BACKLOG_MESSAGES) {
        target.backlog.push(delivery);
      }
      return;
    }
    const { host, address } = delivery.from;
    const { incarnation, kind, body } = delivery;
    const from = { host, address, incarnation };
    this.#send(target, target.membership.receive(kind, body, from, this.now));
  }
}

/** Creates a simulated fleet. */
export function createMembershipFleet(
  options: MembershipFleetOptions,
): MembershipFleet {
  return new MembershipFleet(options);
}
