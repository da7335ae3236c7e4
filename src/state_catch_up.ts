/**
 * Relays registration changes and, in a large fleet, new configuration versions
 * to peers. Fetches the state from a peer when this router stays behind it, since
 * its own watch may be dead or the store may reject its calls.
 */
import { z } from "zod";
import { isPreferredCollector } from "./core/collectors.ts";
import { safeParseConfiguration } from "./core/configuration_parser.ts";
import type { GatewayConfiguration } from "./core/gateway_configuration.ts";
import type { HostId, SocketAddress } from "./core/ids.ts";
import { decideEra, eraOf } from "./core/store_revision.ts";
import { registryChangesSchema } from "./core/server_registrations.ts";
import type { WatchPosition } from "./core/watch_schedule.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import type { RouterListing } from "./gateway_report.ts";
import { type GatewayStateTask, safeParseState } from "./gateway_state_task.ts";
import type {
  PeerIdentity,
  PeerMessageKind,
  PeerNetwork,
} from "./peer_network.ts";

/** A router behind a peer for this long no longer waits for the change to arrive. */
const CATCH_UP_DELAY_MILLISECONDS = 300;
const STATE_REQUEST_TIMEOUT_MILLISECONDS = 1_000;
/** Number of routers of the fleet that watch the registry in the store. */
const WATCHER_COUNT = 4;
/** Number of them that also watch the evacuations. */
const EVACUATION_WATCHER_COUNT = 2;
/** After its start, a router waits at most this long for the list of the others. */
const LIST_WAIT_MILLISECONDS = 1_000;
/** After its start, a router of a small fleet learns for this long which others are preferred. */
const DIRECT_PREFERRED_DISCOVERY_MILLISECONDS = 200;
/** Others leave the preferred routers of a small fleet this much time to start to watch. */
const DIRECT_DISCOVERY_MILLISECONDS = 1_000;
/** After its start, a router of a large fleet learns for this long which others are preferred. */
const PREFERRED_DISCOVERY_MILLISECONDS = 1_500;
/** Others leave the preferred routers of a large fleet this much time to start to watch. */
const WATCHER_DISCOVERY_MILLISECONDS = 3_000;
/** A watching router that has been silent for this long is replaced. */
const WATCHER_TIMEOUT_MILLISECONDS = 1_000;
/** A watching router known only from listings is replaced after this much silence. */
const LISTED_WATCHER_TIMEOUT_MILLISECONDS = 2_500;

/**
 * Larger configurations are only announced: every router would otherwise receive
 * a copy from each collector of its data centre.
 */
const MAXIMUM_PUSHED_ROUTES = 50;
/**
 * Announced configurations up to this size are fetched from the announcing
 * router. Larger ones are read from the store, since a collector would have to
 * send a copy to each router of its data centre.
 */
const MAXIMUM_FETCHED_ROUTES = 300;
/**
 * A router that has just started reads its state from the store; after this time
 * it fetches the state from a peer. When a whole fleet restarts, the first routers
 * would otherwise have to send their state to all others.
 */
const FIRST_READ_MILLISECONDS = 1_000;
/** Time for reading an announced version before it is fetched from a peer. */
const ANNOUNCED_READ_MILLISECONDS = 1_500;

/** A new version, with its content if the configuration is small. */
interface _ConfigurationAnnouncement {
  readonly version: number;
  readonly routes: number;
  readonly configuration?: GatewayConfiguration;
}

