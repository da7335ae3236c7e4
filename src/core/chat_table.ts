/**
 * Where each chat was last served. The table is bounded and forgets the least
 * recently used chat first, except that a workspace that holds no more than its
 * equal share of the table loses no chat to another workspace. Entries live in
 * typed arrays to keep a chat near a hundred bytes.
 */
import type { BackendServerId, ChatId, WorkspaceId } from "./ids.ts";
import { createInterner, type Interner } from "./interner.ts";
import { hash32 } from "./rendezvous.ts";

/** How many backend servers are remembered for one chat. */
export const SERVERS_PER_CHAT = 3;
/** A longer chat id is not remembered, which bounds the bytes of an entry. */
export const MAXIMUM_CHAT_ID_LENGTH = 128;

/** 32-bit times in this unit cover more than 13 years of one process. */
const TIME_UNIT_MILLISECONDS = 100;
/** Chats return within hours; after this time their cache is long evicted. */
const DEFAULT_RETENTION_MILLISECONDS = 6 * 60 * 60 * 1_000;
const NONE = -1;

/** A backend server that served a chat. */
export interface RememberedServer {
  readonly backendServer: BackendServerId;
  readonly cachedTokens: number;
  /** Since the server last served the chat; clocks of routers are unrelated. */
  readonly ageMilliseconds: number;
}

/** A chat with its servers, most recent first, as handed to another router. */
export interface ChatEntry {
  readonly workspace: WorkspaceId;
  readonly chat: ChatId;
  readonly servers: readonly RememberedServer[];
}

/** The size of a chat table. */
export interface ChatTableOptions {
  readonly maximumChats: number;
  readonly retentionMilliseconds?: number;
}

/** A chat of a workspace; equal chat ids of two workspaces are two chats. */
export interface ChatKey {
  readonly workspace: WorkspaceId;
  readonly chat: ChatId;
}

/** A bounded memory of chats. */
export interface ChatTable {
  /** Returns the servers of a chat, most recent first, and marks it as used. */
  lookup(key: ChatKey, now: number): readonly RememberedServer[];
  /** Records that a server served a chat. No cached tokens: removes the server. */
  remember(
    key: ChatKey,
    server: Omit<RememberedServer, "ageMilliseconds">,
    now: number,
  ): void;
  /** Adds another router's entries; the more recent fact about a server wins. */
  merge(entries: Iterable<ChatEntry>, now: number): void;
  /** Yields all entries, least recently used first. */
  entries(now: number): Iterable<ChatEntry>;
  /** The number of chats. */
  size(): number;
  /** The chats of one workspace. */
  sizeOf(workspace: WorkspaceId): number;
  /** Bytes of the typed arrays, without the text of chat ids. */
  arrayBytes(): number;
}

/** Copies a string, so that it does not keep a longer parent string alive. */
function _flatCopy(text: string): string {
  return Buffer.from(text).toString();
}

class _ChatTable implements ChatTable {
  readonly #maximum: number;
  readonly #retention: number;
  readonly #workspaces: Interner = createInterner();
  readonly #servers: Interner = createInterner();
  readonly #buckets: Int32Array;
  readonly #hashes: Uint32Array;
  readonly #chained: Int32Array;
  readonly #newer: Int32Array;
  readonly #older: Int32Array;
  readonly #workspaceOf: Uint32Array;
  readonly #usedAt: Uint32Array;
  readonly #server: Int32Array;
  readonly #tokens: Uint32Array;
  readonly #servedAt: Uint32Array;
  readonly #chats: string[] = [];
  #newest = NONE;
  #oldest = NONE;
  #size = 0;
  #free = NONE;

