/**
 * Limits the rate of model loads from the weight store over all order groups
 * without communication between the routers that own them. Tokens are issued at
 * fixed wall-clock times, each belongs to one group, and unused tokens expire.
 * Independent token buckets could add up to a burst of one load per group.
 */
import { hash32 } from "./hash32.ts";

/** Time after which an unused token expires. */
const TOKEN_LIFETIME_MILLISECONDS = 5_000;
/**
 * A load may start later than its token was issued: by the token's lifetime,
 * the order's not-after span and the clocks' difference. The interval between
 * tokens is extended accordingly, so that the loads started in any minute never
 * exceed the rate.
 */
const MAXIMUM_START_DELAY_MILLISECONDS = TOKEN_LIFETIME_MILLISECONDS + 5_000;
const MINUTE_MILLISECONDS = 60_000;

/**
 * Returns the groups in the order in which they get tokens: one entry per
 * engine, so that shares are proportional to group sizes.
 */
export function createPacingCycle(
  engines: readonly string[],
  groupOf: (engine: string) => number,
): readonly number[] {
  return engines
    .map((engine) => ({ engine, hash: hash32(engine) }))
    .sort((left, right) =>
      left.hash - right.hash || (left.engine < right.engine ? -1 : 1)
    )
    .map(({ engine }) => groupOf(engine));
}

/** Takes the tokens of one group. */
export class LoadPacer {
  readonly #group: number;
  #lastUsedSlot = -1;

  constructor(group: number) {
    this.#group = group;
  }

  /** Discards tokens that a previous owner of the group may have used. */
  reset(wallMilliseconds: number, loadsPerMinute: number): void {
    this.#lastUsedSlot = this.#slotAt(wallMilliseconds, loadsPerMinute);
  }

  /** Takes a token; returns false if there is none. */
  take(
    wallMilliseconds: number,
    loadsPerMinute: number,
    cycle: readonly number[],
  ): boolean {
    const currentSlot = this.#slotAt(wallMilliseconds, loadsPerMinute);
    const oldestSlot = this.#slotAt(
      wallMilliseconds - TOKEN_LIFETIME_MILLISECONDS,
      loadsPerMinute,
    ) + 1;
    for (
      let slot = Math.max(oldestSlot, this.#lastUsedSlot + 1);
      slot <= currentSlot;
      slot++
    ) {
      if (cycle[slot % cycle.length] !== this.#group) continue;
      this.#lastUsedSlot = slot;
      return true;
    }
    return false;
  }

  #slotAt(wallMilliseconds: number, loadsPerMinute: number): number {
    const slotMilliseconds =
      (MINUTE_MILLISECONDS + MAXIMUM_START_DELAY_MILLISECONDS) / loadsPerMinute;
    return Math.floor(wallMilliseconds / slotMilliseconds);
  }
}