/** The content is validated later, and only if the version is new. */
const _announcementSchema = z.object({
  version: z.number().int(),
  routes: z.number().int(),
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
  /** Whether this router has listed the others since its start. */
  readonly hasListedRouters: () => boolean;
  /** Whether changes would reach this router through its peers. */
  readonly receivesFromCollectors: () => boolean;
  readonly now: () => number;
}

/** Keeps this router's state as new as its peers'. */
export class StateCatchUp {
  readonly #options: StateCatchUpOptions;
  #isFetching = false;
  #isStopped = false;
  /** Newest version that was relayed. */
  #announcedVersion = 0;
  /** Until when announced versions are read, not fetched from a peer. */
  #readDeadline = -Infinity;
  /** Whether this router watched the registry when it was last asked. */
  #wasWatching = false;
  #startedAt = Number.NEGATIVE_INFINITY;
  /** When this router first had the state that a watch continues. */
  #knownSince: number | undefined;

  constructor(options: StateCatchUpOptions) {
    this.#options = options;
    const { network, state } = options;
    state.registryTask.setWatchDecision(() => this.#registryWatch());
    state.setWatchDecision(() => this.#configurationWatch());
    state.evacuationTask.setWatchDecision(() => this.#evacuationWatch());
    state.registryTask.onChange((changes) =>
      this.#relay("gateway.registry", changes)
    );
    state.onConfiguration((next, isFirst) =>
      this.#relayConfiguration(next, isFirst)
    );
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

  start(): void {
    this.#startedAt = this.#options.now();
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Fetches from a peer that has been ahead for longer than a relayed change takes. */
  fetchIfBehind(): void {
    const now = this.#options.now();
    for (const peer of this.#options.peers()) {
      if (!this.#isAhead(peer)) {
        peer.behindSince = undefined;
        continue;
      }
      peer.behindSince ??= now;
      const isOverdue = now - peer.behindSince >= CATCH_UP_DELAY_MILLISECONDS &&
        now >= this.#readDeadline;
      if (isOverdue && !this.#isFirstReadPending()) void this.#fetch(peer);
    }
  }

  /** Whether this router has just started and still reads from the store. */
  #isFirstReadPending(): boolean {
    const { state, now } = this.#options;
    const isPending = !state.isKnown() && !state.isStoreUnavailable;
    return isPending && now() - this.#startedAt < FIRST_READ_MILLISECONDS;
  }

  #isAhead({ report }: GatewayPeer): boolean {
    if (!report) return false;
    const { state } = this.#options;
    const own = state.versions();
    const { registryRevision, registryDigest } = report;
    const isRestored =
      decideEra(own.registryRevision, eraOf(registryRevision)) ===
        "restored";
    const hasSameServers = own.registryRevision > 0 &&
      registryDigest === state.registry.digest;
    if (isRestored && hasSameServers) {
      state.registry.confirm(registryRevision);
      return report.configurationVersion > own.configurationVersion;
    }
    return report.configurationVersion > own.configurationVersion ||
      (report.registryRevision > own.registryRevision &&
        report.registryDigest !== state.registry.digest);
  }

  /** Place among the routers that watch the registry, if too few others do. */
  #registryWatch(): WatchPosition | undefined {
    const { receivesFromCollectors } = this.#options;
    if (this.#isDiscovering()) return undefined;
    const rank = this.#countPreferred(({ isWatching }) => isWatching);
    if (receivesFromCollectors() && rank >= WATCHER_COUNT) return undefined;
    const expected = Math.min(WATCHER_COUNT, this.#countLive());
    return { rank, watchers: Math.max(rank + 1, expected) };
  }

  /**
   * Place among the routers that watch the evacuations: the first of those that
   * watch the registry, and every router that no collector tells anything. The
   * others read them once when they begin to watch the registry.
   */
  #evacuationWatch(): WatchPosition | undefined {
    const { state, receivesFromCollectors } = this.#options;
    const { isWatching } = state.registryTask;
    // The routers that rank before one that takes over may have lost the store too.
    const takesOver = isWatching && !this.#wasWatching;
    this.#wasWatching = isWatching;
    if (!isWatching) return undefined;
    const position = this.#registryWatch();
    if (!position) return undefined;
    const { rank } = position;
    const isPreferred = rank < EVACUATION_WATCHER_COUNT || takesOver;
    if (!isPreferred && receivesFromCollectors()) return undefined;
    const expected = Math.min(EVACUATION_WATCHER_COUNT, this.#countLive());
    return { rank, watchers: Math.max(rank + 1, expected) };
  }

  /**
   * Place among the routers that watch the configuration. In a large fleet they are
   * those that watch the registry: a version completes all their watch calls.
   */
  #configurationWatch(): WatchPosition | undefined {
    if (this.#options.isHierarchical()) return this.#registryWatch();
    if (this.#isDiscovering()) return undefined;
    const rank = this.#countPreferred(() => true);
    return { rank, watchers: this.#countLive() };
  }

  /**
   * Whether this router has started so recently that it may not know the
   * watching routers. If all routers of a fleet start together and watch at
   * once, every registration completes a call of each of them.
   */
  #isDiscovering(): boolean {
    const { now, hasListedRouters } = this.#options;
    this.#knownSince ??= now();
    const uptime = now() - this.#knownSince;
    if (uptime >= WATCHER_DISCOVERY_MILLISECONDS) return false;
    if (!hasListedRouters()) return uptime < LIST_WAIT_MILLISECONDS;
    if (!this.#knowsPeers()) return false;
    return uptime < this.#discoveryMilliseconds();
  }

  #discoveryMilliseconds(): number {
    const isPreferred = this.#countPreferred(() => true) < WATCHER_COUNT;
    if (this.#options.isHierarchical()) {
      return isPreferred
        ? PREFERRED_DISCOVERY_MILLISECONDS
        : WATCHER_DISCOVERY_MILLISECONDS;
    }
    return isPreferred
      ? DIRECT_PREFERRED_DISCOVERY_MILLISECONDS
      : DIRECT_DISCOVERY_MILLISECONDS;
  }

  #knowsPeers(): boolean {
    for (const _peer of this.#options.peers()) return true;
    return false;
  }

  /** Number of live routers that rank before this one and match. */
  #countPreferred(matches: (listing: RouterListing) => boolean): number {
    let count = 0;
    for (const peer of this.#options.peers()) {
      const { listing } = peer;
      if (!listing || !matches(listing) || !this.#isAlive(peer)) continue;
      if (isPreferredCollector(listing, this.#options)) count++;
    }
    return count;
  }

  /** Number of live routers, including this one. */
  #countLive(): number {
    let count = 1;
    for (const peer of this.#options.peers()) {
      if (peer.listing && this.#isAlive(peer)) count++;
    }
    return count;
  }

  #isAlive({ directAt, heardAt }: GatewayPeer): boolean {
    // A router that now reports only to others is known from their listings.
    const isListed = heardAt > directAt;
    const limit = isListed
      ? LISTED_WATCHER_TIMEOUT_MILLISECONDS
      : WATCHER_TIMEOUT_MILLISECONDS;
    return this.#options.now() - heardAt < limit;
  }

  #relayConfiguration(
    configuration: GatewayConfiguration,
    isFirst: boolean,
  ): void {
    if (!this.#options.isHierarchical()) return;
    const { version, routes: { length: routes } } = configuration;
    // Others that start at the same time read their first version themselves.
    if (isFirst) return void (this.#announcedVersion = version);
    const isPushed = routes <= MAXIMUM_PUSHED_ROUTES;
    this.#announce({ version, routes, ...(isPushed && { configuration }) });
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
    const { version, routes, configuration } = announcement.data;
    // Several routers relay the same version.
    if (version <= state.versions().configurationVersion) return;
    if (this.#isFirstReadPending()) return state.requestRead(version);
    if (configuration === undefined) {
      if (routes <= MAXIMUM_FETCHED_ROUTES) {
        return this.#fetchFrom(from.address);
      }
      state.requestRead(version);
      this.#readDeadline = this.#options.now() + ANNOUNCED_READ_MILLISECONDS;
      return this.#announce({ version, routes });
    }
    const parsed = safeParseConfiguration(configuration);
    if (parsed.isOk()) state.adoptConfiguration(parsed.value, from.host);
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
    this.#fetchFrom(from.address);
  }

  #fetchFrom(address: SocketAddress): void {
    if (this.#isFirstReadPending()) return;
    for (const peer of this.#options.peers()) {
      if (peer.address === address) void this.#fetch(peer);
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
      STATE_REQUEST_TIMEOUT_MILLISECONDS,
    );
    this.#isFetching = false;
    peer.behindSince = undefined;
    if (this.#isStopped) return;
    const host = peer.identity?.host ?? peer.address;
    if (response.isErr()) {
      return this.#logIgnored(host, "gateway.state", response.error.detail);
    }
    const parsed = safeParseState(response.value);
    if (parsed.isOk()) state.adopt(parsed.value, host);
    else this.#logIgnored(host, "gateway.state", parsed.error);
  }

  #logIgnored(peer: string, kind: PeerMessageKind, detail: string): void {
    this.#options.log.write("peer.message_ignored", { peer, kind, detail });
  }
}
