/**
 * Two-level aggregation of loads. Stewards report to the aggregator of their
 * data centre, aggregators exchange what they collected, and every router gets
 * a summary: totals per pool, and per server the load relative to the mean.
 */
import type { PoolLoad } from "./admission.ts";
import type { Fleet } from "./fleet_schema.ts";
import type {
  BackendServerId,
  DataCentreId,
  HostId,
  IncarnationId,
} from "./ids.ts";
import { hash32, hash64, rankByRendezvous } from "./rendezvous.ts";

/** A server or data centre that is not reported for this long is left out. */
export const ENTRY_LIFETIME_MILLISECONDS = 2_500;
/** Routers that one router passes a summary on to. */
export const SUMMARY_FAN_OUT = 8;

const RELATIVE_LOAD_UNIT = 4_096;
const UNKNOWN_LOAD = 0xffff;
const BYTES_PER_LOAD = 2;
const BYTES_PER_EXCHANGED_LOAD = 6;

/** A pool: the backend servers that share one mean. */
export interface PooledServer {
  readonly backendServer: BackendServerId;
  readonly pool: string;
  readonly capacityTokens: number;
}

/** The configured servers in the order that summaries use. */
export interface LoadCatalogue {
  readonly servers: readonly PooledServer[];
  readonly byServer: ReadonlyMap<BackendServerId, PooledServer>;
  /** Summaries of another catalogue's order are told apart by this. */
  readonly digest: string;
}

/** The load of one server as its steward reports it. */
export interface ServerLoad {
  readonly backendServer: BackendServerId;
  readonly pool: string;
  readonly tokens: number;
  readonly capacityTokens: number;
}

/** The totals of one pool: name, tokens, capacity in tokens, engine count. */
export type PoolTotals = readonly [string, number, number, number];

/** What one aggregator tells the others about its own data centre. */
export interface LoadExchange {
  readonly pools: readonly PoolTotals[];
  /** Per server 4 bytes of its name's hash and 2 bytes of relative load. */
  readonly loads: Uint8Array;
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

/** Creates the catalogue of a set of servers. */
export function createLoadCatalogue(
  servers: readonly PooledServer[],
): LoadCatalogue {
  const sorted = [...servers].sort((left, right) =>
    left.backendServer < right.backendServer ? -1 : 1
  );
  const text = sorted.map((server) =>
    `${server.backendServer} ${server.pool} ${server.capacityTokens}`
  );
  return {
    servers: sorted,
    byServer: new Map(sorted.map((server) => [server.backendServer, server])),
    digest: hash64(text.join("\n")),
  };
}

/** Pools of a fleet: engines that serve the same models, and each service. */
export function catalogueOfFleet(fleet: Fleet): LoadCatalogue {
  const models = new Map<string, Set<string>>();
  for (const { model, backendServers } of Object.values(fleet.placements)) {
    for (const server of backendServers) {
      models.set(server, (models.get(server) ?? new Set()).add(model));
    }
  }
  const servers = Object.entries(fleet.backendServers).map(([name, server]) => {
    const served = [...models.get(name) ?? []].sort().join("+");
    return {
      backendServer: name as BackendServerId,
      pool: server.kind === "service"
        ? `service/${server.service ?? name}`
        : `models/${served}`,
      capacityTokens: server.capacityTokens,
    };
  });
  return createLoadCatalogue(servers);
}

/**
 * The routers that a router passes a summary on to: its children in the tree
 * that has the aggregator at its root. Leaving routers receive summaries but
 * come last, since they are no aggregators.
 */
export function summaryChildren<
  T extends { readonly host: HostId; readonly leaving: boolean },
>(dataCentre: DataCentreId, members: readonly T[], self: HostId): T[] {
  const ranked = rankByRendezvous(
    aggregatorKey(dataCentre),
    members,
    (member) => member.host,
  );
  const order = [
    ...ranked.filter((member) => !member.leaving),
    ...ranked.filter((member) => member.leaving),
  ];
  const rank = order.findIndex((member) => member.host === self);
  if (rank < 0) return [];
  const first = rank * SUMMARY_FAN_OUT + 1;
  return order.slice(first, first + SUMMARY_FAN_OUT);
}

/** The key whose rendezvous choice aggregates the loads of a data centre. */
export function aggregatorKey(dataCentre: DataCentreId): string {
  return `load/${dataCentre}`;
}

function _relativeLoad(
  tokens: number,
  capacity: number,
  pool: PoolTotals | undefined,
): number {
  if (!pool) return UNKNOWN_LOAD;
  const [, totalTokens, totalCapacity] = pool;
  const mean = totalTokens * capacity / Math.max(1, totalCapacity);
  const relative = mean > 0 ? tokens / mean : 0;
  return Math.min(
    UNKNOWN_LOAD - 1,
    Math.round(relative * RELATIVE_LOAD_UNIT),
  );
}

function _addTotals(
  sums: Map<string, PoolTotals>,
  [pool, tokens, capacity, count]: PoolTotals,
): void {
  const sum = sums.get(pool) ?? [pool, 0, 0, 0];
  sums.set(pool, [
    pool,
    sum[1] + tokens,
    sum[2] + capacity,
    sum[3] + count,
  ]);
}

interface _Entry extends ServerLoad {
  readonly source: HostId;
  readonly reportedAt: number;
}

interface _ForeignExchange extends LoadExchange {
  readonly receivedAt: number;
}

/** Collects the loads of one data centre. */
export interface LoadAggregator {
  /** Replaces everything that a steward reported before. */
  recordReport(
    source: HostId,
    loads: readonly ServerLoad[],
    nowMilliseconds: number,
  ): void;
  recordExchange(
    dataCentre: DataCentreId,
    exchange: LoadExchange,
    nowMilliseconds: number,
  ): void;
  exchange(nowMilliseconds: number): LoadExchange;
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
  let sequence = 0;

