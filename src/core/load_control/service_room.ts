/**
 * The room of a service: the free slots of the servers that may take a request
 * now, and this router's fair share of all slots. A router decides by its own view,
 * without a round trip. Several routers may see the same free slot; the queues of
 * the servers absorb that.
 */
import type { BackendServerId } from "../ids.ts";
import type { RegisteredServer } from "../server_registry.ts";
import type { RequestDemand } from "./server_capacity.ts";

/** Whether a server may take a request now. */
export type ServerStanding =
  | "open"
  /** Avoided while others are open, since it fails or is unreachable. */
  | "excluded"
  /** Takes the request later, when it has room or its rate limit permits it. */
  | "limited"
  /** Leaving, evacuated, pausing, or reserved for other routers. */
  | "closed";

/** The view of one router. */
export interface RoomSource {
  standingOf(
    server: RegisteredServer,
    demand: RequestDemand,
    now: number,
  ): ServerStanding;
  /** Requests of all routers in flight at a server. */
  inFlight(server: BackendServerId): number;
  /** Requests of this router in flight at a server. */
  ownInFlight(server: BackendServerId): number;
  /** Number of routers that share the servers, at least 1. */
  sharingRouters(): number;
}

function _slotsOf({ slots }: RegisteredServer): number {
  return Math.max(1, slots);
}

function _freeSlots(server: RegisteredServer, source: RoomSource): number {
  return Math.max(0, _slotsOf(server) - source.inFlight(server.id));
}

/** Slots of some servers, and the requests that use them. */
interface _Slots {
  total: number;
  free: number;
}

/**
 * The room of a service when it was last measured. One object is used for all
 * measurements, so that none allocates memory.
 */
export class ServiceRoom {
  readonly #source: RoomSource;
  readonly #open: _Slots = { total: 0, free: 0 };
  readonly #excluded: _Slots = { total: 0, free: 0 };
  #hasLimited = false;
  #ownInFlight = 0;

  constructor(source: RoomSource) {
    this.#source = source;
  }

  /**
   * Whether the servers have more than `pending` free slots. Looks at no more
   * servers than it needs, since each request asks while nothing waits.
   */
  hasFreeSlot(
    servers: readonly RegisteredServer[],
    demand: RequestDemand,
    now: number,
    pending: number,
  ): boolean {
    let free = 0;
    for (const server of servers) {
      if (this.#source.standingOf(server, demand, now) !== "open") continue;
      free += _freeSlots(server, this.#source);
      if (free > pending) return true;
    }
    return false;
  }

  /** Measures the room for a request; `servers` are those that it may use. */
  measure(
    servers: readonly RegisteredServer[],
    demand: RequestDemand,
    now: number,
  ): void {
    this.#reset();
    for (const server of servers) {
      this.#ownInFlight += this.#source.ownInFlight(server.id);
      const standing = this.#source.standingOf(server, demand, now);
      if (standing === "open") this.#add(this.#open, server);
      else if (standing === "excluded") this.#add(this.#excluded, server);
      else if (standing === "limited") this.#hasLimited = true;
    }
  }

  /**
   * Whether no server can take a request, however long it waits here: the
   * placement says why.
   */
  get isClosed(): boolean {
    return this.#slots.total === 0 && !this.#hasLimited;
  }

  /** Free slots of the servers that may take a request now. */
  get freeSlots(): number {
    return this.#slots.free;
  }

  /** Requests of this router in flight at the servers of the service. */
  get ownInFlight(): number {
    return this.#ownInFlight;
  }

  /** This router's part of all slots; at least 1 if a server is open. */
  get fairShare(): number {
    const { total } = this.#slots;
    if (total === 0) return 0;
    return Math.max(1, total / Math.max(1, this.#source.sharingRouters()));
  }

  /** This router's part of the free slots, at least 1 if there is any. */
  get freeShare(): number {
    const routers = Math.max(1, this.#source.sharingRouters());
    return Math.ceil(this.#slots.free / routers);
  }

  /**
   * Whether a request may be sent while others, which are counted as `pending`,
   * are about to be.
   */
  hasRoom(pending = 0): boolean {
    return this.freeSlots > pending || this.isBelowShare(pending);
  }

  /** Whether this router uses less than its fair share of the slots. */
  isBelowShare(pending = 0): boolean {
    return this.#ownInFlight + pending + 1 <= this.fairShare;
  }

  /** Servers that fail are used while no other is open. */
  get #slots(): _Slots {
    return this.#open.total > 0 ? this.#open : this.#excluded;
  }

  #reset(): void {
    this.#open.total = 0;
    this.#open.free = 0;
    this.#excluded.total = 0;
    this.#excluded.free = 0;
    this.#hasLimited = false;
    this.#ownInFlight = 0;
  }

  #add(sum: _Slots, server: RegisteredServer): void {
    sum.total += _slotsOf(server);
    sum.free += _freeSlots(server, this.#source);
  }
}

/** Creates a room that measures one router's view. */
export function createServiceRoom(source: RoomSource): ServiceRoom {
  return new ServiceRoom(source);
}
