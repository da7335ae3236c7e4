/** Which simulated router acts as steward of which engine, and for how long. */
import type { PoolLoad } from "../src/core/admission.ts";
import { brandId, type HostId } from "../src/core/ids.ts";
import type { RandomSource } from "../src/core/random.ts";
import {
  createServerOwner,
  type ServerOwner,
  type SlotOutcome,
} from "../src/core/server_owner.ts";
import { HANDOVER_GRACE_MILLISECONDS } from "../src/server_ownership.ts";
import {
  LOAD_BOUND_RATIO,
  REPORT_LAG_MILLISECONDS,
  type SimulatedEngines,
} from "./skew_engines.ts";
import type { SimulatedViews } from "./skew_views.ts";
import { engineCapacity, type SkewSize } from "./skew_workload.ts";

const QUEUE_LENGTH = 64;

interface _Ownership {
  readonly serverOwners: Map<number, ServerOwner>;
  /** When duties end that now belong to another router. */
  readonly endings: Map<number, number>;
  /** Who took an engine over, and until when requests are forwarded. */
  readonly successors: Map<number, { readonly to: number; until: number }>;
}

/** A router that decides for an engine. */
export interface DecidingRouter {
  readonly router: number;
  readonly owner: ServerOwner;
}

/** What the duties need from the rest of the simulation. */
export interface OwnershipHooks {
  resolve(outcomes: readonly SlotOutcome[], now: number): void;
  poolOf(router: number):
    | { readonly load: PoolLoad | undefined; readonly receivedAt: number }
    | undefined;
}

/** The duties of all simulated routers. */
export interface SimulatedOwnership {
  serverOwnersOf(router: number): ReadonlyMap<number, ServerOwner>;
  /** Who decides when an observer asks the steward it believes in. */
  deciderOf(observer: number, engine: number): DecidingRouter | undefined;
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
export function createOwnership(
  size: SkewSize,
  engines: SimulatedEngines,
  views: SimulatedViews,
  random: RandomSource,
  hooks: OwnershipHooks,
): SimulatedOwnership {
  const all = Array.from({ length: size.routers }, _createOwnership);

  function ownershipOf(router: number): _Ownership {
    return all[router] as _Ownership;
  }

  function read(engine: number, steward: ServerOwner, now: number): void {
    const lag = random.integer(REPORT_LAG_MILLISECONDS);
    steward.recordLoad(engines.read(engine, now, lag), now);
  }

  function drop(router: number, engine: number, now: number): void {
    const { serverOwners: stewards, endings } = ownershipOf(router);
    const lost = stewards.get(engine)?.close("not_steward", now) ?? [];
    stewards.delete(engine);
    endings.delete(engine);
    hooks.resolve(lost, now);
  }

  function takeOver(
    router: number,
    engine: number,
    steward: ServerOwner,
    now: number,
  ): void {
    const previous = views.previousOf(router, engine);
    if (previous === undefined || !views.isAlive(previous)) return;
    const { serverOwners: stewards, successors } = ownershipOf(previous);
    const grants = stewards.get(engine)?.exportGrants(now) ?? [];
    steward.renew(hostOf(previous), grants, now);
    const until = now + HANDOVER_GRACE_MILLISECONDS;
    successors.set(engine, { to: router, until });
    drop(previous, engine, now);
  }

  function adopt(router: number, engine: number, now: number): void {
    const steward = createServerOwner({
      loadBoundRatio: LOAD_BOUND_RATIO,
      capacityTokens: engineCapacity(size, engine),
      accepting: true,
      queueLength: QUEUE_LENGTH,
    });
    const pool = hooks.poolOf(router);
    steward.setPool(pool?.load, pool?.receivedAt ?? now);
    ownershipOf(router).serverOwners.set(engine, steward);
    takeOver(router, engine, steward, now);
    read(engine, steward, now);
  }

  function assign(router: number, now: number): void {
    const { serverOwners: stewards, endings, successors } = ownershipOf(router);
    for (let engine = 0; engine < size.engines; engine++) {
      const isOwner = views.ownerOf(router, engine) === router;
      if (isOwner) endings.delete(engine);
      if (isOwner && !stewards.has(engine) && !successors.has(engine)) {
        adopt(router, engine, now);
      } else if (!isOwner && stewards.has(engine) && !endings.has(engine)) {
        endings.set(engine, now + HANDOVER_GRACE_MILLISECONDS);
      }
    }
  }

  function poll(router: number, now: number): void {
    const { serverOwners: stewards, endings, successors } = ownershipOf(router);
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
      hooks.resolve(steward.processQueue(now), now);
    }
  }

  function deciderOf(
    observer: number,
    engine: number,
  ): DecidingRouter | undefined {
    const owner = views.ownerOf(observer, engine);
    if (owner === undefined || !views.isAlive(owner)) return undefined;
    const steward = ownershipOf(owner).serverOwners.get(engine);
    if (steward) return { router: owner, owner: steward };
    const next = ownershipOf(owner).successors.get(engine)?.to;
    const taken = next === undefined || !views.isAlive(next)
      ? undefined
      : ownershipOf(next).serverOwners.get(engine);
    return taken && next !== undefined
      ? { router: next, owner: taken }
      : undefined;
  }

  return {
    serverOwnersOf: (router) => ownershipOf(router).serverOwners,
    deciderOf,
    assign,
    poll,
    clear: (router) => void (all[router] = _createOwnership()),
  };
}

function _createOwnership(): _Ownership {
  return { serverOwners: new Map(), endings: new Map(), successors: new Map() };
}
