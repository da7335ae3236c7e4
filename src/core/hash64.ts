/** The 64-bit xxHash of a string, for digests that must rarely collide. */
import loadXxhash from "xxhash-wasm";

const HEXADECIMAL_DIGITS = 16;
const _xxhash = await loadXxhash();

/** Returns a 64-bit hash of a string as 16 hexadecimal digits. */
export function hash64(value: string): string {
  return _xxhash.h64(value).toString(16).padStart(HEXADECIMAL_DIGITS, "0");
}
