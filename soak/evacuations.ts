/** Evacuations of data centres in a soak run, as the store holds them. */
import {
  evacuatedDataCentres,
  putEvacuation,
  removeEvacuation,
  type StoreStandIn,
} from "../platform/soak_fleet.ts";

/** Time from the acknowledgement of an entry by which it is in force. */
export const EVACUATE_MILLISECONDS = 5_000;

/** A time in which the store held the entry of an evacuation. */
export interface EvacuationSpan {
  readonly dataCentre: string;
  readonly acknowledgedAt: number;
  removedAt: number;
}

/** Writes evacuations to the store and records when it held them. */
export class Evacuations {
  readonly #store: StoreStandIn;
  readonly #now: () => number;
  readonly #spans: EvacuationSpan[];
  /** The data centres that the operator wants evacuated. */
  readonly #requested = new Set<string>();
  readonly #ended = new Set<string>();

  constructor(
    store: StoreStandIn,
    now: () => number,
    spans: EvacuationSpan[],
  ) {
    this.#store = store;
    this.#now = now;
    this.#spans = spans;
  }

  get isActive(): boolean {
    return this.#requested.size > 0;
  }

  begin(dataCentre: string): void {
    this.#requested.add(dataCentre);
    this.#ended.delete(dataCentre);
    this.#put(dataCentre);
  }

  end(dataCentre: string): void {
    this.#requested.delete(dataCentre);
    this.#ended.add(dataCentre);
    this.#close(dataCentre);
    this.#remove(dataCentre);
  }

  /** Records which entries the store has lost by a return to a copy. */
  followRestore(): void {
    const held = evacuatedDataCentres(this.#store);
    for (const dataCentre of this.#requested) {
      if (!held.includes(dataCentre)) this.#close(dataCentre);
    }
  }

  /** Brings the store to what the operator requested last. */
  writeAgain(): void {
    const held = evacuatedDataCentres(this.#store);
    for (const dataCentre of this.#ended) this.#remove(dataCentre);
    for (const dataCentre of this.#requested) {
      if (!held.includes(dataCentre)) this.#put(dataCentre);
    }
  }

  /**
   * Removes an entry. Routers keep one that the store has lost until they see its
   * removal, so that it is written for that first, as an operator does.
   */
  #remove(dataCentre: string): void {
    if (!evacuatedDataCentres(this.#store).includes(dataCentre)) {
      putEvacuation(this.#store, dataCentre);
    }
    removeEvacuation(this.#store, dataCentre);
  }

  #put(dataCentre: string): void {
    putEvacuation(this.#store, dataCentre);
    this.#spans.push({
      dataCentre,
      acknowledgedAt: this.#now(),
      removedAt: Infinity,
    });
  }

  #close(dataCentre: string): void {
    for (const span of this.#spans) {
      if (span.dataCentre !== dataCentre) continue;
      span.removedAt = Math.min(span.removedAt, this.#now());
    }
  }
}
