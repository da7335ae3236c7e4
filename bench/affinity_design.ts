/** The routing of `src/core` as a strategy of the affinity bench. */
import {
  type CacheEvent,
  createPrefixCacheIndex,
  type PrefixCacheIndex,
} from "../src/core/prefix_cache_index.ts";
import { type ChatTable, createChatTable } from "../src/core/chat_table.ts";
import { planExport } from "../src/core/export_plan.ts";
import { type Fleet, fleetSchema } from "../src/core/fleet_schema.ts";
import { createFlapDamping } from "../src/core/flap_damping.ts";
import type { BackendServerId, WorkspaceId } from "../src/core/ids.ts";
import { LoadView } from "../src/core/load_view.ts";
import type { RandomSource } from "../src/core/random.ts";
import {
  BackendStateView,
  type Candidate,
  rankCandidates,
  type RoutingView,
} from "../src/core/routing.ts";
import {
  createRoutingIndex,
  type RoutingIndex,
} from "../src/core/routing_index.ts";
import { createWarmServers } from "../src/core/warm_servers.ts";
import {
  CACHE_TOKENS,
  chatName,
  type HotChat,
  PREFILL_TOKENS_PER_SECOND,
  type SimulatedEngine,
  workspaceName,
  workspaceNumber,
} from "./affinity_engine.ts";
import {
  AffinityStrategy,
  type AffinityWorld,
  LOAD_BOUND_RATIO,
} from "./affinity_simulation.ts";
import type {
  EngineChange,
  Workload,
  WorkloadRequest,
} from "./affinity_workload.ts";
import { Oracle } from "./naive_affinity.ts";

/** Capacity of the chat table per engine; the design target is 12,500. */
const MAXIMUM_CHATS_PER_ENGINE = 2_000;
/** Routers per workspace; each tracks only the warm servers it used itself. */
const ROUTERS_PER_WORKSPACE = 3;
/** KV cache bytes per token of a model with grouped-query attention. */
const KV_BYTES_PER_TOKEN = 32_768;
/** Approximate time in which an engine fills its cache at this request rate. */
const CACHE_FILL_MILLISECONDS = 3 * 60_000;
/** Default of `exportBytesPerDrain`. */
const EXPORT_BYTES_PER_DRAIN = 1_000_000_000;
const MODEL = "assistant";

/** Creates a fleet configuration with one model and all workspaces. */
export function createBenchFleet(sharedTokens: readonly number[]): Fleet {
  return fleetSchema.parse({
    fleet: { loadBoundRatio: `${LOAD_BOUND_RATIO}` },
    dataCentres: { bench: { region: "bench" } },
    models: {
      [MODEL]: {
        version: "1",
        prefillTokensPerSecond: `${PREFILL_TOKENS_PER_SECOND}`,
      },
    },
    adapters: {},
    backendServers: {},
    services: {},
    placements: {},
    workspaces: Object.fromEntries(
      sharedTokens.map((tokens, workspace) => [workspaceName(workspace), {
        keyHash: "0".repeat(64),
        models: MODEL,
        sharedPromptTokens: `${tokens}`,
      }]),
    ),
    operators: {},
  });
}

/** Creates the routing index of a fleet with these engines. */
export function indexEngines(
  fleet: Fleet,
  engines: readonly BackendServerId[],
  generation: number,
  previous?: RoutingIndex,
): RoutingIndex {
  const engine: Fleet["backendServers"][string] = {
    kind: "engine",
    address: "127.0.0.1:9000",
    dataCentre: "bench",
    capacityTokens: 200_000,
    cacheTokens: 100_000,
    checksFencing: false,
  };
  const backendServers = Object.fromEntries(engines.map((id) => [id, engine]));
  const placement: Fleet["placements"][string] = {
    model: MODEL,
    adapters: [],
    backendServers: [...engines],
    replicas: engines.length,
    servingFloor: 1,
  };
  return createRoutingIndex({
    generation,
    digest: "",
    fleet: { ...fleet, backendServers, placements: { all: placement } },
    drains: { hosts: [], backendServers: [] },
  }, previous);
}

