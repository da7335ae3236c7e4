/**
 * Which backend servers have read which shared parts of prompts. Routers tell
 * each other when a part is read at a further server, which is rare once the
 * parts in use are known. The knowledge is a hint: a server may have dropped a
 * part, and is then asked to read it again.
 *
 * Load pattern: servers join and leave all day. Without this knowledge every
 * change moves parts that are in use to servers that have not read them.
 */
import type { BackendServerId } from "./ids.ts";
import type { PromptPart } from "./prompt.ts";
import { hash32 } from "./rendezvous.ts";

/** Parts beyond this number push out those that were not used for longest. */
const MAXIMUM_PARTS = 20_000;
/** Announcements that a slow peer may miss; it learns them when it returns. */
const MAXIMUM_ANNOUNCEMENTS = 4_096;

/** Hash of the id of a part. */
export type PartKey = number;

/** A part that a server has read. */
export interface PartReading {
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

/** The readings that one router knows. */
export class PromptDirectory {
  readonly #parts = new Map<PartKey, Set<BackendServerId>>();
  #announcements: PartReading[] = [];
  /** Number of the first announcement that is kept. */
  #firstAnnouncement = 0;

  /** Records that a server reads the shared parts of a prompt. */
  record(parts: readonly PromptPart[], server: BackendServerId): void {
    for (const part of sharedPartsOf(parts)) {
      const key = partKeyOf(part);
      if (this.learn({ part: key, server })) {
        this.#announce({ part: key, server });
      }
    }
  }

  /** Takes over a reading and announces it to others if it was new. */
  relay(reading: PartReading): void {
    if (this.learn(reading)) this.#announce(reading);
  }

  /** Takes over a reading; returns whether it was new. */
  learn({ part, server }: PartReading): boolean {
    let servers = this.#parts.get(part);
    if (servers) this.#parts.delete(part);
    else servers = new Set();
    this.#parts.set(part, servers);
    if (servers.has(server)) return false;
    servers.add(server);
    this.#limit();
    return true;
  }

  /** Servers that have read a part. */
  holders(part: PartKey): ReadonlySet<BackendServerId> {
    return this.#parts.get(part) ?? new Set();
  }

  /** Forgets servers that are gone or that started anew. */
  forget(server: BackendServerId): void {
    for (const [part, servers] of this.#parts) {
      if (servers.delete(server) && servers.size === 0) {
        this.#parts.delete(part);
      }
    }
  }

  /** Number after the newest announcement. */
  get announced(): number {
    return this.#firstAnnouncement + this.#announcements.length;
  }

  /** Announcements from a number on. */
  announcementsSince(number: number): readonly PartReading[] {
    const start = Math.max(0, number - this.#firstAnnouncement);
    return this.#announcements.slice(start);
  }

  /** Everything that is known, for a peer that has just joined. */
  readings(): PartReading[] {
    const readings: PartReading[] = [];
    for (const [part, servers] of this.#parts) {
      for (const server of servers) readings.push({ part, server });
    }
    return readings;
  }

  #announce(reading: PartReading): void {
    this.#announcements.push(reading);
    if (this.#announcements.length <= MAXIMUM_ANNOUNCEMENTS) return;
    const dropped = MAXIMUM_ANNOUNCEMENTS / 2;
    this.#announcements = this.#announcements.slice(dropped);
    this.#firstAnnouncement += dropped;
  }

  #limit(): void {
    if (this.#parts.size <= MAXIMUM_PARTS) return;
    const [oldest] = this.#parts.keys();
    if (oldest !== undefined) this.#parts.delete(oldest);
  }
}

/** Creates an empty directory. */
export function createPromptDirectory(): PromptDirectory {
  return new PromptDirectory();
}
