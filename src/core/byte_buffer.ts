/**
 * A buffer that grows with what is appended. Its memory and the work of appending are
 * bounded by a constant times the bytes, however small the pieces are: a list of pieces
 * would hold an object for each, and joining them again for each piece would take time
 * that grows with the square of their number.
 */

const MINIMUM_CAPACITY_BYTES = 1_024;
/** A buffer that grows has up to twice the capacity of its bytes. */
export const BUFFER_CAPACITY_FACTOR = 2;

/** Bytes that arrive in pieces. */
export interface ByteBuffer {
  readonly length: number;
  /** Adds bytes, which must not change afterwards: they may not be copied. */
  append(bytes: Buffer): void;
  /** The bytes as they are now; valid until the next change. */
  bytes(): Buffer;
  /** Removes the first bytes and returns them; they stay valid. */
  take(length: number): Buffer;
  clear(): void;
}

/** Creates an empty buffer. */
export function createByteBuffer(): ByteBuffer {
  let storage: Buffer = Buffer.alloc(0);
  let start = 0;
  let end = 0;

  function bytes(): Buffer {
    return storage.subarray(start, end);
  }

  function reserve(additional: number): void {
    if (end + additional <= storage.length) return;
    const length = end - start;
    const capacity = Math.max(
      MINIMUM_CAPACITY_BYTES,
      BUFFER_CAPACITY_FACTOR * length,
      length + additional,
    );
    // What was taken stays valid, so the storage is never reused.
    const grown = Buffer.allocUnsafeSlow(capacity);
    bytes().copy(grown);
    storage = grown;
    start = 0;
    end = length;
  }

  return {
    get length() {
      return end - start;
    },
    append(added) {
      if (start === end) {
        storage = added;
        start = 0;
        end = added.length;
        return;
      }
      reserve(added.length);
      storage.set(added, end);
      end += added.length;
    },
    bytes,
    take(length) {
      const taken = storage.subarray(start, Math.min(end, start + length));
      start += taken.length;
      return taken;
    },
    clear() {
      storage = Buffer.alloc(0);
      start = 0;
      end = 0;
    },
  };
}
