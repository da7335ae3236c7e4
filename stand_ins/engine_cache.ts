/**
 * The stand-in engine's prefix cache: blocks by hash chain over words, least
 * recently used first out, and a log of events that is late and has gaps.
 */
import type { RandomSource } from "../src/core/random.ts";
import { hash64 } from "../src/core/rendezvous.ts";

/** Words in one block of the cache. */
export const BLOCK_TOKENS = 16;
/** Bytes of KV cache per token, as export and import count them. */
export const BYTES_PER_TOKEN = 1_024;
const MAXIMUM_EVENTS = 4_096;

/** One entry of the event log. Events that were lost leave a gap. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "removed";
  readonly chat: string;
  readonly blocks: readonly string[];
  readonly tokens: number;
}

/** Blocks of one chat, as export returns and import accepts them. */
export interface ExportedChat {
  readonly chat: string;
  readonly blocks: readonly string[];
}

/** The KV cache bytes of exported chats. */
export function bytesOf(entries: readonly ExportedChat[]): number {
  const blocks = entries.reduce((sum, entry) => sum + entry.blocks.length, 0);
  return blocks * BLOCK_TOKENS * BYTES_PER_TOKEN;
}

/** Options of a cache. */
export interface PrefixCacheOptions {
  readonly cacheTokens: number;
  readonly eventLagMilliseconds: number;
  /** Share of events that never appear in the log. */
  readonly eventLossRatio: number;
  readonly random: RandomSource;
}

/** Returns the hash chain of the full blocks of a token sequence. */
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

/** A bounded set of prefix blocks. */
export class PrefixCache {
  readonly #options: PrefixCacheOptions;
  /** Block to the chat that stored it, least recently used first. */
  readonly #blocks = new Map<string, string>();
  readonly #events: { readonly at: number; readonly event: CacheEvent }[] = [];
  #sequence = 0;

  constructor(options: PrefixCacheOptions) {
    this.#options = options;
  }

  /** Returns how many leading tokens are cached and marks them as used. */
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

  /** Stores blocks and evicts the least recently used ones beyond the size. */
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

  /** Returns the events after a sequence number that are old enough to show. */
  events(after: number): { latest: number; events: CacheEvent[] } {
    const due = performance.now() - this.#options.eventLagMilliseconds;
    const visible = this.#events.filter(({ at }) => at <= due);
    const events = visible.map(({ event }) => event);
    return {
      latest: events.at(-1)?.sequence ?? 0,
      events: events.filter(({ sequence }) => sequence > after),
    };
  }

  /** Returns the blocks of the named chats, first named first, within a budget. */
  export(chats: readonly string[], maximumBytes: number): ExportedChat[] {
    const byChat = new Map<string, string[]>(chats.map((chat) => [chat, []]));
    for (const [block, chat] of this.#blocks) byChat.get(chat)?.push(block);
    let left = maximumBytes;
    const exported: ExportedChat[] = [];
    for (const [chat, blocks] of byChat) {
      const bytes = bytesOf([{ chat, blocks }]);
      if (blocks.length === 0 || bytes > left) continue;
      left -= bytes;
      exported.push({ chat, blocks });
    }
    return exported;
  }

  /** Returns the chats that stored the given blocks. */
  ownersOf(blocks: readonly string[]): string[] {
    const owners = blocks.map((block) => this.#blocks.get(block));
    return [...new Set(owners.filter((owner) => owner !== undefined))];
  }

  /** The tokens held. */
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
