/** How simulated routers learn the loads of pools and servers. */
import type { PoolLoad } from "../src/core/admission.ts";
import {
  type BackendServerId,
  brandId,
  type DataCentreId,
  type IncarnationId,
} from "../src/core/ids.ts";
import type { LoadCatalogue } from "../src/core/load_catalogue.ts";
import {
  createLoadAggregator,
  type LoadAggregator,
  type LoadSummary,
  poolsOfSummary,
  relativeLoads,
} from "../src/core/load_summary.ts";
import type { ServerOwner } from "../src/core/server_owner.ts";
import { AGGREGATOR_WARM_UP_MILLISECONDS } from "../src/load_task.ts";
import { hostOf } from "./skew_ownership.ts";
import type { SimulatedViews } from "./skew_views.ts";
import type { SkewSize } from "./skew_workload.ts";

/** The pool that all simulated engines belong to. */
export const POOL = "models/chat";

const PREFERRED_SUMMARY_MILLISECONDS = 1_500;
const SUMMARIES_PER_LOADS = 4;

interface _Known {
  aggregator: LoadAggregator;
  aggregatorSince: number | undefined;
  round: number;
  pool:
    | { readonly load: PoolLoad | undefined; readonly receivedAt: number }
    | undefined;
  relative: ReadonlyMap<BackendServerId, number>;
  preferredAt: number;
}

/** What the dissemination needs from the rest of the simulation. */
export interface LoadHooks {
  serverOwnersOf(router: number): ReadonlyMap<number, ServerOwner>;
  /** Called for every router that took over a summary. */
  accepted(router: number, now: number): void;
}

/** The loads that simulated routers know. */
export interface SimulatedLoads {
  /** Runs one period of a router: report, exchange, summary. */
  report(router: number, now: number): void;
  poolOf(router: number): _Known["pool"];
  relativeOf(router: number): ReadonlyMap<BackendServerId, number>;
  clear(router: number): void;
}

/** Creates routers that know no loads. */
export function createLoads(
  size: SkewSize,
  views: SimulatedViews,
  catalogue: LoadCatalogue,
  hooks: LoadHooks,
): SimulatedLoads {
  const all = Array.from({ length: size.routers }, _createKnown);
  const decoded = new WeakMap<LoadSummary, Map<BackendServerId, number>>();

  function knownOf(router: number): _Known {
    return all[router] as _Known;
  }

  function accept(router: number, summary: LoadSummary, now: number): void {
    const known = knownOf(router);
    const load = poolsOfSummary(summary).get(POOL);
    known.pool = { load, receivedAt: now };
    if (summary.loads) {
      const relative = decoded.get(summary) ??
        relativeLoads(summary, catalogue);
      if (relative) decoded.set(summary, relative);
      known.relative = relative ?? known.relative;
    }
    hooks.accepted(router, now);
  }

  function publish(from: number, summary: LoadSummary, now: number): void {
    const dataCentre = views.dataCentreOf(from);
    for (const [router, known] of all.entries()) {
      if (views.dataCentreOf(router) !== dataCentre) continue;
      if (!views.isAlive(router)) continue;
      const isExpected = views.aggregatorOf(router, dataCentre) === from;
      if (isExpected) known.preferredAt = now;
      const isFresh = now - known.preferredAt < PREFERRED_SUMMARY_MILLISECONDS;
      if (isExpected || !isFresh) accept(router, summary, now);
    }
  }

  function becomeAggregator(known: _Known, now: number): void {
    const { pool, relative } = known;
    known.aggregatorSince = now;
    known.aggregator.inherit({
      pools: new Map(pool?.load ? [[POOL, pool.load]] : []),
      relativeLoads: relative,
      atMilliseconds: pool?.receivedAt ?? -Infinity,
    }, catalogue);
  }

  /** Answers an exchange of an aggregator that the receiver does not expect. */
  function answerNewAggregator(peer: number, from: number, now: number): void {
    const { aggregator, aggregatorSince } = knownOf(peer);
    if (aggregatorSince === undefined) return;
    if (views.aggregatorOf(peer, views.dataCentreOf(from)) === from) return;
    const exchange = aggregator.exchange(catalogue, true, now);
    const dataCentre = brandId<DataCentreId>(`${views.dataCentreOf(peer)}`);
    knownOf(from).aggregator.recordExchange(dataCentre, exchange, now);
  }

  function aggregate(router: number, now: number): void {
    const known = knownOf(router);
    if (known.aggregatorSince === undefined) becomeAggregator(known, now);
    const own = views.dataCentreOf(router);
    const withLoads = known.round++ % SUMMARIES_PER_LOADS === 0;
    const exchange = known.aggregator.exchange(catalogue, withLoads, now);
    for (let other = 0; other < size.dataCentres; other++) {
      const peer = views.aggregatorOf(router, other);
      if (other === own || peer === undefined || !views.isAlive(peer)) continue;
      const dataCentre = brandId<DataCentreId>(`${own}`);
      knownOf(peer).aggregator.recordExchange(dataCentre, exchange, now);
      answerNewAggregator(peer, router, now);
    }
    const elapsed = now - (known.aggregatorSince ?? now);
    if (
      elapsed < AGGREGATOR_WARM_UP_MILLISECONDS &&
      !known.aggregator.knowsAllServers(catalogue, now)
    ) return;
    const self = brandId<IncarnationId>(hostOf(router));
    publish(
      router,
      known.aggregator.summary(self, catalogue, withLoads, now),
      now,
    );
  }

  function report(router: number, now: number): void {
    const target = views.aggregatorOf(router, views.dataCentreOf(router));
    const loads = [...hooks.serverOwnersOf(router)].map((
      [engine, steward],
    ) => ({
      backendServer: brandId<BackendServerId>(`engine-${engine}`),
      tokens: steward.isLoadKnown(now)
        ? steward.minimumLoadTokens()
        : undefined,
    }));
    if (target !== undefined && views.isAlive(target)) {
      knownOf(target).aggregator.recordReport(loads, now);
    }
    if (target === router) aggregate(router, now);
    else knownOf(router).aggregatorSince = undefined;
  }

  return {
    report,
    poolOf: (router) => knownOf(router).pool,
    relativeOf: (router) => knownOf(router).relative,
    clear: (router) => void (all[router] = _createKnown()),
  };
}

function _createKnown(): _Known {
  return {
    aggregator: createLoadAggregator(),
    aggregatorSince: undefined,
    round: 0,
    pool: undefined,
    relative: new Map(),
    preferredAt: -Infinity,
  };
}
