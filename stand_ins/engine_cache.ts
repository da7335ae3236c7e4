/**
 * The stand-in engine's prefix cache: an LRU cache of blocks keyed by a hash
 * chain over words, with an event log that is delayed and may have gaps.
 */
import type { RandomSource } from "../src/core/random.ts";
import { hash64 } from "../src/core/hash64.ts";

/** Tokens (words) per cache block. */
export const BLOCK_TOKENS = 16;
/** KV cache size per token, as counted by export and import. */
export const BYTES_PER_TOKEN = 1_024;
const MAXIMUM_EVENTS = 4_096;

/** An entry of the event log. Lost events leave a gap in the sequence. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "removed";
  readonly chat: string;
  readonly blocks: readonly string[];
  readonly tokens: number;
}

/** The blocks of one chat, as exchanged by export and import. */
export interface ExportedChat {
  readonly chat: string;
  readonly blocks: readonly string[];
}

/** Returns the KV cache size of exported chats in bytes. */
export function bytesOf(entries: readonly ExportedChat[]): number {
  const blocks = entries.reduce((sum, entry) => sum + entry.blocks.length, 0);
  return blocks * BLOCK_TOKENS * BYTES_PER_TOKEN;
}

/** Configures a prefix cache. */
export interface PrefixCacheOptions {
  readonly cacheTokens: number;
  readonly eventLagMilliseconds: number;
  /** Fraction of events that are dropped from the log. */
  readonly eventLossRatio: number;
  readonly random: RandomSource;
}

/** Hashes the full blocks of a token sequence, each with its predecessors. */
export function blockChain(root: string, tokens: readonly string[]): string[] {
  const chain: string[] = [];
  let previous = hash64(root);
  for (let end = BLOCK_TOKENS; end <= tokens.length; end += BLOCK_TOKENS) {
    const block = tokens.slice(end - BLOCK_TOKENS, end).join(" ");
    previous = hash64(`${previous}/${block}`);
    chain.push(previous);
  }
  return chain;
}

/** An LRU cache of prefix blocks. */
export class PrefixCache {
  readonly #options: PrefixCacheOptions;
  /** Maps each block to the chat that stored it, least recently used first. */
  readonly #blocks = new Map<string, string>();
  readonly #events: { readonly at: number; readonly event: CacheEvent }[] = [];
  #sequence = 0;

  constructor(options: PrefixCacheOptions) {
    this.#options = options;
  }

  /** Returns the number of cached leading tokens and marks them as used. */
  lookUp(chain: readonly string[]): number {
    let cached = 0;
    for (const block of chain) {
      const chat = this.#blocks.get(block);
      if (chat === undefined) break;
      this.#blocks.delete(block);
      this.#blocks.set(block, chat);
      cached += BLOCK_TOKENS;
    }
    return cached;
  }

  /** Stores blocks and evicts the least recently used ones above the limit. */
  store(chat: string, chain: readonly string[]): void {
    const added = chain.filter((block) => !this.#blocks.has(block));
    for (const block of chain) {
      this.#blocks.delete(block);
      this.#blocks.set(block, chat);
    }
    if (added.length > 0) this.#log("stored", chat, added);
    const evicted = new Map<string, string[]>();
    for (const [block, owner] of this.#blocks) {
      if (this.#blocks.size * BLOCK_TOKENS <= this.#options.cacheTokens) break;
      this.#blocks.delete(block);
      evicted.set(owner, [...(evicted.get(owner) ?? []), block]);
    }
    for (const [owner, blocks] of evicted) this.#log("removed", owner, blocks);
  }

  /** Returns events after a sequence number, except those within the lag. */
  events(after: number): { latest: number; events: CacheEvent[] } {
    const cutoff = performance.now() - this.#options.eventLagMilliseconds;
    const visibleEvents = this.#events.filter(({ at }) => at <= cutoff);
    const events = visibleEvents.map(({ event }) => event);
    return {
      latest: events.at(-1)?.sequence ?? 0,
      events: events.filter(({ sequence }) => sequence > after),
    };
  }

  /**
   * Returns the given chats' blocks in order, skipping chats that exceed the
   * remaining byte budget.
   */
  export(chats: readonly string[], maximumBytes: number): ExportedChat[] {
    const byChat = new Map<string, string[]>(chats.map((chat) => [chat, []]));
    for (const [block, chat] of this.#blocks) byChat.get(chat)?.push(block);
    let remainingBytes = maximumBytes;
    const exported: ExportedChat[] = [];
    for (const [chat, blocks] of byChat) {
      const bytes = bytesOf([{ chat, blocks }]);
      if (blocks.length === 0 || bytes > remainingBytes) continue;
      remainingBytes -= bytes;
      exported.push({ chat, blocks });
    }
    return exported;
  }

  /** Returns the chats that stored the given blocks. */
  chatsOf(blocks: readonly string[]): string[] {
    const chats = blocks.map((block) => this.#blocks.get(block));
    return [...new Set(chats.filter((chat) => chat !== undefined))];
  }

  /** Number of cached tokens. */
  get tokens(): number {
    return this.#blocks.size * BLOCK_TOKENS;
  }

  #log(
    kind: CacheEvent["kind"],
    chat: string,
    blocks: readonly string[],
  ): void {
    const event = {
      sequence: ++this.#sequence,
      kind,
      chat,
      blocks,
      tokens: blocks.length * BLOCK_TOKENS,
    };
    if (this.#options.random.next() < this.#options.eventLossRatio) return;
    this.#events.push({ at: performance.now(), event });
    if (this.#events.length > MAXIMUM_EVENTS) this.#events.shift();
  }
}
