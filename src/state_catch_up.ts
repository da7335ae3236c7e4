/**
 * Relays registration changes and, in a large fleet, new configuration versions
 * to peers. Fetches the state from a peer when this router stays behind it, since
 * its own watch may be dead or the store may reject its calls.
 */
import { z } from "zod";
import { isPreferredCollector } from "./core/collectors.ts";
import {
  type GatewayConfiguration,
  gatewayConfigurationSchema,
} from "./core/gateway_configuration.ts";
import type { HostId, SocketAddress } from "./core/ids.ts";
import { registryChangesSchema } from "./core/server_registry.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import {
  type ConfigurationWatch,
  gatewayStateSchema,
  type GatewayStateTask,
} from "./gateway_state_task.ts";
import type {
  PeerIdentity,
  PeerMessageKind,
  PeerNetwork,
} from "./peer_network.ts";

/** A router behind a peer for this long no longer waits for the change to arrive. */
const CATCH_UP_DELAY_MILLISECONDS = 300;
const STATE_TIMEOUT_MILLISECONDS = 1_000;
/** Number of routers of the fleet that watch the registry in the store. */
const WATCHER_COUNT = 4;
/** After its start, a router of a large fleet first learns which others watch. */
const WATCHER_DISCOVERY_MILLISECONDS = 1_500;
/** A watching router that has been silent for this long is replaced. */
const WATCHER_TIMEOUT_MILLISECONDS = 1_000;
/** The same for a router known only from the listings of others. */
const LISTED_WATCHER_TIMEOUT_MILLISECONDS = 2_500;
/** A router silent for longer is taken to report only to other routers. */
const NO_DIRECT_REPORTS_MILLISECONDS = 5_000;

/**
 * Larger configurations are only announced, and every router reads them from the
 * store: a collector would otherwise send a copy to each router of its data centre.
 */
const MAXIMUM_PUSHED_ROUTES = 50;
/** Time for reading an announced version before it is fetched from a peer. */
const ANNOUNCED_READ_MILLISECONDS = 1_500;

/** A new version, with its content if the configuration is small. */
interface _ConfigurationAnnouncement {
  readonly version: number;
  readonly configuration?: GatewayConfiguration;
}

/** The content is validated later, and only if the version is new. */
const _announcementSchema = z.object({
  version: z.number().int(),
  configuration: z.unknown().optional(),
});

/** Options of {@link StateCatchUp}. */
export interface StateCatchUpOptions {
  readonly network: PeerNetwork;
  readonly state: GatewayStateTask;
  readonly log: DecisionLog;
  readonly host: HostId;
  readonly capacity: number;
  /** All known peers. */
  readonly peers: () => Iterable<GatewayPeer>;
  /** Addresses to which this router relays changes, depending on whether it watches. */
  readonly relayAddresses: (isWatching: boolean) => readonly SocketAddress[];
  /** Whether the fleet is so large that changes are relayed by collectors. */
  readonly isHierarchical: () => boolean;
  /** Whether changes would reach this router through its peers. */
  readonly receivesFromCollectors: () => boolean;
  readonly now: () => number;
}

/** Keeps the state of this router as new as that of its peers. */
export class StateCatchUp {
  readonly #options: StateCatchUpOptions;
  #isFetching = false;
  #isStopped = false;
  /** Newest version that was relayed. */
  #announcedVersion = 0;
  #readDeadline = -Infinity;
  #startedAt: number | undefined;

