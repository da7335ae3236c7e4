/**
 * The backend servers that last served each chat. The table has a maximum size
 * and evicts the least recently used chat, but a workspace that uses no more
 * than an equal share of the table loses no chat to another workspace. Entries
 * are stored in typed arrays, so that a chat takes about 100 bytes.
 */
import type { ChatId, WorkspaceId } from "./ids.ts";
import { createInterner, type Interner } from "./interner.ts";
import { hash32 } from "./hash32.ts";
import { RecencyList } from "./recency_list.ts";
import {
  type RememberedServer,
  RememberedServers,
  TIME_UNIT_MILLISECONDS,
  toTimeUnits,
} from "./remembered_servers.ts";

/** Chats with longer ids are not stored, which bounds the size of an entry. */
export const MAXIMUM_CHAT_ID_LENGTH = 128;

/** Chats continue within hours; engines evict their cache well before 6 h. */
const DEFAULT_RETENTION_MILLISECONDS = 6 * 60 * 60 * 1_000;
const NONE = -1;

/** A chat with its servers, most recent first, as sent to another router. */
export interface ChatEntry {
  readonly workspace: WorkspaceId;
  readonly chat: ChatId;
  readonly servers: readonly RememberedServer[];
}

/** Options of a chat table. */
export interface ChatTableOptions {
  readonly maximumChats: number;
  readonly retentionMilliseconds?: number;
}

/** Identifies a chat. Chat ids are unique within a workspace only. */
export interface ChatKey {
  readonly workspace: WorkspaceId;
  readonly chat: ChatId;
}

/** A table of chats with a maximum size. */
export interface ChatTable {
  /** Returns the servers of a chat, most recent first, and marks it as used. */
  lookup(key: ChatKey, now: number): readonly RememberedServer[];
  /** Records that a server served a chat; 0 cached tokens remove the server. */
  remember(
    key: ChatKey,
    server: Omit<RememberedServer, "ageMilliseconds">,
    now: number,
  ): void;
  /** Adds another router's entries. Per server, the more recent use wins. */
  merge(entries: Iterable<ChatEntry>, now: number): void;
  /** Yields all entries, least recently used first. */
  entries(now: number): Iterable<ChatEntry>;
  /** Returns the number of chats. */
  size(): number;
  /** Returns the number of chats of one workspace. */
  sizeOf(workspace: WorkspaceId): number;
  /** Returns the bytes of the typed arrays, which exclude the chat ids. */
  arrayBytes(): number;
}

/** Copies a string, so that a slice does not retain its parent string. */
function _flatCopy(text: string): string {
  return Buffer.from(text).toString();
}

class _ChatTable implements ChatTable {
  readonly #maximumChats: number;
  readonly #retentionUnits: number;
  readonly #workspaceIds: Interner = createInterner();
  readonly #buckets: Int32Array;
  readonly #hashes: Uint32Array;
  /** Next slot in the same hash bucket or in the free list. */
  readonly #next: Int32Array;
  readonly #workspaceOf: Uint32Array;
  readonly #usedAt: Uint32Array;
  readonly #servers: RememberedServers;
  readonly #recency: RecencyList;
  readonly #chats: string[] = [];
  #size = 0;
  #firstFree = NONE;

