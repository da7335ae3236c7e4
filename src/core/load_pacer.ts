/**
 * Keeps all order groups together within the weight store's rate without any
 * exchange between their holders. Tokens appear at fixed points of the wall
 * clock, each belongs to one group, and a token that is not used expires.
 * Buckets that fill independently would sum to a burst of one load per group.
 */
import { hash32 } from "./rendezvous.ts";

/** How long a token can be used. */
const TOKEN_LIFE_MILLISECONDS = 5_000;
/**
 * A load may start later than its token appeared: by the token's life, the
 * order's not-after span and the clocks' difference. Tokens appear that much
 * more slowly, so that no minute sees more loads than the rate.
 */
const SLACK_MILLISECONDS = TOKEN_LIFE_MILLISECONDS + 5_000;
const MINUTE_MILLISECONDS = 60_000;

/** Whose turn it is: one entry per engine, so groups share by their size. */
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

/** The tokens of one group. */
export class LoadPacer {
  readonly #group: number;
  #lastUsed = -1;

  constructor(group: number) {
    this.#group = group;
  }

  /** Forgets tokens that an earlier holder of the group may have used. */
  reset(wallMilliseconds: number, loadsPerMinute: number): void {
    this.#lastUsed = this.#slot(wallMilliseconds, loadsPerMinute);
  }

  /** Uses up a token if there is one. */
  take(
    wallMilliseconds: number,
    loadsPerMinute: number,
    cycle: readonly number[],
  ): boolean {
    const current = this.#slot(wallMilliseconds, loadsPerMinute);
    const oldest = this.#slot(
      wallMilliseconds - TOKEN_LIFE_MILLISECONDS,
      loadsPerMinute,
    ) + 1;
    for (
      let slot = Math.max(oldest, this.#lastUsed + 1);
      slot <= current;
      slot++
    ) {
      if (cycle[slot % cycle.length] !== this.#group) continue;
      this.#lastUsed = slot;
      return true;
    }
    return false;
  }

  #slot(wallMilliseconds: number, loadsPerMinute: number): number {
    const length = (MINUTE_MILLISECONDS + SLACK_MILLISECONDS) / loadsPerMinute;
    return Math.floor(wallMilliseconds / length);
  }
}
