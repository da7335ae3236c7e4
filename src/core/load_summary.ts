/**
 * Two-level aggregation of loads. Server owners report to the aggregator of
 * their data centre, aggregators exchange their results, and every router gets
 * a summary: totals per pool, and each server's load relative to the mean.
 */
import type { PoolLoad } from "./admission.ts";
import type { BackendServerId, DataCentreId, IncarnationId } from "./ids.ts";
import type { LoadCatalogue, PooledServer } from "./load_catalogue.ts";
import { hash32 } from "./hash32.ts";

/** A server that is not reported for this long is taken to have no owner. */
export const OWNER_REPORT_TIMEOUT_MILLISECONDS = 750;
/**
 * A server or data centre that is not reported for this long is left out. The
 * time covers the detection of a failed owner: until the next owner reports,
 * the server still belongs to the pool. Leaving it out would raise the mean of
 * the other servers just as they take over its work.
 */
export const LOAD_ENTRY_LIFETIME_MILLISECONDS = 10_000;

/** Encoded value of a load that equals the mean. */
const RELATIVE_LOAD_SCALE = 2_048;
const MAXIMUM_RELATIVE_LOAD = 0x7ffd;
const NOT_LIVE = 0x7ffe;
const UNKNOWN_LOAD = 0x7fff;
const STALE_FLAG = 0x8000;
/** Time constant of the assumed decay of an unowned server's load. */
const UNOWNED_LOAD_DECAY_MILLISECONDS = 5_000;
const SUMMARY_LOAD_BYTES = 2;
const EXCHANGE_LOAD_BYTES = 6;

/** The load of one server as reported by its owner. */
export interface ServerLoad {
  readonly backendServer: BackendServerId;
  /** Undefined if the server is down, leaving or does not report its load. */
  readonly tokens: number | undefined;
}

/** The totals of one pool: name, tokens, capacity in tokens, engine count. */
export type PoolTotals = readonly [string, number, number, number];

/** The loads of a data centre, as sent to the aggregators of the others. */
export interface LoadExchange {
  readonly pools: readonly PoolTotals[];
  /**
   * Per server, 4 bytes of its name's hash and 2 bytes of load and state. Loads
   * are relative to the totals; if absent, the last ones received still apply.
   */
  readonly loads?: Uint8Array;
}

/** The summary that every router of a data centre receives. */
export interface LoadSummary {
  readonly aggregator: IncarnationId;
  readonly sequence: number;
  readonly pools: readonly PoolTotals[];
  /** Absent in summaries that only refresh the totals. */
  readonly catalogue?: string;
  /** Per configured server, 2 bytes of load relative to its share of the pool. */
  readonly loads?: Uint8Array;
}

/** The known state of one server; `tokens` is undefined if it is not live. */
interface _ServerState {
  readonly tokens: number | undefined;
  /** True if the state was not reported recently or is from a summary. */
  readonly isStale: boolean;
}

/** The part of a pool's load that corresponds to a server's capacity. */
function _meanLoad(
  { capacityTokens }: PooledServer,
  totalTokens: number,
  totalCapacityTokens: number,
): number {
  return totalTokens * capacityTokens / Math.max(1, totalCapacityTokens);
}

function _encodeRelativeLoad(
  tokens: number,
  server: PooledServer,
  pool: PoolTotals | undefined,
): number {
  const [, totalTokens, totalCapacity] = pool ?? ["", 0, 0, 0];
  const mean = _meanLoad(server, totalTokens, totalCapacity);
  const relative = mean > 0 ? tokens / mean : 0;
  return Math.min(
    MAXIMUM_RELATIVE_LOAD,
    Math.round(relative * RELATIVE_LOAD_SCALE),
  );
}

/**
 * Chooses between two states of a server: a current state before a stale one,
 * then live before not live, then the lower load, since a mean that is too high
 * would let owners exceed the load bound.
 */
function _preferredState(
  left: _ServerState | undefined,
  right: _ServerState,
): _ServerState {
  if (!left) return right;
  if (left.isStale !== right.isStale) return left.isStale ? right : left;
  if (left.tokens === undefined || right.tokens === undefined) {
    return left.tokens === undefined ? right : left;
  }
  return left.tokens <= right.tokens ? left : right;
}

