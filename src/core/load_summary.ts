/**
 * Two-level aggregation of loads. Stewards report to the aggregator of their
 * data centre, aggregators exchange what they collected, and every router gets
 * a summary: totals per pool, and per server the load relative to the mean.
 */
import type { PoolLoad } from "./admission.ts";
import type { BackendServerId, DataCentreId, IncarnationId } from "./ids.ts";
import type { LoadCatalogue, PooledServer } from "./load_catalogue.ts";
import { hash32 } from "./rendezvous.ts";

/** A server whose steward reports nothing for this long has no steward. */
export const OWNER_REPORT_TIMEOUT_MILLISECONDS = 750;
/**
 * A server or data centre that is not reported for this long is left out. The
 * time covers the detection of a lost steward: until the next one reports, the
 * server still belongs to the pool, and leaving it out would raise the mean of
 * the others while their work is added to them.
 */
export const LOAD_ENTRY_LIFETIME_MILLISECONDS = 10_000;

const RELATIVE_LOAD_UNIT = 2_048;
const MAXIMUM_RELATIVE_LOAD = 0x7ffd;
const NOT_LIVE = 0x7ffe;
const UNKNOWN_LOAD = 0x7fff;
const SILENT_FLAG = 0x8000;
/** Time in which a server without a steward is assumed to lose most of its load. */
const UNOWNED_LOAD_DECAY_MILLISECONDS = 5_000;
const BYTES_PER_LOAD = 2;
const BYTES_PER_EXCHANGED_LOAD = 6;

/** The load of one server as its steward reports it. */
export interface ServerLoad {
  readonly backendServer: BackendServerId;
  /** Undefined if the server is gone, leaving or does not report its load. */
  readonly tokens: number | undefined;
}

/** The totals of one pool: name, tokens, capacity in tokens, engine count. */
export type PoolTotals = readonly [string, number, number, number];

/** What one aggregator tells the others about its own data centre. */
export interface LoadExchange {
  readonly pools: readonly PoolTotals[];
  /**
   * Per server 4 bytes of its name's hash and 2 bytes of load and state. The
   * load is relative to the totals, so the latest ones hold if these are absent.
   */
  readonly loads?: Uint8Array;
}

/** What every router of a data centre receives. */
export interface LoadSummary {
  readonly aggregator: IncarnationId;
  readonly sequence: number;
  readonly pools: readonly PoolTotals[];
  /** Absent in summaries that only refresh the totals. */
  readonly catalogue?: string;
  /** Per configured server 2 bytes of load relative to its share of the pool. */
  readonly loads?: Uint8Array;
}

/** What is known of one server: no tokens if it is not live. */
interface _ServerState {
  readonly tokens: number | undefined;
  /** True if it comes from a steward that reports no more. */
  readonly isSilent: boolean;
}

/** The share of a pool's load that a server would have by its capacity. */
function _meanLoad(
  { capacityTokens }: PooledServer,
  totalTokens: number,
  totalCapacityTokens: number,
): number {
  return totalTokens * capacityTokens / Math.max(1, totalCapacityTokens);
}

function _relativeLoad(
  tokens: number,
  server: PooledServer,
  pool: PoolTotals | undefined,
): number {
  const [, totalTokens, totalCapacity] = pool ?? ["", 0, 0, 0];
  const mean = _meanLoad(server, totalTokens, totalCapacity);
  const relative = mean > 0 ? tokens / mean : 0;
  return Math.min(
    MAXIMUM_RELATIVE_LOAD,
    Math.round(relative * RELATIVE_LOAD_UNIT),
  );
}

/**
 * The better of two states: a reporting steward before a silent one, then a
 * live server before one that is not, then the lower load, as a mean that is
 * too high would let stewards exceed the bound.
 */