  function prune(now: number): void {
    const oldest = now - ENTRY_LIFETIME_MILLISECONDS;
    for (const [server, entry] of entries) {
      if (entry.reportedAt < oldest) entries.delete(server);
    }
    for (const [dataCentre, exchange] of foreign) {
      if (exchange.receivedAt < oldest) foreign.delete(dataCentre);
    }
  }

  function recordReport(
    source: HostId,
    loads: readonly ServerLoad[],
    now: number,
  ): void {
    for (const [server, entry] of entries) {
      if (entry.source === source) entries.delete(server);
    }
    for (const load of loads) {
      entries.set(load.backendServer, { ...load, source, reportedAt: now });
    }
  }

  function ownTotals(now: number): Map<string, PoolTotals> {
    prune(now);
    const sums = new Map<string, PoolTotals>();
    for (const { pool, tokens, capacityTokens } of entries.values()) {
      _addTotals(sums, [pool, tokens, capacityTokens, 1]);
    }
    return sums;
  }

  function exchange(now: number): LoadExchange {
    const totals = ownTotals(now);
    const loads = new Uint8Array(entries.size * BYTES_PER_EXCHANGED_LOAD);
    const view = new DataView(loads.buffer);
    let offset = 0;
    for (const entry of entries.values()) {
      const pool = totals.get(entry.pool);
      view.setUint32(offset, hash32(entry.backendServer));
      view.setUint16(
        offset + 4,
        _relativeLoad(entry.tokens, entry.capacityTokens, pool),
      );
      offset += BYTES_PER_EXCHANGED_LOAD;
    }
    return { pools: [...totals.values()], loads };
  }

  /** Loads of the other data centres' servers by hash, in tokens. */
  function foreignTokens(catalogue: LoadCatalogue): Map<number, number> {
    const byHash = new Map(
      catalogue.servers.map((server) => [hash32(server.backendServer), server]),
    );
    const tokens = new Map<number, number>();
    for (const { pools, loads } of foreign.values()) {
      const means = _poolLoads(pools);
      const view = new DataView(loads.buffer, loads.byteOffset, loads.length);
      const end = loads.length - BYTES_PER_EXCHANGED_LOAD;
      for (let at = 0; at <= end; at += BYTES_PER_EXCHANGED_LOAD) {
        const server = byHash.get(view.getUint32(at));
        const pool = server && means.get(server.pool);
        if (!server || !pool) continue;
        const mean = pool.totalTokens * server.capacityTokens /
          Math.max(1, pool.totalCapacityTokens);
        const relative = view.getUint16(at + 4) / RELATIVE_LOAD_UNIT;
        tokens.set(view.getUint32(at), relative * mean);
      }
    }
    return tokens;
  }

  function encodeLoads(
    catalogue: LoadCatalogue,
    totals: ReadonlyMap<string, PoolTotals>,
  ): Uint8Array {
    const others = foreignTokens(catalogue);
    const loads = new Uint8Array(catalogue.servers.length * BYTES_PER_LOAD);
    const view = new DataView(loads.buffer);
    for (const [index, server] of catalogue.servers.entries()) {
      const tokens = entries.get(server.backendServer)?.tokens ??
        others.get(hash32(server.backendServer));
      const relative = tokens === undefined ? UNKNOWN_LOAD : _relativeLoad(
        tokens,
        server.capacityTokens,
        totals.get(server.pool),
      );
      view.setUint16(index * BYTES_PER_LOAD, relative);
    }
    return loads;
  }

  function summary(
    self: IncarnationId,
    catalogue: LoadCatalogue,
    withLoads: boolean,
    now: number,
  ): LoadSummary {
    const totals = ownTotals(now);
    for (const { pools } of foreign.values()) {
      for (const pool of pools) _addTotals(totals, pool);
    }
    sequence++;
    const base = { aggregator: self, sequence, pools: [...totals.values()] };
    if (!withLoads) return base;
    const loads = encodeLoads(catalogue, totals);
    return { ...base, catalogue: catalogue.digest, loads };
  }

  return {
    recordReport,
    recordExchange: (dataCentre, received, now) =>
      void foreign.set(dataCentre, { ...received, receivedAt: now }),
    exchange,
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
