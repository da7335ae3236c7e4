/**
 * Reads the body of a caller's request. Bodies up to a limit are buffered, so
 * that the request can be retried at another backend server; longer
 * bodies are streamed and can be sent only once. So are bodies for which the memory
 * that all requests share has no room.
 */
import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { type BodyReservation, createBodyReserve } from "./body_reserve.ts";
import { createByteBuffer } from "./core/byte_buffer.ts";
import type { ErrorKind } from "./core/errors.ts";

/** Largest body that is buffered. */
export const MAXIMUM_BUFFERED_BODY_BYTES = 256 * 1024;

/** The body, or why it could not be read. */
export type RequestBody =
  | { readonly kind: "whole"; readonly bytes: Buffer | undefined }
  | { readonly kind: "stream"; readonly stream: Readable }
  | {
    readonly kind: "rejected";
    readonly error: ErrorKind;
    readonly detail: string;
  }
  | { readonly kind: "aborted" };

const TOO_LARGE: RequestBody = {
  kind: "rejected",
  error: "body_too_large",
  detail: "the body is too large",
};
const TOO_SLOW: RequestBody = {
  kind: "rejected",
  error: "overloaded",
  detail: "the body came too slowly, and the memory for bodies is full",
};

/** One for the process, as its memory is. */
const _reserve = createBodyReserve();
const _reservations = new WeakMap<IncomingMessage, BodyReservation>();

/** Returns the memory of a request's body to the reserve, once the request has ended. */
export function releaseRequestBody(request: IncomingMessage): void {
  _reservations.get(request)?.release();
}

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
    return onBody(TOO_LARGE);
  }
  const received = createByteBuffer();
  const reservation = _reserve.open(() => settle(TOO_SLOW));
  _reservations.set(request, reservation);
  let isSettled = false;

  function settle(body: RequestBody): void {
    if (isSettled) return;
    isSettled = true;
    reservation.complete();
    request.off("data", onData);
    request.off("end", onEnd);
    request.off("close", onClose);
    onBody(body);
  }

  function onData(chunk: Buffer): void {
    // A request that has ended discards the rest of its body.
    if (reservation.isReleased) return;
    received.append(chunk);
    if (received.length > maximumBytes) return settle(TOO_LARGE);
    const canBuffer = received.length <= MAXIMUM_BUFFERED_BODY_BYTES &&
      reservation.tryGrow(received.length);
    if (canBuffer || reservation.isReleased) return;
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