function _totalsOf(
  states: ReadonlyMap<PooledServer, _ServerState>,
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
      const mean = _meanLoad(server, totalTokens, totalCapacityTokens);
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

  function stateOf({ tokens, reportedAt }: _Report, now: number): _ServerState {
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
  ): Map<PooledServer, _ServerState> {
    expire(now);
    const states = new Map<PooledServer, _ServerState>();
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
    const loads = new Uint8Array(states.size * EXCHANGE_LOAD_BYTES);
    const view = new DataView(loads.buffer);
    let offset = 0;
    for (const [server, { tokens, isStale }] of states) {
      const load = tokens === undefined
        ? NOT_LIVE
        : _encodeRelativeLoad(tokens, server, totals.get(server.pool));
      view.setUint32(offset, hash32(server.backendServer));
      view.setUint16(offset + 4, load | (isStale ? STALE_FLAG : 0));
      offset += EXCHANGE_LOAD_BYTES;
    }
    return { pools: [...totals.values()], loads };
  }

  /** Merges the states that another aggregator sent. */
  function mergeExchange(
    states: Map<PooledServer, _ServerState>,
    byHash: ReadonlyMap<number, PooledServer>,
    { pools, loads, receivedAt }: _ReceivedExchange,
    now: number,
  ): void {
    const isLate = now - receivedAt > OWNER_REPORT_TIMEOUT_MILLISECONDS;
    const poolLoads = _poolLoads(pools);
    const view = new DataView(loads.buffer, loads.byteOffset, loads.length);
    const end = loads.length - EXCHANGE_LOAD_BYTES;
    for (let at = 0; at <= end; at += EXCHANGE_LOAD_BYTES) {
      const server = byHash.get(view.getUint32(at));
      if (!server) continue;
      const encoded = view.getUint16(at + 4);
      const load = encoded & ~STALE_FLAG;
      const { totalTokens = 0, totalCapacityTokens = 0 } =
        poolLoads.get(server.pool) ?? {};
      const mean = _meanLoad(server, totalTokens, totalCapacityTokens);
      const state = {
        tokens: load === NOT_LIVE
          ? undefined
          : mean * load / RELATIVE_LOAD_SCALE,
        isStale: isLate || (encoded & STALE_FLAG) !== 0,
      };
      states.set(server, _preferredState(states.get(server), state));
    }
  }

  function allStates(
    catalogue: LoadCatalogue,
    now: number,
  ): Map<PooledServer, _ServerState> {
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
    const loads = new Uint8Array(catalogue.servers.length * SUMMARY_LOAD_BYTES);
    const view = new DataView(loads.buffer);
    for (const [index, server] of catalogue.servers.entries()) {
      const tokens = states.get(server)?.tokens;
      const load = tokens === undefined
        ? UNKNOWN_LOAD
        : _encodeRelativeLoad(tokens, server, totals.get(server.pool));
      view.setUint16(index * SUMMARY_LOAD_BYTES, load);
    }
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

function _poolLoads(pools: readonly PoolTotals[]): Map<string, PoolLoad> {
  return new Map(
    pools.map(([pool, totalTokens, totalCapacityTokens, engineCount]) => [
      pool,
      { totalTokens, totalCapacityTokens, engineCount },
    ]),
  );
}

/** Returns the pools of a summary by name. */
export function poolsOfSummary(summary: LoadSummary): Map<string, PoolLoad> {
  return _poolLoads(summary.pools);
}

/**
 * Returns the loads of a summary relative to each server's share of its pool,
 * without the servers that are not live, or undefined if the summary has none
 * or is for another catalogue.
 */
export function relativeLoads(
  summary: LoadSummary,
  catalogue: LoadCatalogue,
): Map<BackendServerId, number> | undefined {
  const { loads } = summary;
  if (!loads || summary.catalogue !== catalogue.digest) return undefined;
  if (loads.length !== catalogue.servers.length * SUMMARY_LOAD_BYTES) {
    return undefined;
  }
  const view = new DataView(loads.buffer, loads.byteOffset, loads.length);
  const relative = new Map<BackendServerId, number>();
  for (const [index, server] of catalogue.servers.entries()) {
    const value = view.getUint16(index * SUMMARY_LOAD_BYTES);
    if (value === UNKNOWN_LOAD) continue;
    relative.set(server.backendServer, value / RELATIVE_LOAD_SCALE);
  }
  return relative;
}
