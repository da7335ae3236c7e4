/**
 * Reports the loads of the servers that this router owns to the aggregator of
 * its data centre, aggregates loads if this router is the aggregator, and
 * forwards summaries to its children in the data centre's tree.
 */
import type { PoolLoad } from "./core/pool_share.ts";
import type {
  BackendServerId,
  DataCentreId,
  HostId,
  IncarnationId,
} from "./core/ids.ts";
import {
  createFleetCatalogue,
  createLoadCatalogue,
  type LoadCatalogue,
} from "./core/load_catalogue.ts";
import {
  createLoadAggregator,
  type ServerLoad,
} from "./core/load_aggregator.ts";
import {
  type LoadSummary,
  poolsOfSummary,
  relativeLoads,
} from "./core/load_summary.ts";
import { aggregatorKey, summaryChildren } from "./core/summary_tree.ts";
import { pickByRendezvous } from "./core/rendezvous.ts";
import type { ConfigurationView } from "./configuration_view.ts";
import {
  type LoadReportBody,
  loadReportSchema,
  loadSummarySchema,
} from "./admission_messages.ts";
import type { Member, MembershipView } from "./membership_view.ts";
import type { PeerIdentity, PeerNetwork } from "./peer_network.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

/** Interval of reports, exchanges and summaries. */
export const LOAD_PERIOD_MILLISECONDS = 250;
/**
 * A new aggregator that does not know all servers publishes nothing for this
 * long, which is enough for routers to learn that another router crashed.
 * Owners keep the latest summary meanwhile.
 */
export const AGGREGATOR_WARM_UP_MILLISECONDS = 5_000;
/** Pool loads count as unknown after this long without a summary. */
export const SUMMARY_LIFETIME_MILLISECONDS = 10_000;

/** Loads of individual servers are sent once in this many rounds. */
const ROUNDS_PER_LOADS = 4;
/**
 * How long other aggregators' summaries are ignored after one of the expected
 * aggregator.
 */
const PREFERRED_SUMMARY_MILLISECONDS = 1_500;
const MAXIMUM_TRACKED_AGGREGATORS = 64;

/** Options of the load task. */
export interface LoadTaskOptions {
  readonly members: MembershipView;
  readonly configuration: ConfigurationView;
  readonly network: PeerNetwork;
  readonly timers: TimerService;
}

/** Reports, aggregates and distributes the loads of backend servers. */
export class LoadTask extends Task {
  override readonly name = "load";
  readonly #options: LoadTaskOptions;
  readonly #aggregator = createLoadAggregator();
  readonly #listeners: (() => void)[] = [];
  readonly #lastSequences = new Map<IncarnationId, number>();
  #subscriptions: Subscription[] = [];
  #loadProvider: () => readonly ServerLoad[] = () => [];
  #catalogue: LoadCatalogue = createLoadCatalogue([]);
  #pools = new Map<string, PoolLoad>();
  #relativeLoads = new Map<BackendServerId, number>();
  #summaryReceivedAt = -Infinity;
  /** When the expected aggregator's last summary was received. */
  #preferredAt = -Infinity;
  /** When this router became the aggregator; undefined if it is not. */
  #aggregatorSince: number | undefined;
  #round = 0;
  /** New aggregators that this router replied to in this round. */
  readonly #repliedTo = new Set<HostId>();

  constructor(options: LoadTaskOptions) {
    super();
    this.#options = options;
  }

  /** Sets the function that returns the loads of this router's servers. */
  setLoadProvider(provider: () => readonly ServerLoad[]): void {
    this.#loadProvider = provider;
  }

