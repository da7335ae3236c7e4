/**
 * The data centres that operators have evacuated, as one router knows them. The
 * newest store revision decides, so that a late or duplicate message has no effect.
 *
 * A store that returns from an older copy may lack entries that it had acknowledged.
 * Such an entry stays in force for some time, in which it can be written again.
 */
import type { DataCentreId } from "./ids.ts";
import type { ServerClosure } from "./server_notices.ts";
import type { RegisteredServer } from "./server_registry.ts";
import { eraOf } from "./store_revision.ts";

/** Time for which an entry that the store lost in a return from a copy stays in force. */
export const LOST_ENTRY_HOLD_MILLISECONDS = 60_000;

/** An entry that the store has lost and that stays in force for some time. */
export interface HeldEvacuation {
  readonly dataCentre: DataCentreId;
  readonly remainingMilliseconds: number;
}

/** What one router tells another. */
export interface EvacuationState {
  /** Store revision of the list; revisions of a later era are newer. */
  readonly revision: number;
  /** Data centres with an entry in the store. */
  readonly dataCentres: readonly DataCentreId[];
  readonly held: readonly HeldEvacuation[];
}

/** Data centres whose evacuation has started or ended. */
export interface EvacuationChange {
  readonly started: readonly DataCentreId[];
  readonly ended: readonly DataCentreId[];
}

/** An entry that was written or removed. */
export interface EvacuationEvent {
  readonly dataCentre: DataCentreId;
  readonly isEvacuated: boolean;
}

/** The evacuated data centres that one router knows. */
export class Evacuations {
  #revision: number | undefined;
  #listed: ReadonlySet<DataCentreId> = new Set();
  /** When the holds of lost entries end. */
  readonly #heldUntil = new Map<DataCentreId, number>();
  /** Data centres that were listed in the current era; they are not held any more. */
  readonly #seenInEra = new Set<DataCentreId>();
  /** When each evacuation in force became known. */
  readonly #since = new Map<DataCentreId, number>();

  /** Whether any list is known. */
  get isKnown(): boolean {
    return this.#revision !== undefined;
  }

  /** Store revision of the list; 0 before the first. */
  get revision(): number {
    return this.#revision ?? 0;
  }

  /** Replaces the list with a newer one; undefined if no evacuation changes. */
  replace(
    revision: number,
    dataCentres: readonly DataCentreId[],
    now: number,
  ): EvacuationChange | undefined {
    this.#adoptList(revision, dataCentres, now);
    return this.#takeChange(now);
  }

  /** Applies events up to a revision in their order. */
  apply(
    revision: number,
    events: readonly EvacuationEvent[],
    now: number,
  ): EvacuationChange | undefined {
    const listed = new Set(this.#listed);
    for (const { dataCentre, isEvacuated } of events) {
      if (isEvacuated) listed.add(dataCentre);
      else listed.delete(dataCentre);
    }
    return this.replace(revision, [...listed], now);
  }

  /** Adopts what a peer knows, as far as it is newer. */
  merge(
    { revision, dataCentres, held }: EvacuationState,
    now: number,
  ): EvacuationChange | undefined {
    this.#adoptList(revision, dataCentres, now);
    // A hold of an older era may concern an entry that was removed since.
    if (eraOf(revision) === eraOf(this.revision)) {
      for (const hold of held) this.#adoptHold(hold, now);
    }
    return this.#takeChange(now);
  }

  /** Ends the holds whose time is over. */
  expire(now: number): EvacuationChange | undefined {
    for (const [dataCentre, until] of this.#heldUntil) {
      if (now >= until) this.#heldUntil.delete(dataCentre);
    }
    return this.#takeChange(now);
  }

  /** Whether servers of a data centre get no requests. */
  isEvacuated(dataCentre: DataCentreId): boolean {
    return this.#since.has(dataCentre);
  }

  /** Returns why a server gets no request; undefined if it is not evacuated. */
  unavailability(
    { id, dataCentre }: RegisteredServer,
    now: number,
  ): ServerClosure | undefined {
    const since = this.#since.get(dataCentre);
    if (since === undefined) return undefined;
    const ageMilliseconds = now - since;
    return { server: id, reason: "evacuated", ageMilliseconds };
  }

  /** The evacuated data centres. */
  list(): readonly DataCentreId[] {
    return [...this.#since.keys()];
  }

  /** The state that peers are told. */
  snapshot(now: number): EvacuationState {
    return {
      revision: this.revision,
      dataCentres: [...this.#listed].sort(),
      held: [...this.#heldUntil].map(([dataCentre, until]) => ({
        dataCentre,
        remainingMilliseconds: Math.max(0, until - now),
      })),
    };
  }

  #adoptList(
    revision: number,
    dataCentres: readonly DataCentreId[],
    now: number,
  ): void {
    const known = this.#revision;
    if (known !== undefined && revision <= known) return;
    if (known !== undefined && eraOf(revision) > eraOf(known)) {
      this.#beginEra(now);
    }
    this.#revision = revision;
    this.#listed = new Set(dataCentres);
    for (const dataCentre of dataCentres) {
      this.#seenInEra.add(dataCentre);
      this.#heldUntil.delete(dataCentre);
    }
  }

  #beginEra(now: number): void {
    this.#seenInEra.clear();
    for (const dataCentre of this.#listed) {
      this.#heldUntil.set(dataCentre, now + LOST_ENTRY_HOLD_MILLISECONDS);
    }
  }

  /** A known hold is not extended, so that routers cannot prolong it in turns. */
  #adoptHold(
    { dataCentre, remainingMilliseconds }: HeldEvacuation,
    now: number,
  ): void {
    const remaining = Math.min(
      remainingMilliseconds,
      LOST_ENTRY_HOLD_MILLISECONDS,
    );
    const isKnown = this.#seenInEra.has(dataCentre) ||
      this.#heldUntil.has(dataCentre);
    if (!isKnown && remaining > 0) {
      this.#heldUntil.set(dataCentre, now + remaining);
    }
  }

  #takeChange(now: number): EvacuationChange | undefined {
    const current = new Set([...this.#listed, ...this.#heldUntil.keys()]);
    const started = [...current].filter((id) => !this.#since.has(id));
    const ended = [...this.#since.keys()].filter((id) => !current.has(id));
    for (const dataCentre of started) this.#since.set(dataCentre, now);
    for (const dataCentre of ended) this.#since.delete(dataCentre);
    return started.length + ended.length > 0 ? { started, ended } : undefined;
  }
}

/** Returns a key of a state's content, which is equal for routers that know the same. */
export function evacuationKeyOf(
  { revision, dataCentres, held }: EvacuationState,
): string {
  const heldIds = held.map(({ dataCentre }) => dataCentre);
  return JSON.stringify([
    eraOf(revision),
    [...dataCentres].sort(),
    heldIds.sort(),
  ]);
}

/** Creates an `Evacuations` that knows no list yet. */
export function createEvacuations(): Evacuations {
  return new Evacuations();
}
