/**
 * Measures the time of a routing decision, from the chat table lookup to the
 * ranked candidates, at growing pool sizes, and the memory per remembered chat.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type ChatTable, createChatTable } from "../src/core/chat_table.ts";
import { createFlapDamping } from "../src/core/flap_damping.ts";
import { type BackendServerId, brandId } from "../src/core/ids.ts";
import { LoadView } from "../src/core/load_view.ts";
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";
import {
  BackendStateView,
  rankCandidates,
  type RoutingView,
} from "../src/core/routing.ts";
import type { RoutingIndex } from "../src/core/routing_index.ts";
import { WARM_SERVERS_PER_WORKSPACE } from "../src/core/warm_servers.ts";
import { createBenchFleet, indexEngines } from "./affinity_design.ts";
import { chatName, workspaceName } from "./affinity_engine.ts";
import type { BenchOptions, BenchReport, BenchRow } from "./bench_report.ts";
import { median } from "./median.ts";

const POOL_SIZES = [6, 50, 200, 880] as const;
const REMEMBERED_CHATS = 27_000;
/** Workspaces per router of 410 routers if each workspace has 3 addresses. */
const WORKSPACES = 343;
const DECISIONS_PER_ROUND = 5_000;
const ROUNDS = 9;
const MEAN_TOKENS = 10_000;
const SHARED_TOKENS = 800;
/** Limit of the decision time at 880 engines relative to 6 engines. */
const MAXIMUM_TIME_RATIO = 4;

setFlagsFromString("--expose-gc");
const _collectGarbage = runInNewContext("gc") as () => void;

class _EvenLoad extends LoadView {
  override relativeLoad(backendServer: BackendServerId): number {
    return this.tokens(backendServer) / MEAN_TOKENS;
  }
  override tokens(backendServer: BackendServerId): number {
    return MEAN_TOKENS + 37 * backendServer.length;
  }
  override meanTokens(): number {
    return MEAN_TOKENS;
  }
}

class _AllServing extends BackendStateView {
  override isServing(): boolean {
    return true;
  }
}

interface _Pool {
  readonly engines: number;
  readonly ids: readonly BackendServerId[];
  readonly index: RoutingIndex;
  readonly table: ChatTable;
  readonly bytesPerChat: number;
  readonly arrayBytesPerChat: number;
  readonly coldMicroseconds: number;
  readonly rounds: number[];
}

function _usedBytes(): number {
  _collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Pads a chat id to the length of the UUIDs that clients send. */
function _createChatId(chat: number) {
  return brandId<ReturnType<typeof chatName>>(
    `${chatName(chat)}-`.padEnd(36, "0123456789abcdef"),
  );
}

function _fillTable(engines: readonly BackendServerId[], random: RandomSource) {
  const before = _usedBytes();
  const table = createChatTable({ maximumChats: REMEMBERED_CHATS });
  for (let chat = 0; chat < REMEMBERED_CHATS; chat++) {
    const workspace = workspaceName(chat % WORKSPACES);
    for (let server = 0; server < 3; server++) {
      table.remember({ workspace, chat: _createChatId(chat) }, {
        backendServer: engines[random.integer(engines.length)] ??
          brandId<BackendServerId>(""),
        cachedTokens: 1_000 + random.integer(2_000),
      }, chat);
    }
  }
  const bytesPerChat = (_usedBytes() - before) / REMEMBERED_CHATS;
  return { table, bytesPerChat };
}

function _decide(pool: _Pool, random: RandomSource, now: number): number {
  const chat = random.integer(REMEMBERED_CHATS);
  const workspace = workspaceName(chat % WORKSPACES);
  const key = { workspace, chat: _createChatId(chat) };
  const view: RoutingView = {
    index: pool.index,
    load: _LOAD,
    backendStates: _STATES,
    flapDamping: _FLAP_DAMPING,
    remembered: pool.table.lookup(key, now),
    warm: pool.ids.slice(0, WARM_SERVERS_PER_WORKSPACE),
    cacheState: () => ({ kind: "unknown" }),
    workspaceTokens: () =>
      (chat % WORKSPACES) % 16 === 0
        ? pool.engines * MEAN_TOKENS / 4
        : MEAN_TOKENS,
  };
  const request = {
    ...key,
    target: { kind: "model", model: "assistant" } as const,
    promptTokens: 2_500,
    outputTokens: 300,
  };
  return rankCandidates(request, view, now, random).length;
}

const _LOAD = new _EvenLoad();
const _STATES = new _AllServing();
const _FLAP_DAMPING = createFlapDamping();

function _timeDecisions(
  pool: _Pool,
  random: RandomSource,
  decisions: number,
): number {
  const start = performance.now();
  let candidates = 0;
  for (let decision = 0; decision < decisions; decision++) {
    candidates += _decide(pool, random, REMEMBERED_CHATS + decision);
  }
  if (candidates < decisions) throw new Error("a decision had no candidate");
  return 1_000 * (performance.now() - start) / decisions;
}

function _createPool(engines: number, random: RandomSource): _Pool {
  const ids = Array.from(
    { length: engines },
    (_unused, index) => brandId<BackendServerId>(`engine-${index}`),
  );
  const shared = Array.from({ length: WORKSPACES }, () => SHARED_TOKENS);
  const index = indexEngines(createBenchFleet(shared), ids, 1);
  const { table, bytesPerChat } = _fillTable(ids, random);
  const arrayBytesPerChat = table.arrayBytes() / REMEMBERED_CHATS;
  const pool = {
    engines,
    ids,
    index,
    table,
    bytesPerChat,
    arrayBytesPerChat,
    coldMicroseconds: 0,
    rounds: [],
  };
  // The first decisions after a configuration change compute the rendezvous
  // rankings.
  const coldMicroseconds = _timeDecisions(pool, random, WORKSPACES);
  return { ...pool, coldMicroseconds };
}

/** Runs the bench; pool sizes alternate so that machine noise affects all. */
export async function runBench(options: BenchOptions): Promise<BenchReport> {
  const random = createSeededRandom(options.seed);
  const pools = POOL_SIZES.map((engines) => _createPool(engines, random));
  for (const pool of pools) _timeDecisions(pool, random, DECISIONS_PER_ROUND);
  for (let round = 0; round < ROUNDS; round++) {
    for (const pool of pools) {
      pool.rounds.push(_timeDecisions(pool, random, DECISIONS_PER_ROUND));
    }
  }
  const smallest = median(pools[0]?.rounds ?? []);
  const rows = pools.map((pool): BenchRow => ({
    engines: pool.engines,
    decision_microseconds: Number(median(pool.rounds).toFixed(2)),
    ratio_to_6_engines: Number((median(pool.rounds) / smallest).toFixed(2)),
    first_decisions_microseconds: Number(pool.coldMicroseconds.toFixed(1)),
    bytes_per_chat: Number(pool.bytesPerChat.toFixed(1)),
    array_bytes_per_chat: Number(pool.arrayBytesPerChat.toFixed(1)),
  }));
  const largest = rows.at(-1);
  return {
    name: "decision",
    rows,
    bounds: [{
      name: "time of a decision at 880 engines / at 6 engines",
      value: Number(largest?.["ratio_to_6_engines"]),
      comparison: "at_most",
      limit: MAXIMUM_TIME_RATIO,
    }],
  };
}
