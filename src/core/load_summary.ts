/**
 * The messages in which aggregators send loads: exchanges among each other and
 * summaries to every router, with totals per pool and the load of each server
 * relative to the mean.
 */
import type { PoolLoad } from "./pool_share.ts";
import type { BackendServerId, IncarnationId } from "./ids.ts";
import type { LoadCatalogue, PooledServer } from "./load_catalogue.ts";
import { hash32 } from "./hash32.ts";

/** Encoded value of a load that equals the mean. */
const RELATIVE_LOAD_SCALE = 2_048;
const MAXIMUM_RELATIVE_LOAD = 0x7ffd;
const NOT_LIVE = 0x7ffe;
const UNKNOWN_LOAD = 0x7fff;
const STALE_FLAG = 0x8000;
const SUMMARY_LOAD_BYTES = 2;
const EXCHANGE_LOAD_BYTES = 6;

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
export interface ServerState {
  readonly tokens: number | undefined;
  /** True if the state was not reported recently or is from a summary. */
  readonly isStale: boolean;
}

/** The part of a pool's load that corresponds to a server's capacity. */
export function meanLoad(
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
  const mean = meanLoad(server, totalTokens, totalCapacity);
  const relative = mean > 0 ? tokens / mean : 0;
  return Math.min(
    MAXIMUM_RELATIVE_LOAD,
    Math.round(relative * RELATIVE_LOAD_SCALE),
  );
}

/** Encodes the states of servers for an exchange. */
export function encodeExchangeLoads(
  states: ReadonlyMap<PooledServer, ServerState>,
  totals: ReadonlyMap<string, PoolTotals>,
): Uint8Array {
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
  return loads;
}

/** Yields the states of the servers of an exchange that `byHash` contains. */
export function* decodeExchangeLoads(
  { pools, loads }: LoadExchange & { readonly loads: Uint8Array },
  byHash: ReadonlyMap<number, PooledServer>,
): Iterable<[PooledServer, ServerState]> {
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
    const mean = meanLoad(server, totalTokens, totalCapacityTokens);
    const tokens = load === NOT_LIVE
      ? undefined
      : mean * load / RELATIVE_LOAD_SCALE;
    yield [server, { tokens, isStale: (encoded & STALE_FLAG) !== 0 }];
  }
}

/** Encodes the loads of all servers of a catalogue for a summary. */
export function encodeSummaryLoads(
  catalogue: LoadCatalogue,
  totals: ReadonlyMap<string, PoolTotals>,
  tokensOf: (server: PooledServer) => number | undefined,
): Uint8Array {
  const loads = new Uint8Array(catalogue.servers.length * SUMMARY_LOAD_BYTES);
  const view = new DataView(loads.buffer);
  for (const [index, server] of catalogue.servers.entries()) {
    const tokens = tokensOf(server);
    const load = tokens === undefined
      ? UNKNOWN_LOAD
      : _encodeRelativeLoad(tokens, server, totals.get(server.pool));
    view.setUint16(index * SUMMARY_LOAD_BYTES, load);
  }
  return loads;
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
