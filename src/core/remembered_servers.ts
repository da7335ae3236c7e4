/**
 * The backend servers that last served the chats of a table, a fixed number per
 * slot of the table, in typed arrays.
 */
import type { BackendServerId } from "./ids.ts";
import { createInterner, type Interner } from "./interner.ts";

/** Backend servers that are stored per chat. */
export const SERVERS_PER_CHAT = 3;
/** Unit of stored times; 32 bits cover more than 13 years of process uptime. */
export const TIME_UNIT_MILLISECONDS = 100;
const NONE = -1;

/** A backend server that served a chat. */
export interface RememberedServer {
  readonly backendServer: BackendServerId;
  readonly cachedTokens: number;
  /** Age, not a timestamp, because the clocks of routers are unrelated. */
  readonly ageMilliseconds: number;
}

/** Converts milliseconds to the unit of stored times. */
export function toTimeUnits(milliseconds: number): number {
  return Math.floor(milliseconds / TIME_UNIT_MILLISECONDS);
}

/** The servers of each slot. */
export class RememberedServers {
  readonly #serverIds: Interner = createInterner();
  /** The arrays have `SERVERS_PER_CHAT` items per slot. */
  readonly #serverIndexes: Int32Array;
  readonly #cachedTokens: Uint32Array;
  readonly #servedAt: Uint32Array;

  constructor(maximumSlots: number) {
    const length = maximumSlots * SERVERS_PER_CHAT;
    this.#serverIndexes = new Int32Array(length).fill(NONE);
    this.#cachedTokens = new Uint32Array(length);
    this.#servedAt = new Uint32Array(length);
  }

  /** Returns the servers of a slot, most recent first. */
  of(slot: number, now: number): RememberedServer[] {
    const servers: RememberedServer[] = [];
    const first = slot * SERVERS_PER_CHAT;
    for (let at = first; at < first + SERVERS_PER_CHAT; at++) {
      const server = this.#serverIndexes[at] ?? NONE;
      if (server === NONE) continue;
      const servedAt = (this.#servedAt[at] ?? 0) * TIME_UNIT_MILLISECONDS;
      servers.push({
        backendServer: this.#serverIds.textOf(server) as BackendServerId,
        cachedTokens: this.#cachedTokens[at] ?? 0,
        ageMilliseconds: Math.max(0, now - servedAt),
      });
    }
    return servers.sort((left, right) =>
      left.ageMilliseconds - right.ageMilliseconds
    );
  }

  /** Stores a server in its own position, else a free one, else the oldest. */
  set(
    slot: number,
    backendServer: BackendServerId,
    cachedTokens: number,
    servedAt: number,
  ): void {
    const index = this.#serverIds.acquire(backendServer);
    const first = slot * SERVERS_PER_CHAT;
    let position = first;
    for (let at = first; at < first + SERVERS_PER_CHAT; at++) {
      if (this.#serverIndexes[at] === index) {
        position = at;
        break;
      }
      if (this.#recencyOf(at) < this.#recencyOf(position)) position = at;
    }
    if (servedAt < this.#recencyOf(position)) {
      this.#serverIds.release(index);
      return;
    }
    this.#clear(position);
    this.#serverIndexes[position] = index;
    this.#cachedTokens[position] = cachedTokens;
    this.#servedAt[position] = servedAt;
  }

  remove(slot: number, backendServer: BackendServerId): void {
    const index = this.#serverIds.indexOf(backendServer);
    if (index === NONE) return;
    const first = slot * SERVERS_PER_CHAT;
    for (let at = first; at < first + SERVERS_PER_CHAT; at++) {
      if (this.#serverIndexes[at] === index) this.#clear(at);
    }
  }

  removeAll(slot: number): void {
    const first = slot * SERVERS_PER_CHAT;
    for (let at = first; at < first + SERVERS_PER_CHAT; at++) this.#clear(at);
  }

  isEmpty(slot: number): boolean {
    const first = slot * SERVERS_PER_CHAT;
    for (let at = first; at < first + SERVERS_PER_CHAT; at++) {
      if (this.#serverIndexes[at] !== NONE) return false;
    }
    return true;
  }

  /** Returns the bytes of the typed arrays. */
  arrayBytes(): number {
    return this.#serverIndexes.byteLength + this.#cachedTokens.byteLength +
      this.#servedAt.byteLength;
  }

  #clear(position: number): void {
    const server = this.#serverIndexes[position] ?? NONE;
    if (server !== NONE) this.#serverIds.release(server);
    this.#serverIndexes[position] = NONE;
  }

  /** Returns when a position was last served; free ones count as oldest. */
  #recencyOf(position: number): number {
    return this.#serverIndexes[position] === NONE
      ? NONE
      : this.#servedAt[position] ?? 0;
  }
}