/** Exports the hot chats of a draining engine and reports each transfer. */
function _exportHotChats(
  from: SimulatedEngine,
  engines: readonly SimulatedEngine[],
  freeTokens: (engine: SimulatedEngine) => number,
  sharedTokens: readonly number[],
  onMoved: (chat: HotChat, to: SimulatedEngine, bytes: number) => void,
): void {
  const byId = new Map(engines.map((engine) => [engine.id, engine]));
  const hot = new Map(
    from.hotChats().map((entry) => {
      const { chat, workspace, prefixTokens } = entry;
      return [{
        workspace: workspaceName(workspace),
        chat: chatName(chat),
        prefixTokens,
        sharedTokens: sharedTokens[workspace] ?? 0,
      }, entry];
    }),
  );
  const targets = engines.filter((engine) => engine.isServing)
    .map((engine) => ({
      backendServer: engine.id,
      freeTokens: freeTokens(engine),
      holdsShared: (workspace: WorkspaceId) =>
        engine.hasShared(workspaceNumber(workspace)),
    }));
  const budget = {
    bytes: EXPORT_BYTES_PER_DRAIN,
    bytesPerToken: KV_BYTES_PER_TOKEN,
  };
  for (const step of planExport([...hot.keys()], targets, budget)) {
    const entry = hot.get(step.chat);
    const to = byId.get(step.to);
    if (!entry || !to) continue;
    to.store(entry.workspace, entry.chat, entry.prefixTokens);
    onMoved(entry, to, step.bytes);
  }
}

class _BenchLoad extends LoadView {
  readonly tokensOf = new Map<BackendServerId, number>();
  mean = 0;
  override relativeLoad(backendServer: BackendServerId): number {
    return this.mean > 0 ? this.tokens(backendServer) / this.mean : 0;
  }
  override tokens(backendServer: BackendServerId): number {
    return this.tokensOf.get(backendServer) ?? 0;
  }
  override meanTokens(): number {
    return this.mean;
  }
}

class _BenchStates extends BackendStateView {
  readonly engines = new Map<BackendServerId, SimulatedEngine>();
  override isServing(backendServer: BackendServerId): boolean {
    return this.engines.get(backendServer)?.isServing ?? false;
  }
}

