/**
 * Decides the next orders to an engine from the fleet's placements and the
 * state that the engine reports. Orders are repeated until the state matches
 * the plan.
 */
import type { EngineItem, EngineState } from "../engine_protocol.ts";
import type { Drains, Fleet } from "./fleet_schema.ts";
import { hash32 } from "./hash32.ts";
import { rankByRendezvous } from "./rendezvous.ts";

/** Number of order groups. Each group has one lease. */
export const ORDER_GROUPS = 64;

/** The operation that an order requests. */
export type OrderKind = "load" | "unload" | "change_role";

/** The model version or adapter that an order applies to. */
export interface OrderTarget {
  readonly model: string;
  /** Version of the adapter if `adapter` is set, else of the model. */
  readonly version: string;
  readonly adapter?: string;
  readonly role?: "serving" | "standby";
}

/** An order as it is sent to an engine. */
export interface EngineOrder {
  readonly kind: OrderKind;
  readonly target: OrderTarget;
  /** Epoch of the lease under which the order was issued. */
  readonly fencingNumber: number;
  /** Unix time after which the engine must ignore the order. */
  readonly notAfterMilliseconds: number;
}

/** An order that would bring the engine closer to its plan. */
export interface OrderCandidate {
  readonly kind: OrderKind;
  readonly target: OrderTarget;
  /** Placements whose serving floor must permit the engine to stop serving. */
  readonly permits: readonly string[];
}

/** A model version with its adapters that an engine should serve. */
export interface DesiredModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: ReadonlyMap<string, string>;
}

/** The models that one engine should have loaded. */
export interface EnginePlan {
  readonly engine: string;
  readonly desired: readonly DesiredModel[];
  /** Names of the placements that list the engine, by model. */
  readonly placements: ReadonlyMap<string, readonly string[]>;
}

/** The possible orders to an engine, in order of preference. */
export interface EngineDecision {
  readonly candidates: readonly OrderCandidate[];
  /** True if the engine matches its plan and is not loading anything. */
  readonly isDone: boolean;
}

/** Returns the order group of an engine. */
export function orderGroupOf(engine: string): number {
  return hash32(engine) % ORDER_GROUPS;
}

/**
 * Returns the engines that should serve a placement: the first usable ones in
 * rendezvous order. Drained engines are skipped. Unreachable engines are not,
 * because routers may disagree on which engines are reachable.
 */
export function replicasOf(
  fleet: Fleet,
  drains: Drains,
  placement: string,
): string[] {
  const { backendServers = [], replicas = 0 } = fleet.placements[placement] ??
    {};
  const usable = backendServers.filter((name) => isUsable(fleet, drains, name));
  return rankByRendezvous(`placement/${placement}`, usable, (name) => name)
    .slice(0, replicas);
}

/** Returns whether an engine exists and neither it nor its host is drained. */
export function isUsable(
  fleet: Fleet,
  drains: Drains,
  engine: string,
): boolean {
  const server = fleet.backendServers[engine];
  return server?.kind === "engine" &&
    !drains.backendServers.includes(engine) &&
    !(server.host !== undefined && drains.hosts.includes(server.host));
}

/** Plans each usable engine that a placement lists; the rest get no orders. */
export function planEngines(
  fleet: Fleet,
  drains: Drains,
): Map<string, EnginePlan> {
  const plans = new Map<string, {
    engine: string;
    desired: DesiredModel[];
    placements: Map<string, string[]>;
  }>();
  for (const [name, placement] of Object.entries(fleet.placements)) {
    const replicas = new Set(replicasOf(fleet, drains, name));
    const version = fleet.models[placement.model]?.version;
    for (const engine of placement.backendServers) {
      if (!isUsable(fleet, drains, engine)) continue;
      const plan = plans.get(engine) ??
        { engine, desired: [], placements: new Map<string, string[]>() };
      plans.set(engine, plan);
      const names = plan.placements.get(placement.model) ?? [];
      plan.placements.set(placement.model, [...names, name]);
      if (version === undefined || !replicas.has(engine)) continue;
      _addDesiredModel(
        plan.desired,
        fleet,
        placement.model,
        version,
        placement.adapters,
      );
    }
  }
  return plans;
}

function _addDesiredModel(
  desired: DesiredModel[],
  fleet: Fleet,
  model: string,
  version: string,
  adapters: readonly string[],
): void {
  const index = desired.findIndex((entry) => entry.model === model);
  const merged = new Map(desired[index]?.adapters);
  for (const adapter of adapters) {
    merged.set(adapter, fleet.adapters[adapter]?.version ?? "1");
  }
  const entry = { model, version, adapters: merged };
  if (index < 0) desired.push(entry);
  else desired[index] = entry;
}

