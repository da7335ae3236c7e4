/** Which simulated router acts as steward of which engine, and for how long. */
import type { PoolLoad } from "../src/core/admission.ts";
import { brandId, type HostId } from "../src/core/ids.ts";
import type { RandomSource } from "../src/core/random.ts";
import {
  createSteward,
  type SlotOutcome,
  type Steward,
} from "../src/core/steward.ts";
import { LINGER_MILLISECONDS } from "../src/stewardship.ts";
import {
  LOAD_BOUND_RATIO,
  REPORT_LAG_MILLISECONDS,
  type SimulatedEngines,
} from "./skew_engines.ts";
import type { SimulatedViews } from "./skew_views.ts";
import { engineCapacity, type SkewSize } from "./skew_workload.ts";

const QUEUE_LENGTH = 64;

interface _Duties {
  readonly stewards: Map<number, Steward>;
  /** When duties end that now belong to another router. */
  readonly endings: Map<number, number>;
  /** Who took an engine over, and until when requests are forwarded. */
  readonly successors: Map<number, { readonly to: number; until: number }>;
}

/** A router that decides for an engine. */
export interface Decider {
  readonly router: number;
  readonly steward: Steward;
}

/** What the duties need from the rest of the simulation. */
export interface DutyHooks {
  resolve(outcomes: readonly SlotOutcome[], now: number): void;
  poolOf(router: number):
    | { readonly load: PoolLoad | undefined; readonly receivedAt: number }
    | undefined;
}

/** The duties of all simulated routers. */
export interface SimulatedDuties {
  stewardsOf(router: number): ReadonlyMap<number, Steward>;
  /** Who decides when an observer asks the steward it believes in. */
  deciderOf(observer: number, engine: number): Decider | undefined;
  assign(router: number, now: number): void;
  /** Reads loads and ends duties that are due. */
  poll(router: number, now: number): void;
  clear(router: number): void;
}

/** The id of a simulated router. */
export function hostOf(router: number): HostId {
  return brandId<HostId>(`host-${router}`);
}

/** Creates routers without duties. */
export function createDuties(
  size: SkewSize,
  engines: SimulatedEngines,
  views: SimulatedViews,
  random: RandomSource,
  hooks: DutyHooks,
): SimulatedDuties {
  const all = Array.from({ length: size.routers }, _createDuties);

  function dutiesOf(router: number): _Duties {
    return all[router] as _Duties;
  }

  function read(engine: number, steward: Steward, now: number): void {
    const lag = random.integer(REPORT_LAG_MILLISECONDS);
    steward.recordLoad(engines.read(engine, now, lag), now);
  }

  function drop(router: number, engine: number, now: number): void {
    const { stewards, endings } = dutiesOf(router);
    const lost = stewards.get(engine)?.close("not_steward", now) ?? [];
    stewards.delete(engine);
    endings.delete(engine);
    hooks.resolve(lost, now);
  }

  function takeOver(
    router: number,
    engine: number,
    steward: Steward,
    now: number,
  ): void {
    const previous = views.previousOf(router, engine);
    if (previous === undefined || !views.isAlive(previous)) return;
    const { stewards, successors } = dutiesOf(previous);
    const grants = stewards.get(engine)?.exportGrants(now) ?? [];
    steward.renew(hostOf(previous), grants, now);
    const until = now + LINGER_MILLISECONDS;
    successors.set(engine, { to: router, until });
    drop(previous, engine, now);
  }

  function adopt(router: number, engine: number, now: number): void {
    const steward = createSteward({
      loadBoundRatio: LOAD_BOUND_RATIO,
      capacityTokens: engineCapacity(size, engine),
      accepting: true,
      queueLength: QUEUE_LENGTH,
    });
    const pool = hooks.poolOf(router);
    steward.setPool(pool?.load, pool?.receivedAt ?? now);
    dutiesOf(router).stewards.set(engine, steward);
    takeOver(router, engine, steward, now);
    read(engine, steward, now);
  }

  function assign(router: number, now: number): void {
    const { stewards, endings, successors } = dutiesOf(router);
    for (let engine = 0; engine < size.engines; engine++) {
      const isOwner = views.stewardOf(router, engine) === router;
      if (isOwner) endings.delete(engine);
      if (isOwner && !stewards.has(engine) && !successors.has(engine)) {
        adopt(router, engine, now);
      } else if (!isOwner && stewards.has(engine) && !endings.has(engine)) {
        endings.set(engine, now + LINGER_MILLISECONDS);
      }
    }
  }

  function poll(router: number, now: number): void {
    const { stewards, endings, successors } = dutiesOf(router);
    for (const [engine, endsAt] of endings) {
      if (now >= endsAt) drop(router, engine, now);
    }
    let hasExpired = false;
    for (const [engine, { until }] of successors) {
      if (now < until) continue;
      successors.delete(engine);
      hasExpired = true;
    }
    if (hasExpired) assign(router, now);
    for (const [engine, steward] of stewards) {
      read(engine, steward, now);
      hooks.resolve(steward.settle(now), now);
    }
  }

  function deciderOf(observer: number, engine: number): Decider | undefined {
    const owner = views.stewardOf(observer, engine);
    if (owner === undefined || !views.isAlive(owner)) return undefined;
    const steward = dutiesOf(owner).stewards.get(engine);
    if (steward) return { router: owner, steward };
    const next = dutiesOf(owner).successors.get(engine)?.to;
    const taken = next === undefined || !views.isAlive(next)
      ? undefined
      : dutiesOf(next).stewards.get(engine);
    return taken && next !== undefined
      ? { router: next, steward: taken }
      : undefined;
  }

  return {
    stewardsOf: (router) => dutiesOf(router).stewards,
    deciderOf,
    assign,
    poll,
    clear: (router) => void (all[router] = _createDuties()),
  };
}

function _createDuties(): _Duties {
  return { stewards: new Map(), endings: new Map(), successors: new Map() };
}
