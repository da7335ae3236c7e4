/**
 * Reads the body of a caller's request. Bodies up to a limit are buffered, so
 * that the request can be retried at another backend server; longer
 * bodies are streamed and can be sent only once.
 */
import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { createByteBuffer } from "./core/byte_buffer.ts";

/** Largest body that is buffered. */
export const MAXIMUM_BUFFERED_BODY_BYTES = 256 * 1024;

/** The body, or why it could not be read. */
export type RequestBody =
  | { readonly kind: "whole"; readonly bytes: Buffer | undefined }
  | { readonly kind: "stream"; readonly stream: Readable }
  | { readonly kind: "too_large" }
  | { readonly kind: "aborted" };

/** Returns the body to send to a backend server. */
export function bodyToSend(
  body: RequestBody | undefined,
): Buffer | Readable | undefined {
  if (body?.kind === "whole") return body.bytes;
  return body?.kind === "stream" ? body.stream : undefined;
}

/** Whether the framing headers of a request announce a body. */
function _hasBody(request: IncomingMessage): boolean {
  return request.headers["transfer-encoding"] !== undefined ||
    Number(request.headers["content-length"] ?? 0) > 0;
}

function _toStream(
  request: IncomingMessage,
  buffered: Buffer,
  maximumBytes: number,
): Readable {
  const stream = new PassThrough();
  let totalBytes = buffered.length;
  stream.write(buffered);
  request.on("data", (chunk: Buffer) => {
    totalBytes += chunk.length;
    if (totalBytes > maximumBytes) {
      stream.destroy(new Error("the request body is too large"));
    } else if (!stream.write(chunk)) request.pause();
  });
  stream.on("drain", () => request.resume());
  request.on("end", () => stream.end());
  request.on("close", () => {
    if (!request.complete) stream.destroy(new Error("caller disconnected"));
  });
  // After a server failure the rest of the body is read and discarded.
  stream.on("error", () => request.resume());
  return stream;
}

/** Reads a body and calls `onBody` once with the result. */
export function readRequestBody(
  request: IncomingMessage,
  maximumBytes: number,
  onBody: (body: RequestBody) => void,
): void {
  if (!_hasBody(request)) {
    request.resume();
    return onBody({ kind: "whole", bytes: undefined });
  }
  if (Number(request.headers["content-length"] ?? 0) > maximumBytes) {
    return onBody({ kind: "too_large" });
  }
  const received = createByteBuffer();
  let isSettled = false;

  function settle(body: RequestBody): void {
    if (isSettled) return;
    isSettled = true;
    request.off("data", onData);
    request.off("end", onEnd);
    request.off("close", onClose);
    onBody(body);
  }

  function onData(chunk: Buffer): void {
    received.append(chunk);
    if (received.length > maximumBytes) return settle({ kind: "too_large" });
    if (received.length <= MAXIMUM_BUFFERED_BODY_BYTES) return;
    const stream = _toStream(request, received.bytes(), maximumBytes);
    settle({ kind: "stream", stream });
  }

  function onEnd(): void {
    settle({ kind: "whole", bytes: received.bytes() });
  }

  function onClose(): void {
    settle({ kind: "aborted" });
  }

  request.on("data", onData);
  request.on("end", onEnd);
  request.on("close", onClose);
}
