/**
 * What backend servers state about their load in responses. A statement holds for
 * the incarnation that made it. The pace changes many times a second, so it is
 * smoothed; it counts for less the older it is, so that a server that is avoided
 * because it was slow gets requests again.
 */
import { evictOldest } from "../bounded_map.ts";
import type { BackendServerId } from "../ids.ts";
import type { RegisteredServer } from "../server_registry.ts";

/** Load of a server as it states it. */
export interface StatedLoad {
  /** Requests that it runs. */
  readonly running: number;
  /** Requests in its queue. */
  readonly waiting: number;
  readonly slots: number;
  /** Percent of the usual time that work takes now; undefined if not stated. */
  readonly pace: number | undefined;
}

/** The last statement of a server. */
export interface LoadStatement extends StatedLoad {
  readonly ageMilliseconds: number;
}

/** Weight of a past pace halves in this time. */
const PACE_HALF_LIFE_MILLISECONDS = 1_000;
/** Without a statement, the deviation from the usual pace halves in this time. */
const TRUST_HALF_LIFE_MILLISECONDS = 2_000;
/** A queue changes within the time of a few requests. */
const QUEUE_LIFETIME_MILLISECONDS = 500;
/** Time after a stated pace in which the fleet counts as stating one. */
export const STATED_PACE_LIFETIME_MILLISECONDS = 10_000;
const USUAL_PACE = 100;
/** A pace beyond these bounds says no more than that the server is slow or fast. */
const MINIMUM_PACE = 10;
const MAXIMUM_PACE = 2_000;
/** Beyond this number, the statement of the server unheard for longest is dropped. */
const MAXIMUM_STATEMENTS = 4_096;

interface _Record {
  /** Start time of the incarnation. */
  readonly started: number;
  load: StatedLoad;
  at: number;
  /** Smoothed pace as of `paceAt`, relative to the usual; undefined if never stated. */
  pace: number | undefined;
  paceAt: number;
}

function _decay(milliseconds: number, halfLife: number): number {
  return 2 ** (-Math.max(0, milliseconds) / halfLife);
}

/** The statements that one router has received. */
export class ServerLoadNotices {
  readonly #records = new Map<BackendServerId, _Record>();
  #paceStatedAt = Number.NEGATIVE_INFINITY;

  /** Records what a server stated in a response. */
  record(server: RegisteredServer, load: StatedLoad, now: number): void {
    const known = this.#recordOf(server);
    this.#records.delete(server.id);
    const record: _Record = known ??
      { started: server.started, load, at: now, pace: undefined, paceAt: now };
    record.load = load;
    record.at = now;
    if (load.pace !== undefined) this.#recordPace(record, load.pace, now);
    this.#records.set(server.id, record);
    evictOldest(this.#records, MAXIMUM_STATEMENTS);
  }

  /** Returns the last statement of a server's present incarnation. */
  lastOf(server: RegisteredServer, now: number): LoadStatement | undefined {
    const record = this.#recordOf(server);
    return record && { ...record.load, ageMilliseconds: now - record.at };
  }

  /** Returns the time that a server's work takes, as a multiple of the usual. */
  paceOf(server: RegisteredServer, now: number): number {
    const record = this.#recordOf(server);
    if (record?.pace === undefined) return 1;
    const age = now - record.paceAt;
    return 1 + (record.pace - 1) * _decay(age, TRUST_HALF_LIFE_MILLISECONDS);
  }

  /** Returns the requests that a server stated a moment ago to be waiting, else 0. */
  waitingAt(server: RegisteredServer, now: number): number {
    const record = this.#recordOf(server);
    if (!record || now - record.at > QUEUE_LIFETIME_MILLISECONDS) return 0;
    return record.load.waiting;
  }

  /** Whether any server of the fleet stated a pace recently. */
  hasStatedPace(now: number): boolean {
    return now - this.#paceStatedAt < STATED_PACE_LIFETIME_MILLISECONDS;
  }

  #recordPace(record: _Record, stated: number, now: number): void {
    const bounded = Math.min(MAXIMUM_PACE, Math.max(MINIMUM_PACE, stated));
    const pace = bounded / USUAL_PACE;
    const weight = _decay(now - record.paceAt, PACE_HALF_LIFE_MILLISECONDS);
    record.pace = record.pace === undefined
      ? pace
      : pace + (record.pace - pace) * weight;
    record.paceAt = now;
    this.#paceStatedAt = now;
  }

  #recordOf(server: RegisteredServer): _Record | undefined {
    const record = this.#records.get(server.id);
    return record?.started === server.started ? record : undefined;
  }
}

/** Creates a `ServerLoadNotices` without statements. */
export function createServerLoadNotices(): ServerLoadNotices {
  return new ServerLoadNotices();
}