  /** Calls the listener after every accepted summary. */
  onSummary(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Returns the configured servers with their pools. */
  catalogue(): LoadCatalogue {
    return this.#catalogue;
  }

  /** Returns the load of a pool; undefined if there is no recent summary. */
  poolLoad(pool: string): PoolLoad | undefined {
    const age = this.#now() - this.#summaryReceivedAt;
    return age > SUMMARY_LIFETIME_MILLISECONDS
      ? undefined
      : this.#pools.get(pool);
  }

  /** Returns when the summary with the current pool loads was received. */
  summaryReceivedAt(): number {
    return this.#summaryReceivedAt;
  }

  /** Returns a server's load relative to its share; undefined if not known. */
  relativeLoad(backendServer: BackendServerId): number | undefined {
    return this.#relativeLoads.get(backendServer);
  }

  override async start(): Promise<void> {
    const { configuration, network, timers } = this.#options;
    this.#readConfiguration();
    configuration.onChange(() => this.#readConfiguration());
    network.handle(
      "load.report",
      (body, from) => this.#receiveReport(body, from),
    );
    network.handle("load.summary", (body) => this.#receiveSummary(body));
    this.#subscriptions = [
      timers.every(
        LOAD_PERIOD_MILLISECONDS,
        "load.round",
        () => this.#runRound(),
      ),
    ];
  }

  override async stop(): Promise<void> {
    for (const subscription of this.#subscriptions) subscription.cancel();
    this.#subscriptions = [];
  }

  override describe(): unknown {
    return {
      isAggregator: this.#aggregatorSince !== undefined,
      summaryAgeMilliseconds: this.#now() - this.#summaryReceivedAt,
      pools: Object.fromEntries(this.#pools),
      knownServers: this.#relativeLoads.size,
    };
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  #readConfiguration(): void {
    const snapshot = this.#options.configuration.current();
    if (snapshot) this.#catalogue = createFleetCatalogue(snapshot.fleet);
  }

  #eligibleMembers(dataCentre: DataCentreId): Member[] {
    return this.#options.members.liveMembers().filter((member) =>
      member.dataCentre === dataCentre && !member.leaving
    );
  }

  #aggregatorOf(dataCentre: DataCentreId): Member | undefined {
    return pickByRendezvous(
      aggregatorKey(dataCentre),
      this.#eligibleMembers(dataCentre),
      (member) => member.host,
    );
  }

  #runRound(): void {
    this.#repliedTo.clear();
    const self = this.#options.members.self();
    const aggregator = this.#aggregatorOf(self.dataCentre);
    const isAggregator = aggregator?.host === self.host;
    if (!isAggregator) this.#aggregatorSince = undefined;
    else if (this.#aggregatorSince === undefined) this.#becomeAggregator();
    this.#report(aggregator, isAggregator);
    if (isAggregator) this.#aggregate(self);
  }

  #becomeAggregator(): void {
    this.#aggregatorSince = this.#now();
    this.#aggregator.inherit({
      pools: this.#pools,
      relativeLoads: this.#relativeLoads,
      atMilliseconds: this.#summaryReceivedAt,
    }, this.#catalogue);
  }

  #report(aggregator: Member | undefined, isAggregator: boolean): void {
    const loads = this.#loadProvider();
    if (isAggregator) {
      this.#aggregator.recordReport(loads, this.#now());
    } else if (aggregator) {
      const body: LoadReportBody = {
        servers: loads.map(({ backendServer, tokens }) => [
          backendServer,
          tokens === undefined ? null : Math.round(tokens),
        ]),
      };
      this.#options.network.send(aggregator.address, "load.report", body);
    }
  }

  #aggregate(self: Member): void {
    const now = this.#now();
    const withLoads = this.#round++ % ROUNDS_PER_LOADS === 0;
    const exchange = this.#exchange(withLoads);
    for (const aggregator of this.#otherAggregators(self.dataCentre)) {
      this.#options.network.send(aggregator.address, "load.report", exchange);
    }
    if (!this.#mayPublish(now)) return;
    const summary = this.#aggregator.summary(
      self.incarnation,
      this.#catalogue,
      withLoads,
      now,
    );
    this.#acceptSummary(summary, true);
  }

  #mayPublish(now: number): boolean {
    const elapsed = now - (this.#aggregatorSince ?? now);
    return elapsed >= AGGREGATOR_WARM_UP_MILLISECONDS ||
      this.#aggregator.knowsAllServers(this.#catalogue, now);
  }

  #otherAggregators(own: DataCentreId): Member[] {
    const dataCentres = new Set(
      this.#options.members.liveMembers().map((member) => member.dataCentre),
    );
    dataCentres.delete(own);
    return [...dataCentres]
      .map((dataCentre) => this.#aggregatorOf(dataCentre))
      .filter((member) => member !== undefined);
  }

  #receiveReport(body: unknown, from: PeerIdentity): void {
    const parsed = loadReportSchema.safeParse(body);
    if (!parsed.success) return;
    const report = parsed.data;
    if ("servers" in report) {
      const loads = report.servers.map(([backendServer, tokens]) => ({
        backendServer,
        tokens: tokens ?? undefined,
      }));
      this.#aggregator.recordReport(loads, this.#now());
    } else if (report.dataCentre === from.dataCentre) {
      const { pools, loads } = report;
      const exchange = loads ? { pools, loads } : { pools };
      this.#aggregator.recordExchange(
        report.dataCentre,
        exchange,
        this.#now(),
      );
      this.#replyToNewAggregator(from);
    }
  }

  /**
   * Sends the loads of this data centre to an aggregator not yet known as its
   * data centre's, so that a new aggregator covers all data centres. Each gets
   * one reply per round, as two that do not know each other would otherwise
   * reply endlessly.
   */
  #replyToNewAggregator(from: PeerIdentity): void {
    if (this.#aggregatorSince === undefined) return;
    if (this.#aggregatorOf(from.dataCentre)?.host === from.host) return;
    const member = this.#options.members.liveMembers()
      .find(({ host }) => host === from.host);
    if (!member || this.#repliedTo.has(from.host)) return;
    this.#repliedTo.add(from.host);
    this.#options.network.send(
      member.address,
      "load.report",
      this.#exchange(true),
    );
  }

  #exchange(withLoads: boolean): LoadReportBody {
    return {
      dataCentre: this.#options.members.self().dataCentre,
      ...this.#aggregator.exchange(this.#catalogue, withLoads, this.#now()),
    };
  }

  #receiveSummary(body: unknown): void {
    const parsed = loadSummarySchema.safeParse(body);
    if (!parsed.success) return;
    const { catalogue, loads, ...totals } = parsed.data;
    const summary: LoadSummary = catalogue === undefined || !loads
      ? totals
      : { ...totals, catalogue, loads };
    const { dataCentre } = this.#options.members.self();
    const expected = this.#aggregatorOf(dataCentre)?.incarnation;
    this.#acceptSummary(summary, summary.aggregator === expected);
  }

  /**
   * Forwards a new summary and applies it. While membership views differ, two
   * aggregators may send partial summaries; those of the expected aggregator
   * take precedence.
   */
  #acceptSummary(summary: LoadSummary, isExpected: boolean): void {
    const { aggregator, sequence } = summary;
    if (sequence <= (this.#lastSequences.get(aggregator) ?? 0)) return;
    if (this.#lastSequences.size >= MAXIMUM_TRACKED_AGGREGATORS) {
      this.#lastSequences.clear();
    }
    this.#lastSequences.set(aggregator, sequence);
    this.#forward(summary);
    const now = this.#now();
    if (isExpected) this.#preferredAt = now;
    else if (now - this.#preferredAt < PREFERRED_SUMMARY_MILLISECONDS) return;
    this.#summaryReceivedAt = now;
    this.#pools = poolsOfSummary(summary);
    const loads = relativeLoads(summary, this.#catalogue);
    if (loads) this.#relativeLoads = loads;
    for (const listener of this.#listeners) listener();
  }

  #forward(summary: LoadSummary): void {
    const { members, network } = this.#options;
    const { dataCentre, host } = members.self();
    const local = members.liveMembers().filter((member) =>
      member.dataCentre === dataCentre
    );
    for (const child of summaryChildren(dataCentre, local, host)) {
      network.send(child.address, "load.summary", summary);
    }
  }
}
