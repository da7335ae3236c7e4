/**
 * Injectable randomness. Callers take a source as an argument instead of using a
 * global generator, so that a seed reproduces a whole run.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const UINT32_RANGE = 2 ** 32;

/** A source of uniformly distributed numbers. */
export abstract class RandomSource {
  /** Returns a number in [0, 1). */
  abstract next(): number;

  /** Returns an integer in [0, limit). */
  integer(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  /** Returns a 16-digit hexadecimal token; not suitable for secrets. */
  token(): string {
    const half = () => this.integer(UINT32_RANGE).toString(16).padStart(8, "0");
    return half() + half();
  }

  /** Returns a copy of the items in random order. */
  shuffle<T>(items: readonly T[]): T[] {
    const copy = [...items];
    for (let index = copy.length - 1; index > 0; index--) {
      const other = this.integer(index + 1);
      [copy[index], copy[other]] = [copy[other] as T, copy[index] as T];
    }
    return copy;
  }
}

/** Draws discarded after seeding: adjacent seeds give similar first numbers. */
const DISCARDED_DRAWS = 8;

function _mixSeed(seed: number): number {
  let value = seed | 0;
  value = Math.imul(value ^ (value >>> 16), 0x7feb352d);
  value = Math.imul(value ^ (value >>> 15), 0x846ca68b);
  return value ^ (value >>> 16);
}

class _SeededRandom extends RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    super();
    this.#generator = xoroshiro128plus(_mixSeed(seed));
    for (let drawn = 0; drawn < DISCARDED_DRAWS; drawn++) {
      this.#generator.next();
    }
  }

  override next(): number {
    return (this.#generator.next() >>> 0) / UINT32_RANGE;
  }
}

/** Creates a deterministic source from a seed. */
export function createSeededRandom(seed: number): RandomSource {
  return new _SeededRandom(seed);
}
