/** Slots of a table, ordered by their last use, as a linked list in arrays. */

const NONE = -1;

/** The order in which the slots of a table were used. */
export class RecencyList {
  readonly #newer: Int32Array;
  readonly #older: Int32Array;
  #newest = NONE;
  #oldest = NONE;

  constructor(maximumSlots: number) {
    this.#newer = new Int32Array(maximumSlots);
    this.#older = new Int32Array(maximumSlots);
  }

  /** The least recently used slot; -1 if there is none. */
  get oldest(): number {
    return this.#oldest;
  }

  /** Returns the slot that was used next after a slot; -1 if there is none. */
  newerOf(slot: number): number {
    return this.#newer[slot] ?? NONE;
  }

  /** Adds a slot as the most recently used one. */
  add(slot: number): void {
    this.#older[slot] = this.#newest;
    this.#newer[slot] = NONE;
    if (this.#newest !== NONE) this.#newer[this.#newest] = slot;
    else this.#oldest = slot;
    this.#newest = slot;
  }

  remove(slot: number): void {
    const newer = this.newerOf(slot);
    const older = this.#older[slot] ?? NONE;
    if (newer === NONE) this.#newest = older;
    else this.#older[newer] = older;
    if (older === NONE) this.#oldest = newer;
    else this.#newer[older] = newer;
  }

  moveToNewest(slot: number): void {
    if (this.#newest === slot) return;
    this.remove(slot);
    this.add(slot);
  }

  /** Returns the bytes of the typed arrays. */
  arrayBytes(): number {
    return this.#newer.byteLength + this.#older.byteLength;
  }
}
