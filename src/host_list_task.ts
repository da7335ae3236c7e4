/**
 * Tracks the platform's list of leaving hosts. Only the watchers of each data
 * centre read it and send it to the other routers, so that the number of platform
 * calls does not grow with the fleet.
 */
import { z } from "zod";
import { isWatcher } from "./core/configuration_tree.ts";
import type { RandomSource } from "./core/random.ts";
import type { MembershipView } from "./membership_view.ts";
import type { PeerNetwork } from "./peer_network.ts";
import type { PlatformClient } from "./platform_client.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

const READ_PERIOD_MILLISECONDS = 1_000;
/** How often routers compare lists with a random peer, in case they missed one. */
const REPAIR_PERIOD_MILLISECONDS = 5_000;
const REPAIR_TIMEOUT_MILLISECONDS = 1_000;

const _hostListSchema = z.object({
  /** Wall-clock time of the read, in milliseconds; the newest list wins. */
  readAt: z.number(),
  leaving: z.array(z.string()),
});

type _HostList = z.infer<typeof _hostListSchema>;

/** Options of {@link HostListTask}. */
export interface HostListTaskOptions {
  readonly network: PeerNetwork;
  readonly members: MembershipView;
  readonly platform: PlatformClient;
  readonly timers: TimerService;
  readonly random: RandomSource;
}

/** Keeps the list of leaving hosts up to date. */
export class HostListTask extends Task {
  override readonly name = "host_list";
  readonly #options: HostListTaskOptions;
  readonly #listeners: (() => void)[] = [];
  #list: _HostList = { readAt: 0, leaving: [] };
  #subscriptions: Subscription[] = [];
  #isReading = false;

  constructor(options: HostListTaskOptions) {
    super();
    this.#options = options;
  }

  override async start(): Promise<void> {
    const { network, timers } = this.#options;
    network.handle("hosts.listed", (body) => {
      this.#receive(body);
      return this.#list;
    });
    this.#subscriptions = [
      timers.every(READ_PERIOD_MILLISECONDS, "host_list.read", () => {
        if (this.#isWatching() && !this.#isReading) void this.#read();
      }),
      timers.every(REPAIR_PERIOD_MILLISECONDS, "host_list.repair", () => {
        if (!this.#isWatching()) void this.#repair();
      }),
    ];
  }

  override async stop(): Promise<void> {
    for (const subscription of this.#subscriptions) subscription.cancel();
  }

  override describe(): unknown {
    return { ...this.#list, watching: this.#isWatching() };
  }

  /** Returns the hosts that the newest known list names as leaving. */
  leavingHosts(): readonly string[] {
    return this.#list.leaving;
  }

  /** Calls the listener whenever the set of leaving hosts has changed. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  #isWatching(): boolean {
    const { members } = this.#options;
    const live = members.liveMembers().filter((member) => !member.leaving);
    return isWatcher(members.self(), live);
  }

  async #read(): Promise<void> {
    const { platform, timers } = this.#options;
    this.#isReading = true;
    const listed = await platform.listHosts();
    this.#isReading = false;
    if (listed.isErr()) return;
    const leaving = listed.value
      .filter(({ state }) => state === "leaving")
      .map(({ host }) => host)
      .sort();
    const readAt = timers.clock.wallMilliseconds();
    if (this.#accept({ readAt, leaving })) this.#broadcast();
  }

  #broadcast(): void {
    const { network, members } = this.#options;
    const self = members.self().incarnation;
    for (const member of members.liveMembers()) {
      if (member.incarnation !== self) {
        network.send(member.address, "hosts.listed", this.#list);
      }
    }
  }

  async #repair(): Promise<void> {
    const { network, members, random } = this.#options;
    const self = members.self().incarnation;
    const others = members.liveMembers().filter(({ incarnation }) =>
      incarnation !== self
    );
    const peer = others[random.integer(others.length)];
    if (!peer) return;
    const reply = await network.request(
      peer.address,
      "hosts.listed",
      this.#list,
      REPAIR_TIMEOUT_MILLISECONDS,
    );
    if (reply.isOk()) this.#receive(reply.value);
  }

  #receive(body: unknown): void {
    const list = _hostListSchema.safeParse(body);
    if (list.success) this.#accept(list.data);
  }

  /** Stores the list if it is newer; returns whether the leaving hosts changed. */
  #accept(list: _HostList): boolean {
    if (list.readAt <= this.#list.readAt) return false;
    const hasChanged = list.leaving.join() !== this.#list.leaving.join();
    this.#list = list;
    if (hasChanged) {
      for (const listener of this.#listeners) listener();
    }
    return hasChanged;
  }
}
