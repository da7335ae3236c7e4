/**
 * The membership task of a router. It connects the I/O-free membership protocol
 * to the peer network and timers, and publishes the member list to other tasks.
 */
import type { SocketAddress } from "./core/ids.ts";
import {
  createMembership,
  type Membership,
  MEMBERSHIP_TICK_MILLISECONDS,
} from "./core/membership.ts";
import type { MembershipSelf } from "./core/membership_claims.ts";
import type {
  MembershipMessage,
  MembershipMessageKind,
} from "./core/membership_messages.ts";
import type { RandomSource } from "./core/random.ts";
import { type Member, MembershipView } from "./membership_view.ts";
import type { PeerNetwork } from "./peer_network.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

const MEMBERSHIP_KINDS: readonly MembershipMessageKind[] = [
  "membership.probe",
  "membership.probe_indirect",
  "membership.updates",
  "membership.sync",
];
/** How often further peer addresses are looked up. */
const DISCOVERY_PERIOD_MILLISECONDS = 30_000;
/** Lets the last messages reach the sockets before the network closes. */
const DEPARTURE_FLUSH_MILLISECONDS = 100;

/** Options of {@link MembershipTask}. */
export interface MembershipTaskOptions {
  readonly network: PeerNetwork;
  readonly timers: TimerService;
  readonly random: RandomSource;
  /** This router; the task adds the wall-clock time of its start. */
  readonly self: Omit<MembershipSelf, "started">;
  /** Peer addresses from the settings. */
  readonly seeds: readonly SocketAddress[];
  /** Looks up further peer addresses, for example in the platform's host list. */
  readonly discover?: () => Promise<readonly SocketAddress[]>;
  /** Called once when a newer process has joined as this host; this one must exit. */
  readonly onSuperseded?: () => void;
}

class _PublishedView extends MembershipView {
  readonly #membership: Membership;
  readonly #listeners: (() => void)[] = [];
  #version: number;

  constructor(membership: Membership) {
    super();
    this.#membership = membership;
    this.#version = membership.version;
  }

  override self(): Member {
    return this.#membership.self();
  }

  override liveMembers(): readonly Member[] {
    return this.#membership.members();
  }

  override onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Calls the listeners if the live members changed since the last call. */
  publish(): void {
    if (this.#version === this.#membership.version) return;
    this.#version = this.#membership.version;
    for (const listener of this.#listeners) listener();
  }
}

/** Runs the membership protocol of one router. */
export class MembershipTask extends Task {
  override readonly name = "membership";
  readonly #options: MembershipTaskOptions;
  readonly #membership: Membership;
  readonly #view: _PublishedView;
  readonly #subscriptions: Subscription[] = [];
  #running = false;
  #reportedSuperseded = false;
  #failedDiscoveries = 0;

  constructor(options: MembershipTaskOptions) {
    super();
    this.#options = options;
    const { clock } = options.timers;
    this.#membership = createMembership({
      self: { ...options.self, started: clock.wallMilliseconds() },
      seeds: options.seeds,
      random: options.random,
    }, clock.monotonicMilliseconds());
    this.#view = new _PublishedView(this.#membership);
  }

  /** The members as this router sees them. */
  get view(): MembershipView {
    return this.#view;
  }

  /** True once a peer has responded, or if there is no peer to contact. */
  get joined(): boolean {
    return this.#membership.joined;
  }

  override async start(): Promise<void> {
    const { network, timers } = this.#options;
    this.#running = true;
    for (const kind of MEMBERSHIP_KINDS) {
      network.handle(kind, (body, from) => {
        if (!this.#running) return;
        this.#send(this.#membership.receive(kind, body, from, this.#now()));
      });
    }
    this.#subscriptions.push(
      timers.every(
        MEMBERSHIP_TICK_MILLISECONDS,
        "membership tick",
        () => this.#send(this.#membership.tick(this.#now())),
      ),
      timers.every(
        DISCOVERY_PERIOD_MILLISECONDS,
        "membership discovery",
        () => void this.#discover(),
      ),
    );
    void this.#discover();
    this.#send(this.#membership.tick(this.#now()));
  }

  /** Announces that this router takes on no new work and will stop. */
  leave(): void {
    this.#membership.leave(this.#now());
    this.#send(this.#membership.tick(this.#now()));
  }

  /** Announces that this router has left, then stops. */
  override async stop(): Promise<void> {
    if (!this.#running) return;
    this.#running = false;
    for (const subscription of this.#subscriptions) subscription.cancel();
    this.#send(this.#membership.depart(this.#now()));
    await this.#options.timers.sleep(
      DEPARTURE_FLUSH_MILLISECONDS,
      "membership departure",
    );
  }

  override describe(): unknown {
    return {
      ...this.#membership.statistics(),
      self: this.#membership.self(),
      failedDiscoveries: this.#failedDiscoveries,
      members: this.#membership.members(),
    };
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  #send(messages: readonly MembershipMessage[]): void {
    for (const { to, kind, body } of messages) {
      this.#options.network.send(to, kind, body);
    }
    this.#view.publish();
    if (this.#membership.superseded && !this.#reportedSuperseded) {
      this.#reportedSuperseded = true;
      this.#options.onSuperseded?.();
    }
  }

  async #discover(): Promise<void> {
    if (!this.#options.discover) return;
    try {
      this.#membership.addSeeds(await this.#options.discover());
    } catch {
      this.#failedDiscoveries++;
    }
  }
}

/** Creates the membership task of one router. */
export function createMembershipTask(
  options: MembershipTaskOptions,
): MembershipTask {
  return new MembershipTask(options);
}
