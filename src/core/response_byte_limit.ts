/**
 * Limits the bytes that a backend server sends for one response without any
 * progress of its body: heads of interim responses, empty lines, chunk framing
 * and extensions. A parser that limits each of these still reads on as long as
 * the server repeats them, and a single such server would take the host's link
 * and processor from all other requests.
 */

/** Bytes allowed for heads and framing, beside those that grow with the body. */
export const MAXIMUM_OVERHEAD_BYTES = 64 * 1024;
/** Overhead bytes allowed per byte of the body, for bodies in very small chunks. */
export const OVERHEAD_BYTES_PER_BODY_BYTE = 8;

/** Where in a response the excess bytes arrived. */
export type ResponsePhase = "head" | "body" | "event" | "discarded" | "idle";

/** Counts the bytes of one response. */
export class ResponseByteLimit {
  readonly #startBytes: number;
  #parsedBytes: number;
  #bodyBytes = 0;

  /** `startBytes` is the number of bytes that the connection had read before. */
  constructor(startBytes: number) {
    this.#startBytes = startBytes;
    this.#parsedBytes = startBytes;
  }

  /** Counts bytes of the body. */
  addBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }

  /**
   * Returns the number of overhead bytes if they exceed the limit. Called before
   * newly read bytes are parsed, so it judges those of the previous call.
   */
  excessAfterRead(readBytes: number): number | undefined {
    const overhead = this.#parsedBytes - this.#startBytes - this.#bodyBytes;
    this.#parsedBytes = readBytes;
    const limit = MAXIMUM_OVERHEAD_BYTES +
      OVERHEAD_BYTES_PER_BODY_BYTE * this.#bodyBytes;
    return overhead > limit ? overhead : undefined;
  }
}

/** Creates the limit for a response on a connection. */
export function createResponseByteLimit(startBytes: number): ResponseByteLimit {
  return new ResponseByteLimit(startBytes);
}
