/**
 * Two-level aggregation of loads. Server owners report to the aggregator of
 * their data centre, aggregators exchange their results, and every router gets
 * a summary.
 */
import type { PoolLoad } from "./pool_share.ts";
import type { BackendServerId, DataCentreId, IncarnationId } from "./ids.ts";
import type { LoadCatalogue, PooledServer } from "./load_catalogue.ts";
import { hash32 } from "./hash32.ts";
import {
  decodeExchangeLoads,
  encodeExchangeLoads,
  encodeSummaryLoads,
  type LoadExchange,
  type LoadSummary,
  meanLoad,
  type PoolTotals,
  type ServerState,
} from "./load_summary.ts";

/** A server that is not reported for this long is taken to have no owner. */
export const OWNER_REPORT_TIMEOUT_MILLISECONDS = 750;
/**
 * A server or data centre that is not reported for this long is left out. The
 * time covers the detection of a failed owner: until the next owner reports,
 * the server still belongs to the pool. Leaving it out would raise the mean of
 * the other servers just as they take over its work.
 */
export const LOAD_ENTRY_LIFETIME_MILLISECONDS = 10_000;

/** Time constant of the assumed decay of an unowned server's load. */
const UNOWNED_LOAD_DECAY_MILLISECONDS = 5_000;
/** The load of one server as reported by its owner. */
export interface ServerLoad {
  readonly backendServer: BackendServerId;
  /** Undefined if the server is down, leaving or does not report its load. */
  readonly tokens: number | undefined;
}

/**
 * Chooses between two states of a server: a current state before a stale one,
 * then live before not live, then the lower load, since a mean that is too high
 * would let owners exceed the load bound.
 */
function _preferredState(
  left: ServerState | undefined,
  right: ServerState,
): ServerState {
  if (!left) return right;
  if (left.isStale !== right.isStale) return left.isStale ? right : left;
  if (left.tokens === undefined || right.tokens === undefined) {
    return left.tokens === undefined ? right : left;
  }
  return left.tokens <= right.tokens ? left : right;
}

function _totalsOf(
  states: ReadonlyMap<PooledServer, ServerState>,
): Map<string, PoolTotals> {
  const sums = new Map<string, PoolTotals>();
  for (const [{ pool, capacityTokens }, { tokens }] of states) {
    if (tokens === undefined) continue;
    const [, sum, capacity, count] = sums.get(pool) ?? [pool, 0, 0, 0];
    sums.set(pool, [pool, sum + tokens, capacity + capacityTokens, count + 1]);
  }
  return sums;
}

/** The loads known from summaries when a router becomes the aggregator. */
export interface InheritedLoads {
  readonly pools: ReadonlyMap<string, PoolLoad>;
  /** Loads relative to each server's share; only live servers are included. */
  readonly relativeLoads: ReadonlyMap<BackendServerId, number>;
  /** When the summary was received. */
  readonly atMilliseconds: number;
}

interface _Report extends ServerLoad {
  readonly reportedAt: number;
}

interface _ReceivedExchange extends LoadExchange {
  readonly loads: Uint8Array;
  readonly receivedAt: number;
}

/** Aggregates the loads of one data centre and the others' exchanges. */
export interface LoadAggregator {
  /** Records the loads that an owner reports for its servers. */
  recordReport(loads: readonly ServerLoad[], nowMilliseconds: number): void;
  recordExchange(
    dataCentre: DataCentreId,
    exchange: LoadExchange,
    nowMilliseconds: number,
  ): void;
  /**
   * Uses the loads of the last summary that this router received for servers
   * that are not reported to it yet. Pools whose per-server loads do not match
   * their totals are left out.
   */
  inherit(
    previous: InheritedLoads,
    catalogue: LoadCatalogue,
  ): void;
  /** Creates the exchange for the other aggregators. */
  exchange(
    catalogue: LoadCatalogue,
    withLoads: boolean,
    nowMilliseconds: number,
  ): LoadExchange;
  /**
   * Whether the state of every server of the catalogue is known, live or not.
   * The mean of a part of a pool may be far above the mean of the whole pool.
   */
  knowsAllServers(catalogue: LoadCatalogue, nowMilliseconds: number): boolean;
  /** Creates a summary of all data centres, optionally with per-server loads. */
  summary(
    self: IncarnationId,
    catalogue: LoadCatalogue,
    withLoads: boolean,
    nowMilliseconds: number,
  ): LoadSummary;
}