/** Ranks engines with the modules of `src/core`, as an entry router does. */
export class SapphirecartStrategy extends AffinityStrategy {
  override readonly name: string;
  exportedBytes = 0;
  drains = 0;
  readonly #workload: Workload;
  readonly #random: RandomSource;
  readonly #exportsKv: boolean;
  readonly #fleet: Fleet;
  readonly #table: ChatTable;
  readonly #load = new _BenchLoad();
  readonly #states = new _BenchStates();
  readonly #flapDamping = createFlapDamping();
  readonly #warm = Array.from(
    { length: ROUTERS_PER_WORKSPACE },
    () => createWarmServers(),
  );
  readonly #cacheIndexes = new Map<BackendServerId, PrefixCacheIndex>();
  readonly #upSince = new Map<BackendServerId, number>();
  #index: RoutingIndex | undefined;
  #generation = 0;
  /** The entry router of the current request. */
  #router = 0;
  #appliedSummary: readonly number[] | undefined;

  constructor(workload: Workload, random: RandomSource, exports: boolean) {
    super();
    this.name = exports ? "sapphirecart, KV export" : "sapphirecart";
    this.#workload = workload;
    this.#random = random;
    this.#exportsKv = exports;
    this.#fleet = createBenchFleet(workload.sharedTokens);
    this.#table = createChatTable({
      maximumChats: MAXIMUM_CHATS_PER_ENGINE * workload.engines,
    });
  }

  override *candidates(
    request: WorkloadRequest,
    world: AffinityWorld,
  ): Iterable<SimulatedEngine> {
    this.#router = this.#random.integer(ROUTERS_PER_WORKSPACE);
    for (const candidate of this.#rank(request, world)) {
      const engine = this.#states.engines.get(candidate.backendServer);
      if (engine) yield engine;
    }
  }

  override isExcluded(engine: SimulatedEngine, world: AffinityWorld): boolean {
    return this.#flapDamping.isSuppressed(engine.id, world.now);
  }

  override onServed(
    request: WorkloadRequest,
    engine: SimulatedEngine,
    world: AffinityWorld,
  ): void {
    const workspace = workspaceName(request.workspace);
    this.#warm[this.#router]?.recordServed(workspace, engine.id);
    this.#remember(
      request.workspace,
      request.chat,
      engine,
      request.promptTokens + request.outputTokens,
      world.now,
    );
  }

  override onChange(change: EngineChange, world: AffinityWorld): void {
    const engine = world.engines[change.slot] as SimulatedEngine;
    if (change.kind === "flap_down") {
      this.#flapDamping.serverDown(engine.id, world.now);
      for (const warm of this.#warm) warm.retain((id) => id !== engine.id);
    } else if (change.kind === "flap_up") {
      this.#flapDamping.serverUp(engine.id, world.now);
      this.#upSince.set(engine.id, world.now);
    } else this.#configure(world);
  }

  override onLeave(engine: SimulatedEngine, world: AffinityWorld): void {
    this.drains++;
    if (!this.#exportsKv) return;
    _exportHotChats(
      engine,
      world.engines.filter((target) => !this.isExcluded(target, world)),
      (target) => this.#estimateFreeTokens(target, world.now),
      this.#workload.sharedTokens,
      (chat, to, bytes) => {
        this.exportedBytes += bytes;
        const { workspace, prefixTokens } = chat;
        this.#remember(workspace, chat.chat, to, prefixTokens, world.now);
      },
    );
  }

  override onCacheEvents(
    engine: SimulatedEngine,
    run: number,
    events: readonly CacheEvent[],
    world: AffinityWorld,
  ): void {
    if (!this.#states.engines.has(engine.id)) return;
    let cacheIndex = this.#cacheIndexes.get(engine.id);
    if (!cacheIndex) {
      cacheIndex = createPrefixCacheIndex();
      this.#cacheIndexes.set(engine.id, cacheIndex);
    }
    cacheIndex.apply(`${run}`, events, world.now);
  }

  #rank(
    request: WorkloadRequest,
    world: AffinityWorld,
  ): readonly Candidate[] {
    if (!this.#index) this.#configure(world);
    this.#refreshLoad(world);
    const workspace = workspaceName(request.workspace);
    const chat = chatName(request.chat);
    const view: RoutingView = {
      index: this.#index as RoutingIndex,
      load: this.#load,
      backendStates: this.#states,
      flapDamping: this.#flapDamping,
      warm: this.#warm[this.#router]?.serversOf(workspace) ?? [],
      remembered: this.#table.lookup({ workspace, chat }, world.now),
      cacheState: (backendServer, prefix) =>
        this.#cacheIndexes.get(backendServer)?.stateOf(prefix, world.now) ??
          { kind: "unknown" },
      workspaceTokens: () =>
        world.laggedWorkspaceTokens[request.workspace] ?? 0,
    };
    const { promptTokens, outputTokens } = request;
    const target = { kind: "model", model: MODEL } as const;
    return rankCandidates(
      { workspace, chat, target, promptTokens, outputTokens },
      view,
      world.now,
      this.#random,
    );
  }

  /** Assumes that a cache fills linearly from the time its engine came up. */
  #estimateFreeTokens(engine: SimulatedEngine, now: number): number {
    const uptime = now - (this.#upSince.get(engine.id) ?? 0);
    return CACHE_TOKENS * Math.max(0, 1 - uptime / CACHE_FILL_MILLISECONDS);
  }

  #remember(
    workspace: number,
    chat: number,
    engine: SimulatedEngine,
    cachedTokens: number,
    now: number,
  ): void {
    const key = { workspace: workspaceName(workspace), chat: chatName(chat) };
    const server = { backendServer: engine.id, cachedTokens };
    this.#table.remember(key, server, now);
  }

  #configure(world: AffinityWorld): void {
    this.#states.engines.clear();
    for (const engine of world.engines) {
      this.#states.engines.set(engine.id, engine);
      if (!this.#upSince.has(engine.id)) {
        this.#upSince.set(engine.id, world.now);
      }
    }
    for (const id of this.#upSince.keys()) {
      if (!this.#states.engines.has(id)) this.#upSince.delete(id);
    }
    const ids = world.engines.map((engine) => engine.id);
    const generation = ++this.#generation;
    this.#index = indexEngines(this.#fleet, ids, generation, this.#index);
    for (const id of this.#cacheIndexes.keys()) {
      if (!this.#states.engines.has(id)) this.#cacheIndexes.delete(id);
    }
    const isConfigured = (id: BackendServerId) => this.#states.engines.has(id);
    this.#flapDamping.retain(isConfigured);
    for (const warm of this.#warm) warm.retain(isConfigured);
    this.#appliedSummary = undefined;
  }

  #refreshLoad(world: AffinityWorld): void {
    if (this.#appliedSummary === world.laggedWorkspaceTokens) return;
    this.#appliedSummary = world.laggedWorkspaceTokens;
    this.#load.tokensOf.clear();
    let [total, count] = [0, 0];
    for (const engine of world.engines) {
      const tokens = world.laggedTokens(engine);
      this.#load.tokensOf.set(engine.id, tokens);
      if (!engine.isServing || this.isExcluded(engine, world)) continue;
      total += tokens;
      count++;
    }
    this.#load.mean = count === 0 ? 0 : total / count;
  }
}

/** An oracle that also exports hot chats when an engine drains. */
export class ExportingOracle extends Oracle {
  override readonly name = "oracle, KV export";
  exportedBytes = 0;
  drains = 0;
  readonly #sharedTokens: readonly number[];

  constructor(workload: Workload) {
    super();
    this.#sharedTokens = workload.sharedTokens;
  }

  override onLeave(engine: SimulatedEngine, world: AffinityWorld): void {
    this.drains++;
    _exportHotChats(
      engine,
      world.engines.filter((target) => !this.isExcluded(target, world)),
      (target) => target.freeTokens,
      this.#sharedTokens,
      (_chat, _to, bytes) => this.exportedBytes += bytes,
    );
  }
}