  constructor(options: StateCatchUpOptions) {
    this.#options = options;
    const { network, state } = options;
    state.registryTask.setWatchDecision(() => this.#shouldWatch());
    state.setWatchDecision(() => this.#decideConfigurationWatch());
    state.registryTask.onChange((changes) =>
      this.#relay("gateway.registry", changes)
    );
    state.onConfiguration((next) => this.#relayConfiguration(next));
    network.handle("gateway.state", () => state.state());
    network.handle(
      "gateway.registry",
      (body, from) => this.#receiveChanges(body, from),
    );
    network.handle(
      "gateway.configuration",
      (body, from) => this.#receiveConfiguration(body, from),
    );
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Fetches from a peer that has been ahead for longer than a relayed change takes. */
  check(): void {
    const now = this.#options.now();
    const { state } = this.#options;
    for (const peer of this.#options.peers()) {
      if (!this.#isAhead(peer)) {
        peer.behindSince = undefined;
        continue;
      }
      peer.behindSince ??= now;
      const isOverdue = now - peer.behindSince >= CATCH_UP_DELAY_MILLISECONDS &&
        now >= this.#readDeadline;
      if (isOverdue || !state.isKnown()) void this.#fetch(peer);
    }
  }

  #isAhead({ report }: GatewayPeer): boolean {
    if (!report) return false;
    const { state } = this.#options;
    const own = state.versions();
    return report.configurationVersion > own.configurationVersion ||
      (report.registryRevision > own.registryRevision &&
        report.registryDigest !== state.registry.digest);
  }

  /** Whether too few higher-ranked routers watch the registry. */
  #shouldWatch(): boolean {
    const {
      receivesFromCollectors,
      isHierarchical,
      now,
    } = this.#options;
    this.#startedAt ??= now();
    const isSettling = now() - this.#startedAt < WATCHER_DISCOVERY_MILLISECONDS;
    if (isSettling && isHierarchical()) return false;
    if (!receivesFromCollectors()) return true;
    let watchers = 0;
    for (const peer of this.#options.peers()) {
      if (!peer.listing?.isWatching || !this.#isAlive(peer)) continue;
      if (isPreferredCollector(peer.listing, this.#options)) watchers++;
    }
    return watchers < WATCHER_COUNT;
  }

  #isAlive({ directAt, heardAt }: GatewayPeer): boolean {
    const now = this.#options.now();
    const silence = now - directAt;
    if (silence < WATCHER_TIMEOUT_MILLISECONDS) return true;
    return silence > NO_DIRECT_REPORTS_MILLISECONDS &&
      now - heardAt < LISTED_WATCHER_TIMEOUT_MILLISECONDS;
  }

  /** In a large fleet, every version would complete a watch call of every router. */
  #decideConfigurationWatch(): ConfigurationWatch {
    if (!this.#options.isHierarchical()) return "for_itself";
    return this.#shouldWatch() ? "for_others" : "not";
  }

  #relayConfiguration(configuration: GatewayConfiguration): void {
    if (!this.#options.isHierarchical()) return;
    const { version, routes } = configuration;
    const isPushed = routes.length <= MAXIMUM_PUSHED_ROUTES;
    this.#announce(isPushed ? { version, configuration } : { version });
  }

  #announce(announcement: _ConfigurationAnnouncement): void {
    if (announcement.version <= this.#announcedVersion) return;
    this.#announcedVersion = announcement.version;
    this.#relay("gateway.configuration", announcement);
  }

  #relay(kind: PeerMessageKind, body: unknown): void {
    const { network, state, relayAddresses } = this.#options;
    for (const address of relayAddresses(state.isWatching)) {
      network.send(address, kind, body);
    }
  }

  #receiveConfiguration(body: unknown, from: PeerIdentity): void {
    if (this.#isStopped) return;
    const announcement = _announcementSchema.safeParse(body);
    if (!announcement.success) {
      return this.#logIgnored(from.host, "gateway.configuration", "malformed");
    }
    const { state } = this.#options;
    const { version, configuration } = announcement.data;
    // Several routers relay the same version.
    if (version <= state.versions().configurationVersion) return;
    if (configuration === undefined) {
      state.requestRead(version);
      this.#readDeadline = this.#options.now() + ANNOUNCED_READ_MILLISECONDS;
      return this.#announce({ version });
    }
    const parsed = gatewayConfigurationSchema.safeParse(configuration);
    if (parsed.success) state.adoptConfiguration(parsed.data, from.host);
    else this.#logIgnored(from.host, "gateway.configuration", "malformed");
  }

  #receiveChanges(body: unknown, from: PeerIdentity): void {
    if (this.#isStopped) return;
    const changes = registryChangesSchema.safeParse(body);
    if (!changes.success) {
      return this.#logIgnored(from.host, "gateway.registry", "malformed");
    }
    const { state } = this.#options;
    if (state.registryTask.receive(changes.data, from.host)) return;
    for (const peer of this.#options.peers()) {
      if (peer.address === from.address) void this.#fetch(peer);
    }
  }

  async #fetch(peer: GatewayPeer): Promise<void> {
    if (this.#isFetching) return;
    this.#isFetching = true;
    const { network, state } = this.#options;
    const response = await network.request(
      peer.address,
      "gateway.state",
      {},
      STATE_TIMEOUT_MILLISECONDS,
    );
    this.#isFetching = false;
    peer.behindSince = undefined;
    if (this.#isStopped) return;
    const host = peer.identity?.host ?? peer.address;
    if (response.isErr()) {
      return this.#logIgnored(host, "gateway.state", response.error.detail);
    }
    const parsed = gatewayStateSchema.safeParse(response.value);
    if (parsed.success) state.adopt(parsed.data, host);
    else this.#logIgnored(host, "gateway.state", z.prettifyError(parsed.error));
  }

  #logIgnored(peer: string, kind: PeerMessageKind, detail: string): void {
    this.#options.log.write("peer.message_ignored", { peer, kind, detail });
  }
}
