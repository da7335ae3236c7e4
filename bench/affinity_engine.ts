/**
 * A simulated engine: a prefix cache that forgets the least recently used
 * prefix, a queue of prompts to prefill, and the tokens in flight.
 */
import type { CacheEvent } from "../src/core/prefix_cache_index.ts";
import {
  type BackendServerId,
  brandId,
  type ChatId,
  type WorkspaceId,
} from "../src/core/ids.ts";
import type { WorkloadRequest } from "./affinity_workload.ts";

/** Tokens that an engine can cache; holds a part of its returning chats. */
export const CACHE_TOKENS = 200_000;
/** The default prefill rate of a model in the fleet file. */
export const PREFILL_TOKENS_PER_SECOND = 8_000;

/** Names the workspace of a number. */
export function workspaceName(workspace: number): WorkspaceId {
  return brandId<WorkspaceId>(`workspace-${workspace}`);
}

/** Returns the number in a workspace's name. */
export function workspaceNumber(workspace: WorkspaceId): number {
  return Number(workspace.slice("workspace-".length));
}

/** Names the chat of a number. */
export function chatName(chat: number): ChatId {
  return brandId<ChatId>(`chat-${chat}`);
}

interface _CachedChat {
  readonly workspace: number;
  /** Tokens after the shared prompt. */
  readonly tokens: number;
}

/** A chat in a cache, with its whole prefix. */
export interface HotChat {
  readonly chat: number;
  readonly workspace: number;
  readonly prefixTokens: number;
}

/** An engine of the simulation. */
export class SimulatedEngine {
  readonly id: BackendServerId;
  readonly slot: number;
  /** Changes when the engine restarts with an empty cache. */
  run = 0;
  isUp = true;
  isLeaving = false;
  loadTokens = 0;
  readonly #sharedTokens: readonly number[];
  /** Shared prompts have negative keys; least recently used first. */
  #cache = new Map<number, _CachedChat>();
  #cachedTokens = 0;
  #prefillFreeAt = 0;
  #sequence = 0;
  #events: CacheEvent[] = [];

  constructor(id: string, slot: number, sharedTokens: readonly number[]) {
    this.id = brandId<BackendServerId>(id);
    this.slot = slot;
    this.#sharedTokens = sharedTokens;
  }

  /** Whether the engine takes new requests. */
  get isServing(): boolean {
    return this.isUp && !this.isLeaving;
  }

  /** Free room in the cache. */
  get freeTokens(): number {
    return CACHE_TOKENS - this.#cachedTokens;
  }

  /** Returns the prompt tokens of a request that are cached. */
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

  /** Caches the prefix of a chat, shared prompt included. */
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

  /** Takes the cache events since the last call. */
  takeEvents(): CacheEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }

  /** Loses the cache and all work in flight. */
  restart(): void {
    this.run++;
    this.loadTokens = 0;
    this.#cache = new Map();
    this.#cachedTokens = 0;
    this.#prefillFreeAt = 0;
    this.#sequence = 0;
    this.#events = [];
  }

  #put(key: number, entry: _CachedChat): void {
    const known = this.#cache.get(key);
    this.#cache.delete(key);
    this.#cache.set(key, entry);
    this.#cachedTokens += entry.tokens - (known?.tokens ?? 0);
    if (known?.tokens !== entry.tokens) this.#publish("stored", key, entry);
  }

  #evictOldest(): void {
    for (const [key, entry] of this.#cache) {
      this.#cache.delete(key);
      this.#cachedTokens -= entry.tokens;
      this.#publish("evicted", key, entry);
      return;
    }
  }

  #publish(kind: CacheEvent["kind"], key: number, entry: _CachedChat): void {
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