  constructor(options: ChatTableOptions) {
    const maximum = options.maximumChats;
    this.#maximumChats = maximum;
    this.#retentionUnits = Math.floor(
      (options.retentionMilliseconds ?? DEFAULT_RETENTION_MILLISECONDS) /
        TIME_UNIT_MILLISECONDS,
    );
    this.#buckets = new Int32Array(2 ** Math.ceil(Math.log2(maximum + 1)))
      .fill(NONE);
    this.#hashes = new Uint32Array(maximum);
    this.#next = new Int32Array(maximum);
    this.#workspaceOf = new Uint32Array(maximum);
    this.#usedAt = new Uint32Array(maximum);
    this.#servers = new RememberedServers(maximum);
    this.#recency = new RecencyList(maximum);
  }

  lookup(key: ChatKey, now: number): readonly RememberedServer[] {
    const slot = this.#find(key);
    if (slot === NONE) return [];
    this.#usedAt[slot] = toTimeUnits(now);
    this.#recency.moveToNewest(slot);
    return this.#servers.of(slot, now);
  }

  remember(
    key: ChatKey,
    server: Omit<RememberedServer, "ageMilliseconds">,
    now: number,
  ): void {
    const found = this.#find(key);
    if (server.cachedTokens <= 0) {
      if (found === NONE) return;
      this.#servers.remove(found, server.backendServer);
      if (this.#servers.isEmpty(found)) this.#remove(found);
      return;
    }
    const slot = found === NONE ? this.#insert(key, toTimeUnits(now)) : found;
    if (slot === NONE) return;
    this.#usedAt[slot] = toTimeUnits(now);
    this.#recency.moveToNewest(slot);
    this.#servers.set(
      slot,
      server.backendServer,
      server.cachedTokens,
      toTimeUnits(now),
    );
  }

  merge(entries: Iterable<ChatEntry>, now: number): void {
    for (const entry of entries) {
      const servers = entry.servers.filter((server) => server.cachedTokens > 0);
      const times = servers.map((server) =>
        toTimeUnits(Math.max(0, now - server.ageMilliseconds))
      );
      const usedAt = Math.max(0, ...times);
      let slot = this.#find(entry);
      if (slot === NONE && servers.length > 0) {
        if (this.#isFull() && usedAt <= this.#usedAtOf(this.#recency.oldest)) {
          continue;
        }
        slot = this.#insert(entry, usedAt);
      }
      if (slot === NONE) continue;
      if (usedAt > this.#usedAtOf(slot)) {
        this.#usedAt[slot] = usedAt;
        this.#recency.moveToNewest(slot);
      }
      servers.forEach((server, index) =>
        this.#servers.set(
          slot,
          server.backendServer,
          server.cachedTokens,
          times[index] ?? 0,
        )
      );
    }
  }

  *entries(now: number): Iterable<ChatEntry> {
    for (
      let slot = this.#recency.oldest;
      slot !== NONE;
      slot = this.#recency.newerOf(slot)
    ) {
      yield {
        workspace: this.#workspaceIds.textOf(
          this.#workspaceOf[slot] ?? 0,
        ) as WorkspaceId,
        chat: (this.#chats[slot] ?? "") as ChatId,
        servers: this.#servers.of(slot, now),
      };
    }
  }

  size(): number {
    return this.#size;
  }

  sizeOf(workspace: WorkspaceId): number {
    return this.#workspaceIds.usesOf(this.#workspaceIds.indexOf(workspace));
  }

  arrayBytes(): number {
    return [
      this.#buckets,
      this.#hashes,
      this.#next,
      this.#workspaceOf,
      this.#usedAt,
    ].reduce(
      (total, array) => total + array.byteLength,
      this.#servers.arrayBytes() + this.#recency.arrayBytes(),
    );
  }

  #isFull(): boolean {
    return this.#size >= this.#maximumChats;
  }

  #usedAtOf(slot: number): number {
    return this.#usedAt[slot] ?? 0;
  }

  #bucketOf(hash: number): number {
    return hash & (this.#buckets.length - 1);
  }

  #find(key: ChatKey): number {
    const workspace = this.#workspaceIds.indexOf(key.workspace);
    if (workspace === NONE) return NONE;
    const hash = _hashOf(key);
    let slot = this.#buckets[this.#bucketOf(hash)] ?? NONE;
    while (slot !== NONE) {
      const isMatch = this.#hashes[slot] === hash &&
        this.#workspaceOf[slot] === workspace &&
        this.#chats[slot] === key.chat;
      if (isMatch) return slot;
      slot = this.#next[slot] ?? NONE;
    }
    return NONE;
  }

  #insert(key: ChatKey, usedAt: number): number {
    if (key.chat.length > MAXIMUM_CHAT_ID_LENGTH) return NONE;
    const workspace = this.#workspaceIds.acquire(key.workspace);
    if (this.#isFull()) this.#remove(this.#chooseVictim(usedAt));
    let slot = this.#firstFree;
    if (slot === NONE) slot = this.#size;
    else this.#firstFree = this.#next[slot] ?? NONE;
    this.#size++;
    const hash = _hashOf(key);
    const bucket = this.#bucketOf(hash);
    this.#hashes[slot] = hash;
    this.#next[slot] = this.#buckets[bucket] ?? NONE;
    this.#buckets[bucket] = slot;
    this.#workspaceOf[slot] = workspace;
    this.#usedAt[slot] = usedAt;
    this.#chats[slot] = _flatCopy(key.chat);
    this.#recency.add(slot);
    return slot;
  }

  /**
   * Returns the least recently used chat that is expired or whose workspace is
   * above its equal share. The new chat is already counted, so some workspace
   * is above its share. Skipped chats move to the newest end, so that the next
   * eviction does not scan them again.
   */
  #chooseVictim(now: number): number {
    const share = this.#maximumChats / this.#workspaceIds.size();
    for (let step = 0; step < this.#size; step++) {
      const slot = this.#recency.oldest;
      const isExpired = now - this.#usedAtOf(slot) > this.#retentionUnits;
      const count = this.#workspaceIds.usesOf(this.#workspaceOf[slot] ?? NONE);
      if (isExpired || count > share) return slot;
      this.#recency.moveToNewest(slot);
    }
    return this.#recency.oldest;
  }

  #remove(slot: number): void {
    const bucket = this.#bucketOf(this.#hashes[slot] ?? 0);
    let prior = this.#buckets[bucket] ?? NONE;
    const next = this.#next[slot] ?? NONE;
    if (prior === slot) this.#buckets[bucket] = next;
    else {
      while (this.#next[prior] !== slot) prior = this.#next[prior] ?? NONE;
      this.#next[prior] = next;
    }
    this.#recency.remove(slot);
    this.#workspaceIds.release(this.#workspaceOf[slot] ?? 0);
    this.#servers.removeAll(slot);
    this.#chats[slot] = "";
    this.#next[slot] = this.#firstFree;
    this.#firstFree = slot;
    this.#size--;
  }
}

function _hashOf(key: ChatKey): number {
  return hash32(`${key.workspace}/${key.chat}`);
}

/** Creates an empty chat table. */
export function createChatTable(options: ChatTableOptions): ChatTable {
  return new _ChatTable(options);
}
