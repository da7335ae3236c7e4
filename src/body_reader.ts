/** Reads whole bodies of HTTP responses. */
import { createByteBuffer } from "./core/byte_buffer.ts";

/**
 * Reads a body to its end. However small its pieces are, the memory stays within a
 * constant times its bytes; the HTTP client's own limit bounds those.
 */
export async function readBody(body: AsyncIterable<unknown>): Promise<Buffer> {
  const received = createByteBuffer();
  for await (const piece of body) received.append(piece as Buffer);
  return received.bytes();
}