/** Creates an aggregator without any loads. */
export function createLoadAggregator(): LoadAggregator {
  const reportedLoads = new Map<BackendServerId, _Report>();
  const exchanges = new Map<DataCentreId, _ReceivedExchange>();
  const inheritedLoads = new Map<BackendServerId, _Report>();
  let sequence = 0;

  function expire(now: number): void {
    const oldest = now - LOAD_ENTRY_LIFETIME_MILLISECONDS;
    for (const loads of [reportedLoads, inheritedLoads]) {
      for (const [server, entry] of loads) {
        if (entry.reportedAt < oldest) loads.delete(server);
      }
    }
    for (const [dataCentre, exchange] of exchanges) {
      if (exchange.receivedAt < oldest) exchanges.delete(dataCentre);
    }
  }

  function inherit(
    { pools, relativeLoads, atMilliseconds }: InheritedLoads,
    { servers }: LoadCatalogue,
  ): void {
    inheritedLoads.clear();
    const liveCounts = new Map<string, number>();
    for (const { backendServer, pool } of servers) {
      if (!relativeLoads.has(backendServer)) continue;
      liveCounts.set(pool, (liveCounts.get(pool) ?? 0) + 1);
    }
    for (const server of servers) {
      const { backendServer, pool } = server;
      const load = pools.get(pool);
      if (!load || liveCounts.get(pool) !== load.engineCount) continue;
      const { totalTokens, totalCapacityTokens } = load;
      const mean = meanLoad(server, totalTokens, totalCapacityTokens);
      const relative = relativeLoads.get(backendServer);
      inheritedLoads.set(backendServer, {
        backendServer,
        tokens: relative === undefined ? undefined : relative * mean,
        reportedAt: atMilliseconds,
      });
    }
  }

  function recordReport(loads: readonly ServerLoad[], now: number): void {
    for (const load of loads) {
      reportedLoads.set(load.backendServer, { ...load, reportedAt: now });
    }
  }

  function stateOf({ tokens, reportedAt }: _Report, now: number): ServerState {
    const overdue = now - reportedAt - OWNER_REPORT_TIMEOUT_MILLISECONDS;
    if (overdue <= 0) return { tokens, isStale: false };
    const decay = Math.exp(-overdue / UNOWNED_LOAD_DECAY_MILLISECONDS);
    return {
      tokens: tokens === undefined ? undefined : tokens * decay,
      isStale: true,
    };
  }

  function ownStates(
    { byServer }: LoadCatalogue,
    now: number,
  ): Map<PooledServer, ServerState> {
    expire(now);
    const states = new Map<PooledServer, ServerState>();
    for (const entry of reportedLoads.values()) {
      const server = byServer.get(entry.backendServer);
      if (server) states.set(server, stateOf(entry, now));
    }
    return states;
  }

  function exchange(
    catalogue: LoadCatalogue,
    withLoads: boolean,
    now: number,
  ): LoadExchange {
    const states = ownStates(catalogue, now);
    const totals = _totalsOf(states);
    if (!withLoads) return { pools: [...totals.values()] };
    const loads = encodeExchangeLoads(states, totals);
    return { pools: [...totals.values()], loads };
  }

  /** Merges the states that another aggregator sent. */
  function mergeExchange(
    states: Map<PooledServer, ServerState>,
    byHash: ReadonlyMap<number, PooledServer>,
    exchange: _ReceivedExchange,
    now: number,
  ): void {
    const isLate =
      now - exchange.receivedAt > OWNER_REPORT_TIMEOUT_MILLISECONDS;
    for (const [server, state] of decodeExchangeLoads(exchange, byHash)) {
      const isStale = isLate || state.isStale;
      const merged = { ...state, isStale };
      states.set(server, _preferredState(states.get(server), merged));
    }
  }

  function allStates(
    catalogue: LoadCatalogue,
    now: number,
  ): Map<PooledServer, ServerState> {
    const states = ownStates(catalogue, now);
    const byHash = new Map(
      catalogue.servers.map((server) => [hash32(server.backendServer), server]),
    );
    for (const received of exchanges.values()) {
      mergeExchange(states, byHash, received, now);
    }
    for (const entry of inheritedLoads.values()) {
      const server = catalogue.byServer.get(entry.backendServer);
      if (!server || states.has(server)) continue;
      states.set(server, { ...stateOf(entry, now), isStale: true });
    }
    return states;
  }

  function summary(
    self: IncarnationId,
    catalogue: LoadCatalogue,
    withLoads: boolean,
    now: number,
  ): LoadSummary {
    const states = allStates(catalogue, now);
    const totals = _totalsOf(states);
    sequence++;
    const base = {
      aggregator: self,
      sequence,
      pools: [...totals.values()],
    };
    if (!withLoads) return base;
    const loads = encodeSummaryLoads(
      catalogue,
      totals,
      (server) => states.get(server)?.tokens,
    );
    return { ...base, catalogue: catalogue.digest, loads };
  }

  return {
    recordReport,
    recordExchange: (dataCentre, { pools, loads }, now) => {
      const latest = loads ?? exchanges.get(dataCentre)?.loads;
      if (!latest) return;
      exchanges.set(dataCentre, { pools, loads: latest, receivedAt: now });
    },
    exchange,
    inherit,
    knowsAllServers: (catalogue, now) =>
      catalogue.servers.length > 0 &&
      allStates(catalogue, now).size === catalogue.servers.length,
    summary,
  };
}