/** Returns whether an engine serves any version of a model. */
export function isServing(state: EngineState, model: string): boolean {
  return state.items.some((item) =>
    item.model === model && item.adapter === undefined &&
    item.state === "serving"
  );
}

/** Decides the next orders to one engine. */
export function decideOrders(
  plan: EnginePlan,
  state: EngineState,
): EngineDecision {
  const promotions: OrderCandidate[] = [];
  const loads: OrderCandidate[] = [];
  const removals: OrderCandidate[] = [];
  for (const wanted of plan.desired) {
    const item = _findItem(state, wanted.model, wanted.version);
    if (!item) loads.push(..._loadOrFreeSlot(plan, state, wanted));
    else if (item.state !== "loading") {
      const missing = _missingAdapters(state, wanted);
      loads.push(...missing);
      if (item.state === "standby" && _areAdaptersReady(state, wanted)) {
        promotions.push(_changeRole(item, "serving", []));
      }
      if (item.state === "serving") {
        removals.push(..._unloadOld(state, wanted, item));
      }
    }
  }
  removals.push(..._removeUndesired(plan, state));
  const candidates = [...promotions, ...loads, ...removals];
  const isLoading = state.items.some((item) => item.state === "loading");
  return { candidates, isDone: candidates.length === 0 && !isLoading };
}

function _findItem(
  state: EngineState,
  model: string,
  version: string,
  adapter?: string,
): EngineItem | undefined {
  return state.items.find((item) =>
    item.model === model && item.version === version &&
    item.adapter === adapter
  );
}

function _targetOf(item: EngineItem): OrderTarget {
  const { model, version, adapter } = item;
  return { model, version, ...(adapter === undefined ? {} : { adapter }) };
}

function _unload(item: EngineItem): OrderCandidate {
  return { kind: "unload", target: _targetOf(item), permits: [] };
}

function _changeRole(
  item: EngineItem,
  role: "serving" | "standby",
  permits: readonly string[],
): OrderCandidate {
  return { kind: "change_role", target: { ..._targetOf(item), role }, permits };
}

/**
 * Loads the wanted version next to the old one if a model slot is free.
 * Otherwise unloads the old one first; the engine does not serve the model
 * meanwhile.
 */
function _loadOrFreeSlot(
  plan: EnginePlan,
  state: EngineState,
  { model, version }: DesiredModel,
): OrderCandidate[] {
  const models = state.items.filter((item) => item.adapter === undefined);
  if (models.length < state.modelSlots) {
    return [{ kind: "load", target: { model, version }, permits: [] }];
  }
  const hasUndesired = models.some((item) =>
    !plan.desired.some((wanted) => wanted.model === item.model)
  );
  if (hasUndesired) return [];
  const old = models.filter((item) => item.model === model);
  const idle = old.find((item) => item.state === "standby");
  if (idle) return [_unload(idle)];
  const inUse = old.find((item) => item.state === "serving");
  const permits = plan.placements.get(model) ?? [];
  return inUse ? [_changeRole(inUse, "standby", permits)] : [];
}

function _missingAdapters(
  state: EngineState,
  { model, adapters }: DesiredModel,
): OrderCandidate[] {
  return [...adapters]
    .filter(([adapter, version]) => !_findItem(state, model, version, adapter))
    .map(([adapter, version]) => ({
      kind: "load",
      target: { model, version, adapter },
      permits: [],
    }));
}

function _areAdaptersReady(
  state: EngineState,
  { model, adapters }: DesiredModel,
): boolean {
  return [...adapters].every(([adapter, version]) => {
    const item = _findItem(state, model, version, adapter);
    return item !== undefined && item.state !== "loading";
  });
}

/** Unloads old versions and adapters once the wanted ones are ready. */
function _unloadOld(
  state: EngineState,
  wanted: DesiredModel,
  current: EngineItem,
): OrderCandidate[] {
  if (!_areAdaptersReady(state, wanted)) return [];
  return state.items
    .filter((item) => item.model === wanted.model && item !== current)
    .filter((item) =>
      item.adapter === undefined ||
      wanted.adapters.get(item.adapter) !== item.version
    )
    .filter((item) => item.state === "standby")
    .map(_unload);
}

function _removeUndesired(
  plan: EnginePlan,
  state: EngineState,
): OrderCandidate[] {
  return state.items
    .filter((item) =>
      !plan.desired.some((wanted) => wanted.model === item.model)
    )
    .filter((item) => item.state !== "loading")
    .map((item) =>
      item.state === "serving"
        ? _changeRole(
          item,
          "standby",
          plan.placements.get(item.model) ?? [],
        )
        : _unload(item)
    );
}
