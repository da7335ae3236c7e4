/**
 * A simulated engine: an LRU prefix cache, a queue of prompts to prefill, and
 * the tokens in flight.
 */
import type { CacheEvent } from "../src/core/prefix_cache_index.ts";
import {
  type BackendServerId,
  brandId,
  type ChatId,
  type WorkspaceId,
} from "../src/core/ids.ts";
import type { WorkloadRequest } from "./affinity_workload.ts";

/** Cache size of an engine; fits only some of its returning chats. */
export const CACHE_TOKENS = 200_000;
/** Default prefill rate of a model in the fleet file. */
export const PREFILL_TOKENS_PER_SECOND = 8_000;

/** Returns the id of the workspace with a number. */
export function workspaceName(workspace: number): WorkspaceId {
  return brandId<WorkspaceId>(`workspace-${workspace}`);
}

/** Returns the number in a workspace id. */
export function workspaceNumber(workspace: WorkspaceId): number {
  return Number(workspace.slice("workspace-".length));
}

/** Returns the id of the chat with a number. */
export function chatName(chat: number): ChatId {
  return brandId<ChatId>(`chat-${chat}`);
}

/** The cached tokens of a chat or of a shared prompt. */
interface _CachedPrefix {
  readonly workspace: number;
  /** For a chat, the tokens after the shared prompt. */
  readonly tokens: number;
}

/** A cached chat; the prefix includes the shared prompt. */
export interface HotChat {
  readonly chat: number;
  readonly workspace: number;
  readonly prefixTokens: number;
}

/** Simulates the cache, prefill queue and load of one engine. */
export class SimulatedEngine {
  readonly id: BackendServerId;
  readonly slot: number;
  /** Increases when the engine restarts with an empty cache. */
  run = 0;
  isUp = true;
  isLeaving = false;
  loadTokens = 0;
  readonly #sharedTokens: readonly number[];
  /** Least recently used first; shared prompts have negative keys. */
  #cache = new Map<number, _CachedPrefix>();
  #cachedTokens = 0;
  #prefillFreeAt = 0;
  #sequence = 0;
  #events: CacheEvent[] = [];

  constructor(id: string, slot: number, sharedTokens: readonly number[]) {
    this.id = brandId<BackendServerId>(id);
    this.slot = slot;
    this.#sharedTokens = sharedTokens;
  }

  /** Whether the engine accepts new requests. */
  get isServing(): boolean {
    return this.isUp && !this.isLeaving;
  }

  /** Unused capacity of the cache. */
  get freeTokens(): number {
    return CACHE_TOKENS - this.#cachedTokens;
  }

  /** Returns how many prompt tokens of a request are cached. */
  reusableTokens(request: WorkloadRequest): number {
    if (!this.#cache.has(-1 - request.workspace)) return 0;
    const chat = this.#cache.get(request.chat);
    return request.sharedTokens + (chat?.tokens ?? 0);
  }

  /** Prefills a prompt and returns the time to its first token. */
  prefill(request: WorkloadRequest, now: number): number {
    const uncached = request.promptTokens - this.reusableTokens(request);
    const start = Math.max(now, this.#prefillFreeAt);
    this.#prefillFreeAt = start + uncached * 1_000 / PREFILL_TOKENS_PER_SECOND;
    this.store(
      request.workspace,
      request.chat,
      request.promptTokens + request.outputTokens,
    );
    return this.#prefillFreeAt - now;
  }

  /** Caches the prefix of a chat, including the shared prompt. */
  store(workspace: number, chat: number, prefixTokens: number): void {
    const shared = this.#sharedTokens[workspace] ?? 0;
    this.#put(chat, { workspace, tokens: prefixTokens - shared });
    this.#put(-1 - workspace, { workspace, tokens: shared });
    while (this.#cachedTokens > CACHE_TOKENS) this.#evictOldest();
  }

  /** Whether the shared prompt of a workspace is cached. */
  hasShared(workspace: number): boolean {
    return this.#cache.has(-1 - workspace);
  }

  /** Returns the cached chats, most recently used first. */
  hotChats(): HotChat[] {
    return [...this.#cache]
      .filter(([key]) => key >= 0)
      .map(([chat, { workspace, tokens }]) => ({
        chat,
        workspace,
        prefixTokens: tokens + (this.#sharedTokens[workspace] ?? 0),
      }))
      .reverse();
  }

  /** Returns and clears the cache events since the last call. */
  takeEvents(): CacheEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }

  /** Restarts with an empty cache and no work in flight. */
  restart(): void {
    this.run++;
    this.loadTokens = 0;
    this.#cache = new Map();
    this.#cachedTokens = 0;
    this.#prefillFreeAt = 0;
    this.#sequence = 0;
    this.#events = [];
  }

  #put(key: number, entry: _CachedPrefix): void {
    const previous = this.#cache.get(key);
    this.#cache.delete(key);
    this.#cache.set(key, entry);
    this.#cachedTokens += entry.tokens - (previous?.tokens ?? 0);
    if (previous?.tokens !== entry.tokens) this.#publish("stored", key, entry);
  }

  #evictOldest(): void {
    for (const [key, entry] of this.#cache) {
      this.#cache.delete(key);
      this.#cachedTokens -= entry.tokens;
      this.#publish("evicted", key, entry);
      return;
    }
  }

  #publish(kind: CacheEvent["kind"], key: number, entry: _CachedPrefix): void {
    const shared = key < 0 ? 0 : this.#sharedTokens[entry.workspace] ?? 0;
    this.#events.push({
      sequence: ++this.#sequence,
      kind,
      workspace: workspaceName(entry.workspace),
      chat: key < 0 ? undefined : chatName(key),
      tokens: entry.tokens + shared,
    });
  }
}