function _betterState(
  left: _ServerState | undefined,
  right: _ServerState,
): _ServerState {
  if (!left) return right;
  if (left.isSilent !== right.isSilent) return left.isSilent ? right : left;
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

/** What a router knows from summaries when it becomes an aggregator. */
export interface InheritedLoads {
  readonly pools: ReadonlyMap<string, PoolLoad>;
  /** Loads relative to each server's share; servers not live are absent. */
  readonly relativeLoads: ReadonlyMap<BackendServerId, number>;
  /** When the summary was received. */
  readonly atMilliseconds: number;
}

interface _Entry extends ServerLoad {
  readonly reportedAt: number;
}

interface _ForeignExchange extends LoadExchange {
  readonly loads: Uint8Array;
  readonly receivedAt: number;
}

/** Collects the loads of one data centre. */
export interface LoadAggregator {
  /** Takes over what a steward reports of its servers. */
  recordReport(loads: readonly ServerLoad[], nowMilliseconds: number): void;
  recordExchange(
    dataCentre: DataCentreId,
    exchange: LoadExchange,
    nowMilliseconds: number,
  ): void;
  /**
   * Takes over the loads of the latest summary that this router received, for
   * the servers that are not reported to it yet. Pools whose per-server loads
   * are not those of their totals are left out.
   */
  inherit(
    known: InheritedLoads,
    catalogue: LoadCatalogue,
  ): void;
  exchange(
    catalogue: LoadCatalogue,
    withLoads: boolean,
    nowMilliseconds: number,
  ): LoadExchange;
  /**
   * Whether every server of the catalogue was reported, as live or not. The
   * mean of a part of a pool may be far above the mean of the pool.
   */
  coversAll(catalogue: LoadCatalogue, nowMilliseconds: number): boolean;
  /** The summary of all data centres; per-server loads only if asked for. */
  summary(
    self: IncarnationId,
    catalogue: LoadCatalogue,
    withLoads: boolean,
    nowMilliseconds: number,
  ): LoadSummary;
}

/** Creates an aggregator that knows no loads. */
export function createLoadAggregator(): LoadAggregator {
  const entries = new Map<BackendServerId, _Entry>();
  const foreign = new Map<DataCentreId, _ForeignExchange>();
  const inherited = new Map<BackendServerId, _Entry>();
  let sequence = 0;

  function prune(now: number): void {
    const oldest = now - LOAD_ENTRY_LIFETIME_MILLISECONDS;
    for (const reported of [entries, inherited]) {
      for (const [server, entry] of reported) {
        if (entry.reportedAt < oldest) reported.delete(server);
      }
    }
    for (const [dataCentre, exchange] of foreign) {
      if (exchange.receivedAt < oldest) foreign.delete(dataCentre);
    }
  }

  function inherit(
    { pools, relativeLoads, atMilliseconds }: InheritedLoads,
    { servers }: LoadCatalogue,
  ): void {
    inherited.clear();
    const known = new Map<string, number>();
    for (const { backendServer, pool } of servers) {
      if (!relativeLoads.has(backendServer)) continue;
      known.set(pool, (known.get(pool) ?? 0) + 1);
    }
    for (const server of servers) {
      const { backendServer, pool } = server;
      const load = pools.get(pool);
      if (!load || known.get(pool) !== load.engineCount) continue;
      const { totalTokens, totalCapacityTokens } = load;
      const mean = _meanLoad(server, totalTokens, totalCapacityTokens);
      const relative = relativeLoads.get(backendServer);
      inherited.set(backendServer, {
        backendServer,
        tokens: relative === undefined ? undefined : relative * mean,
        reportedAt: atMilliseconds,
      });
    }
  }

  function recordReport(loads: readonly ServerLoad[], now: number): void {
    for (const load of loads) {
      entries.set(load.backendServer, { ...load, reportedAt: now });
    }
  }

  function stateOf({ tokens, reportedAt }: _Entry, now: number): _ServerState {
    const silence = now - reportedAt - OWNER_REPORT_TIMEOUT_MILLISECONDS;
    if (silence <= 0) return { tokens, isSilent: false };
    const rest = Math.exp(-silence / UNOWNED_LOAD_DECAY_MILLISECONDS);
    return {
      tokens: tokens === undefined ? undefined : tokens * rest,
      isSilent: true,
    };
  }

  function ownStates(
    { byServer }: LoadCatalogue,
    now: number,
  ): Map<PooledServer, _ServerState> {
    prune(now);
    const states = new Map<PooledServer, _ServerState>();
    for (const entry of entries.values()) {
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
    const loads = new Uint8Array(states.size * BYTES_PER_EXCHANGED_LOAD);
    const view = new DataView(loads.buffer);
    let offset = 0;
    for (const [server, { tokens, isSilent }] of states) {
      const load = tokens === undefined
        ? NOT_LIVE
        : _relativeLoad(tokens, server, totals.get(server.pool));
      view.setUint32(offset, hash32(server.backendServer));
      view.setUint16(offset + 4, load | (isSilent ? SILENT_FLAG : 0));
      offset += BYTES_PER_EXCHANGED_LOAD;
    }
    return { pools: [...totals.values()], loads };
  }

  /** Adds the states that another aggregator sent. */
  function mergeExchange(
    states: Map<PooledServer, _ServerState>,
    byHash: ReadonlyMap<number, PooledServer>,
    { pools, loads, receivedAt }: _ForeignExchange,
    now: number,
  ): void {
    const isOld = now - receivedAt > OWNER_REPORT_TIMEOUT_MILLISECONDS;
    const means = _poolLoads(pools);
    const view = new DataView(loads.buffer, loads.byteOffset, loads.length);
    const end = loads.length - BYTES_PER_EXCHANGED_LOAD;
    for (let at = 0; at <= end; at += BYTES_PER_EXCHANGED_LOAD) {
      const server = byHash.get(view.getUint32(at));
      if (!server) continue;
      const encoded = view.getUint16(at + 4);
      const load = encoded & ~SILENT_FLAG;
      const { totalTokens = 0, totalCapacityTokens = 0 } =
        means.get(server.pool) ?? {};
      const mean = _meanLoad(server, totalTokens, totalCapacityTokens);
      const state = {
        tokens: load === NOT_LIVE
          ? undefined
          : mean * load / RELATIVE_LOAD_UNIT,
        isSilent: isOld || (encoded & SILENT_FLAG) !== 0,
      };
      states.set(server, _betterState(states.get(server), state));
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
    for (const received of foreign.values()) {
      mergeExchange(states, byHash, received, now);
    }
    for (const entry of inherited.values()) {
      const server = catalogue.byServer.get(entry.backendServer);
      if (!server || states.has(server)) continue;
      states.set(server, { ...stateOf(entry, now), isSilent: true });
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
    const loads = new Uint8Array(catalogue.servers.length * BYTES_PER_LOAD);
    const view = new DataView(loads.buffer);
    for (const [index, server] of catalogue.servers.entries()) {
      const tokens = states.get(server)?.tokens;
      const load = tokens === undefined
        ? UNKNOWN_LOAD
        : _relativeLoad(tokens, server, totals.get(server.pool));
      view.setUint16(index * BYTES_PER_LOAD, load);
    }
    return { ...base, catalogue: catalogue.digest, loads };
  }

  return {
    recordReport,
    recordExchange: (dataCentre, { pools, loads }, now) => {
      const latest = loads ?? foreign.get(dataCentre)?.loads;
      if (!latest) return;
      foreign.set(dataCentre, { pools, loads: latest, receivedAt: now });
    },
    exchange,
    inherit,
    coversAll: (catalogue, now) =>
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

/** The pools of a summary by name. */
export function poolsOfSummary(summary: LoadSummary): Map<string, PoolLoad> {
  return _poolLoads(summary.pools);
}

/**
 * The loads of a summary relative to each server's share of its pool; servers
 * that are not live are left out. Undefined if the summary carries none or was
 * made for another catalogue.
 */
export function relativeLoads(
  summary: LoadSummary,
  catalogue: LoadCatalogue,
): Map<BackendServerId, number> | undefined {
  const { loads } = summary;
  if (!loads || summary.catalogue !== catalogue.digest) return undefined;
  if (loads.length !== catalogue.servers.length * BYTES_PER_LOAD) {
    return undefined;
  }
  const view = new DataView(loads.buffer, loads.byteOffset, loads.length);
  const relative = new Map<BackendServerId, number>();
  for (const [index, server] of catalogue.servers.entries()) {
    const value = view.getUint16(index * BYTES_PER_LOAD);
    if (value === UNKNOWN_LOAD) continue;
    relative.set(server.backendServer, value / RELATIVE_LOAD_UNIT);
  }
  return relative;
}