  constructor(options: ChatTableOptions) {
    const maximum = options.maximumChats;
    this.#maximum = maximum;
    this.#retention = Math.floor(
      (options.retentionMilliseconds ?? DEFAULT_RETENTION_MILLISECONDS) /
        TIME_UNIT_MILLISECONDS,
    );
    this.#buckets = new Int32Array(2 ** Math.ceil(Math.log2(maximum + 1)))
      .fill(NONE);
    this.#hashes = new Uint32Array(maximum);
    this.#chained = new Int32Array(maximum);
    this.#newer = new Int32Array(maximum);
    this.#older = new Int32Array(maximum);
    this.#workspaceOf = new Uint32Array(maximum);
    this.#usedAt = new Uint32Array(maximum);
    this.#server = new Int32Array(maximum * SERVERS_PER_CHAT).fill(NONE);
    this.#tokens = new Uint32Array(maximum * SERVERS_PER_CHAT);
    this.#servedAt = new Uint32Array(maximum * SERVERS_PER_CHAT);
  }

  lookup(key: ChatKey, now: number): readonly RememberedServer[] {
    const slot = this.#find(key);
    if (slot === NONE) return [];
    this.#usedAt[slot] = _toUnits(now);
    this.#moveToNewest(slot);
    return this.#serversOf(slot, now);
  }

  remember(
    key: ChatKey,
    server: Omit<RememberedServer, "ageMilliseconds">,
    now: number,
  ): void {
    const known = this.#find(key);
    if (server.cachedTokens <= 0) {
      if (known !== NONE) this.#forget(known, server.backendServer);
      return;
    }
    const slot = known === NONE ? this.#insert(key, _toUnits(now)) : known;
    if (slot === NONE) return;
    this.#usedAt[slot] = _toUnits(now);
    this.#moveToNewest(slot);
    this.#put(slot, server.backendServer, server.cachedTokens, _toUnits(now));
  }

  merge(entries: Iterable<ChatEntry>, now: number): void {
    for (const entry of entries) {
      const servers = entry.servers.filter((server) => server.cachedTokens > 0);
      const times = servers.map((server) =>
        _toUnits(Math.max(0, now - server.ageMilliseconds))
      );
      const usedAt = Math.max(0, ...times);
      let slot = this.#find(entry);
      if (slot === NONE && servers.length > 0) {
        if (this.#isFull() && usedAt <= this.#usedAtOf(this.#oldest)) continue;
        slot = this.#insert(entry, usedAt);
      }
      if (slot === NONE) continue;
      if (usedAt > this.#usedAtOf(slot)) {
        this.#usedAt[slot] = usedAt;
        this.#moveToNewest(slot);
      }
      servers.forEach((server, index) =>
        this.#put(
          slot,
          server.backendServer,
          server.cachedTokens,
          times[index] ?? 0,
        )
      );
    }
  }

  *entries(now: number): Iterable<ChatEntry> {
    for (let slot = this.#oldest; slot !== NONE; slot = this.#newerOf(slot)) {
      yield {
        workspace: this.#workspaces.textOf(
          this.#workspaceOf[slot] ?? 0,
        ) as WorkspaceId,
        chat: (this.#chats[slot] ?? "") as ChatId,
        servers: this.#serversOf(slot, now),
      };
    }
  }

  size(): number {
    return this.#size;
  }

  sizeOf(workspace: WorkspaceId): number {
    return this.#workspaces.usesOf(this.#workspaces.indexOf(workspace));
  }

  arrayBytes(): number {
    return [
      this.#buckets,
      this.#hashes,
      this.#chained,
      this.#newer,
      this.#older,
      this.#workspaceOf,
      this.#usedAt,
      this.#server,
      this.#tokens,
      this.#servedAt,
    ].reduce((total, array) => total + array.byteLength, 0);
  }

  #isFull(): boolean {
    return this.#size >= this.#maximum;
  }

  #newerOf(slot: number): number {
    return this.#newer[slot] ?? NONE;
  }

  #usedAtOf(slot: number): number {
    return this.#usedAt[slot] ?? 0;
  }

  #bucketOf(hash: number): number {
    return hash & (this.#buckets.length - 1);
  }

  #find(key: ChatKey): number {
    const workspace = this.#workspaces.indexOf(key.workspace);
    if (workspace === NONE) return NONE;
    const hash = _hashOf(key);
    let slot = this.#buckets[this.#bucketOf(hash)] ?? NONE;
    while (slot !== NONE) {
      const same = this.#hashes[slot] === hash &&
        this.#workspaceOf[slot] === workspace &&
        this.#chats[slot] === key.chat;
      if (same) return slot;
      slot = this.#chained[slot] ?? NONE;
    }
    return NONE;
  }

  #insert(key: ChatKey, usedAt: number): number {
    if (key.chat.length > MAXIMUM_CHAT_ID_LENGTH) return NONE;
    const workspace = this.#workspaces.acquire(key.workspace);
    if (this.#isFull()) this.#remove(this.#chooseVictim(usedAt));
    let slot = this.#free;
    if (slot === NONE) slot = this.#size;
    else this.#free = this.#chained[slot] ?? NONE;
    this.#size++;
    const hash = _hashOf(key);
    const bucket = this.#bucketOf(hash);
    this.#hashes[slot] = hash;
    this.#chained[slot] = this.#buckets[bucket] ?? NONE;
    this.#buckets[bucket] = slot;
    this.#workspaceOf[slot] = workspace;
    this.#usedAt[slot] = usedAt;
    this.#chats[slot] = _flatCopy(key.chat);
    this.#linkNewest(slot);
    return slot;
  }

  /**
   * Takes the least recently used chat of a workspace above its equal share.
   * The inserting workspace is already counted with its new chat, so some
   * workspace is above its share. Chats passed over move to the newest end,
   * so they are not walked again at the next eviction.
   */
  #chooseVictim(now: number): number {
    const share = this.#maximum / this.#workspaces.size();
    for (let step = 0; step < this.#size; step++) {
      const slot = this.#oldest;
      const expired = now - this.#usedAtOf(slot) > this.#retention;
      const held = this.#workspaces.usesOf(this.#workspaceOf[slot] ?? NONE);
      if (expired || held > share) return slot;
      this.#moveToNewest(slot);
    }
    return this.#oldest;
  }

  #remove(slot: number): void {
    const bucket = this.#bucketOf(this.#hashes[slot] ?? 0);
    let link = this.#buckets[bucket] ?? NONE;
    const next = this.#chained[slot] ?? NONE;
    if (link === slot) this.#buckets[bucket] = next;
    else {
      while (this.#chained[link] !== slot) link = this.#chained[link] ?? NONE;
      this.#chained[link] = next;
    }
    this.#unlink(slot);
    this.#workspaces.release(this.#workspaceOf[slot] ?? 0);
    for (let place = 0; place < SERVERS_PER_CHAT; place++) {
      this.#clear(slot * SERVERS_PER_CHAT + place);
    }
    this.#chats[slot] = "";
    this.#chained[slot] = this.#free;
    this.#free = slot;
    this.#size--;
  }

  #clear(position: number): void {
    const server = this.#server[position] ?? NONE;
    if (server !== NONE) this.#servers.release(server);
    this.#server[position] = NONE;
  }

  #forget(slot: number, backendServer: BackendServerId): void {
    const index = this.#servers.indexOf(backendServer);
    const first = slot * SERVERS_PER_CHAT;
    let left = 0;
    for (let at = first; at < first + SERVERS_PER_CHAT; at++) {
      if (index !== NONE && this.#server[at] === index) this.#clear(at);
      if (this.#server[at] !== NONE) left++;
    }
    if (left === 0) this.#remove(slot);
  }

  /** Puts a fact in the server's place, a free place or the oldest place. */
  #put(
    slot: number,
    backendServer: BackendServerId,
    cachedTokens: number,
    servedAt: number,
  ): void {
    const index = this.#servers.acquire(backendServer);
    const first = slot * SERVERS_PER_CHAT;
    let place = first;
    for (let at = first; at < first + SERVERS_PER_CHAT; at++) {
      if (this.#server[at] === index) {
        place = at;
        break;
      }
      if (this.#orderOf(at) < this.#orderOf(place)) place = at;
    }
    if (servedAt < this.#orderOf(place)) {
      this.#servers.release(index);
      return;
    }
    this.#clear(place);
    this.#server[place] = index;
    this.#tokens[place] = cachedTokens;
    this.#servedAt[place] = servedAt;
  }

  /** A free place is older than any used one. */
  #orderOf(position: number): number {
    return this.#server[position] === NONE
      ? NONE
      : this.#servedAt[position] ?? 0;
  }

  #serversOf(slot: number, now: number): RememberedServer[] {
    const servers: RememberedServer[] = [];
    const first = slot * SERVERS_PER_CHAT;
    for (let at = first; at < first + SERVERS_PER_CHAT; at++) {
      const server = this.#server[at] ?? NONE;
      if (server === NONE) continue;
      const servedAt = (this.#servedAt[at] ?? 0) * TIME_UNIT_MILLISECONDS;
      servers.push({
        backendServer: this.#servers.textOf(server) as BackendServerId,
        cachedTokens: this.#tokens[at] ?? 0,
        ageMilliseconds: Math.max(0, now - servedAt),
      });
    }
    return servers.sort((left, right) =>
      left.ageMilliseconds - right.ageMilliseconds
    );
  }

  #linkNewest(slot: number): void {
    this.#older[slot] = this.#newest;
    this.#newer[slot] = NONE;
    if (this.#newest !== NONE) this.#newer[this.#newest] = slot;
    else this.#oldest = slot;
    this.#newest = slot;
  }

  #unlink(slot: number): void {
    const newer = this.#newerOf(slot);
    const older = this.#older[slot] ?? NONE;
    if (newer === NONE) this.#newest = older;
    else this.#older[newer] = older;
    if (older === NONE) this.#oldest = newer;
    else this.#newer[older] = newer;
  }

  #moveToNewest(slot: number): void {
    if (this.#newest === slot) return;
    this.#unlink(slot);
    this.#linkNewest(slot);
  }
}

function _toUnits(milliseconds: number): number {
  return Math.floor(milliseconds / TIME_UNIT_MILLISECONDS);
}

function _hashOf(key: ChatKey): number {
  return hash32(`${key.workspace}/${key.chat}`);
}

/** Creates an empty chat table. */
export function createChatTable(options: ChatTableOptions): ChatTable {
  return new _ChatTable(options);
}
