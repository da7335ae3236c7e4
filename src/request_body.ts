/**
 * Reads the body of a caller's request. Bodies up to a limit are held whole, so
 * that the request can be sent to another backend server; longer ones are
 * streamed and can be sent only once.
 */
import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";

/** Largest body that is held in memory, in bytes. */
export const MAXIMUM_BUFFERED_BODY_BYTES = 256 * 1024;

/** A body that was read, or why it was not. */
export type RequestBody =
  | { readonly kind: "whole"; readonly bytes: Buffer | undefined }
  | { readonly kind: "stream"; readonly stream: Readable }
  | { readonly kind: "too_large" }
  | { readonly kind: "aborted" };

/** Returns what is sent to a backend server. */
export function bodyToSend(
  body: RequestBody | undefined,
): Buffer | Readable | undefined {
  if (body?.kind === "whole") return body.bytes;
  return body?.kind === "stream" ? body.stream : undefined;
}

/** Whether a request has a body, by its framing. */
function _hasBody(request: IncomingMessage): boolean {
  return request.headers["transfer-encoding"] !== undefined ||
    Number(request.headers["content-length"] ?? 0) > 0;
}

function _toStream(
  request: IncomingMessage,
  held: readonly Buffer[],
  maximumBytes: number,
): Readable {
  const stream = new PassThrough();
  let total = 0;
  for (const chunk of held) {
    total += chunk.length;
    stream.write(chunk);
  }
  request.on("data", (chunk: Buffer) => {
    total += chunk.length;
    if (total > maximumBytes) {
      stream.destroy(new Error("the body is too large"));
    } else if (!stream.write(chunk)) request.pause();
  });
  stream.on("drain", () => request.resume());
  request.on("end", () => stream.end());
  request.on("close", () => {
    if (!request.complete) stream.destroy(new Error("the caller left"));
  });
  // A failed server does not read on; the rest is read and dropped.
  stream.on("error", () => request.resume());
  return stream;
}

/** Reads a body and reports it once. */
export function readRequestBody(
  request: IncomingMessage,
  maximumBytes: number,
  report: (body: RequestBody) => void,
): void {
  if (!_hasBody(request)) {
    request.resume();
    return report({ kind: "whole", bytes: undefined });
  }
  if (Number(request.headers["content-length"] ?? 0) > maximumBytes) {
    return report({ kind: "too_large" });
  }
  const chunks: Buffer[] = [];
  let total = 0;
  let reported = false;

  function settle(body: RequestBody): void {
    if (reported) return;
    reported = true;
    request.off("data", onData);
    request.off("end", onEnd);
    request.off("close", onClose);
    report(body);
  }

  function onData(chunk: Buffer): void {
    chunks.push(chunk);
    total += chunk.length;
    if (total > maximumBytes) return settle({ kind: "too_large" });
    if (total <= MAXIMUM_BUFFERED_BODY_BYTES) return;
    const stream = _toStream(request, chunks, maximumBytes);
    settle({ kind: "stream", stream });
  }

  function onEnd(): void {
    const bytes = chunks.length === 1
      ? chunks[0] as Buffer
      : Buffer.concat(chunks);
    settle({ kind: "whole", bytes });
  }

  function onClose(): void {
    settle({ kind: "aborted" });
  }

  request.on("data", onData);
  request.on("end", onEnd);
  request.on("close", onClose);
}
