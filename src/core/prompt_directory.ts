/**
 * Records which backend servers have processed which shared prompt parts and so
 * may have them in their prefix cache. Routers announce each new pair of part
 * and server to each other, which is rare once the parts in use are known. The
 * directory is a hint: a server that has evicted a part processes it again.
 *
 * Servers join and leave all day. Without the directory, every such change
 * would route parts that are in use to servers that have not processed them.
 */
import { AnnouncementLog } from "./announcement_log.ts";
import { evictOldest } from "./bounded_map.ts";
import type { BackendServerId } from "./ids.ts";
import type { PromptPart } from "./prompt.ts";
import { hash32 } from "./hash32.ts";

/** Beyond this number, the least recently used parts are evicted. */
const MAXIMUM_PARTS = 20_000;
/**
 * Limit of the announcements kept for slow peers; a peer that missed older ones
 * learns them when it returns.
 */
const MAXIMUM_ANNOUNCEMENTS = 4_096;

/** Hash of a part id. */
export type PartKey = number;

/** A part that a server has processed. */
export interface PartEntry {
  readonly part: PartKey;
  readonly server: BackendServerId;
}

/** Returns the key of a part. */
export function partKeyOf({ id }: PromptPart): PartKey {
  return hash32(id);
}

/** Returns the parts that requests share: all but the last, or the only one. */
export function sharedPartsOf(
  parts: readonly PromptPart[],
): readonly PromptPart[] {
  return parts.length > 1 ? parts.slice(0, -1) : parts;
}

/** The directory of one router. */
export class PromptDirectory {
  readonly #parts = new Map<PartKey, Set<BackendServerId>>();
  readonly #announcements = new AnnouncementLog<PartEntry>(
    MAXIMUM_ANNOUNCEMENTS,
  );

  /** Records the shared parts of a prompt that is sent to a server. */
  record(parts: readonly PromptPart[], server: BackendServerId): void {
    for (const part of sharedPartsOf(parts)) {
      const key = partKeyOf(part);
      if (this.add({ part: key, server })) {
        this.#announcements.add({ part: key, server });
      }
    }
  }

  /** Adds an entry from a peer and announces it to other peers if it is new. */
  addAndAnnounce(entry: PartEntry): void {
    if (this.add(entry)) this.#announcements.add(entry);
  }

  /** Adds an entry and returns whether it was new. */
  add({ part, server }: PartEntry): boolean {
    let servers = this.#parts.get(part);
    if (servers) this.#parts.delete(part);
    else servers = new Set();
    this.#parts.set(part, servers);
    if (servers.has(server)) return false;
    servers.add(server);
    evictOldest(this.#parts, MAXIMUM_PARTS);
    return true;
  }

  /** Returns the servers that have processed a part. */
  serversWith(part: PartKey): ReadonlySet<BackendServerId> {
    return this.#parts.get(part) ?? new Set();
  }

  /** Removes a server that is gone or has restarted. */
  removeServer(server: BackendServerId): void {
    for (const [part, servers] of this.#parts) {
      if (servers.delete(server) && servers.size === 0) {
        this.#parts.delete(part);
      }
    }
  }

  /** Sequence number of the next announcement. */
  get nextSequence(): number {
    return this.#announcements.nextSequence;
  }

  /** Returns the announcements from a sequence number on. */
  announcementsSince(sequence: number): readonly PartEntry[] {
    return this.#announcements.since(sequence);
  }

  /** Returns all entries, for a peer that has just joined. */
  entries(): PartEntry[] {
    const entries: PartEntry[] = [];
    for (const [part, servers] of this.#parts) {
      for (const server of servers) entries.push({ part, server });
    }
    return entries;
  }
}

/** Creates an empty directory. */
export function createPromptDirectory(): PromptDirectory {
  return new PromptDirectory();
}
