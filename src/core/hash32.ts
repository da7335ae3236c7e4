/**
 * The 32-bit xxHash of a string. Unlike the WebAssembly library that computes
 * the 64-bit hash, it needs no asynchronous initialization, so a process can
 * load it from a precompiled script and starts faster.
 */

const PRIME_1 = 0x9e3779b1;
const PRIME_2 = 0x85ebca77;
const PRIME_3 = 0xc2b2ae3d;
const PRIME_4 = 0x27d4eb2f;
const PRIME_5 = 0x165667b1;
const STRIPE_BYTES = 16;
const LANE_BYTES = 4;
const HASH_BITS = 32;

/** All hashes are below this. */
export const HASH_RANGE = 2 ** HASH_BITS;

function _rotateLeft(value: number, bits: number): number {
  return (value << bits) | (value >>> (HASH_BITS - bits));
}

function _mixLane(accumulator: number, lane: number): number {
  const sum = (accumulator + Math.imul(lane, PRIME_2)) | 0;
  return Math.imul(_rotateLeft(sum, 13), PRIME_1);
}

/** Mixes all whole stripes; returns the hash of inputs of at least one stripe. */
function _mixStripes(bytes: Buffer, end: number): number {
  let first = (PRIME_1 + PRIME_2) | 0;
  let second = PRIME_2 | 0;
  let third = 0;
  let fourth = -PRIME_1 | 0;
  for (let offset = 0; offset < end; offset += STRIPE_BYTES) {
    first = _mixLane(first, bytes.readInt32LE(offset));
    second = _mixLane(second, bytes.readInt32LE(offset + 4));
    third = _mixLane(third, bytes.readInt32LE(offset + 8));
    fourth = _mixLane(fourth, bytes.readInt32LE(offset + 12));
  }
  return _rotateLeft(first, 1) + _rotateLeft(second, 7) +
      _rotateLeft(third, 12) + _rotateLeft(fourth, 18) | 0;
}

function _mixRemainder(hash: number, bytes: Buffer, start: number): number {
  let offset = start;
  let mixed = hash;
  for (; offset + LANE_BYTES <= bytes.length; offset += LANE_BYTES) {
    const sum = (mixed + Math.imul(bytes.readInt32LE(offset), PRIME_3)) | 0;
    mixed = Math.imul(_rotateLeft(sum, 17), PRIME_4);
  }
  for (; offset < bytes.length; offset++) {
    const sum = (mixed + Math.imul(bytes[offset] ?? 0, PRIME_5)) | 0;
    mixed = Math.imul(_rotateLeft(sum, 11), PRIME_1);
  }
  return mixed;
}

function _avalanche(hash: number): number {
  let mixed = hash;
  mixed = Math.imul(mixed ^ (mixed >>> 15), PRIME_2);
  mixed = Math.imul(mixed ^ (mixed >>> 13), PRIME_3);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

const MAXIMUM_CACHED_NAMES = 8_192;
const _nameHashes = new Map<string, number>();

/** Returns the hash of a name that is hashed again and again. */
export function cachedHash32(name: string): number {
  const known = _nameHashes.get(name);
  if (known !== undefined) return known;
  if (_nameHashes.size >= MAXIMUM_CACHED_NAMES) _nameHashes.clear();
  const hash = hash32(name);
  _nameHashes.set(name, hash);
  return hash;
}

/** Returns a 32-bit hash of the UTF-8 bytes of a string, as an unsigned number. */
export function hash32(value: string): number {
  const bytes = Buffer.from(value);
  const stripesEnd = bytes.length - bytes.length % STRIPE_BYTES;
  const hash = stripesEnd > 0 ? _mixStripes(bytes, stripesEnd) : PRIME_5;
  const mixed = _mixRemainder((hash + bytes.length) | 0, bytes, stripesEnd);
  return _avalanche(mixed);
}
