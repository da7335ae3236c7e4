/**
 * Returns the memory of bytes that were read from clients. Their buffers lie outside of
 * the JavaScript heap, and the garbage collector by itself lets tens of megabytes of
 * released ones accumulate, which a small machine does not have. A collection is
 * requested when they have grown by less.
 */
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Bytes that are read between two checks of the memory of buffers. */
const CHECK_BYTES = 4 * 1024 * 1024;
/** Growth of the memory of buffers after which another collection is requested. */
const MAXIMUM_GROWTH_BYTES = 16 * 1024 * 1024;

/** Counts bytes that were read. */
export type ReadListener = (bytes: number) => void;

/** Returns the collector's function, which V8 hides by default. */
function _exposeCollector(): () => void {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("globalThis.gc") as (() => void) | undefined;
  setFlagsFromString("--no-expose-gc");
  return collect ?? (() => undefined);
}

/**
 * Creates the listener to call with bytes that were read from clients. Where the memory
 * of the process is not bounded, it does nothing.
 */
export function createMemoryReclamation(isBounded: boolean): ReadListener {
  let collect: (() => void) | undefined;
  let readBytes = 0;
  let remainingBytes = 0;

  function check(): void {
    const { arrayBuffers } = process.memoryUsage();
    remainingBytes = Math.min(remainingBytes, arrayBuffers);
    if (arrayBuffers - remainingBytes < MAXIMUM_GROWTH_BYTES) return;
    // V8's flags stay unchanged in a process that never needs a collection.
    collect ??= _exposeCollector();
    collect();
    remainingBytes = process.memoryUsage().arrayBuffers;
  }

  return (bytes) => {
    if (!isBounded) return;
    readBytes += bytes;
    if (readBytes < CHECK_BYTES) return;
    readBytes = 0;
    check();
  };
}
