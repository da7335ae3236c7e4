/**
 * Reads the body of a caller's request. Bodies up to a limit are buffered, so
 * that the request can be retried at another backend server; longer
 * bodies are streamed and can be sent only once. So are bodies for which the memory
 * that all requests share has no room.
 */
import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import type { BodyReservation, BodyReserve } from "./body_reserve.ts";
import { callerConnectionOf } from "./caller_connection.ts";
import { createByteBuffer } from "./core/byte_buffer.ts";
import type { ClientLimits } from "./core/client_limits.ts";
import type { ErrorKind } from "./core/errors.ts";
import type { ReadListener } from "./memory_reclamation.ts";

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
const NO_ROOM: RequestBody = {
  kind: "rejected",
  error: "overloaded",
  detail: "the memory for bodies is full",
};

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

/** Bounds of a body and what it shares with others. */
export interface RequestBodyOptions {
  /** Largest body, in bytes. */
  readonly maximumBytes: number;
  readonly limits: Pick<
    ClientLimits,
    "smallPieces" | "minimumPieceBytes" | "discardedBytes"
  >;
  readonly bodies: BodyReserve;
  /** Called with bytes that were read. */
  readonly onRead: ReadListener;
}

/**
 * Counts the pieces of a body. Each costs far more than its bytes, so a body in very
 * many small ones is refused; calls `onExcess` for the first piece beyond the bound.
 */
function _limitPieces(
  request: IncomingMessage,
  { limits, onRead }: RequestBodyOptions,
  onExcess: () => void,
): void {
  const { smallPieces, minimumPieceBytes } = limits;
  let pieces = 0;
  let bytes = 0;

  function countPiece(piece: Buffer): void {
    pieces++;
    bytes += piece.length;
    onRead(piece.length);
    if (pieces <= smallPieces + bytes / minimumPieceBytes) return;
    request.off("data", countPiece);
    onExcess();
  }

  request.on("data", countPiece);
}

/**
 * Writes what is buffered, then the rest of the body as it arrives. A server may respond
 * or fail before it has read the body, which closes the stream; the rest is then read and
 * discarded, since further requests on the connection follow it.
 */
function _writeToStream(
  request: IncomingMessage,
  stream: PassThrough,
  buffered: Buffer,
  { maximumBytes, limits }: RequestBodyOptions,
): void {
  let totalBytes = buffered.length;
  stream.write(buffered);
  request.on("data", (chunk: Buffer) => {
    totalBytes += chunk.length;
    if (totalBytes > maximumBytes + limits.discardedBytes) {
      callerConnectionOf(request.socket).closeAtOnce("discarded_bytes");
    } else if (totalBytes > maximumBytes) {
      stream.destroy(new Error("the request body is too large"));
    } else if (!stream.destroyed && !stream.write(chunk)) request.pause();
  });
  stream.on("drain", () => request.resume());
  request.on("end", () => stream.end());
  request.on("close", () => {
    if (!request.complete) stream.destroy(new Error("caller disconnected"));
  });
  stream.on("error", () => undefined);
  stream.on("close", () => request.resume());
}

/** Reads a body and calls `onBody` once with the result. */
export function readRequestBody(
  request: IncomingMessage,
  options: RequestBodyOptions,
  onBody: (body: RequestBody) => void,
): void {
  const { maximumBytes, bodies } = options;
  if (!_hasBody(request)) {
    request.resume();
    return onBody({ kind: "whole", bytes: undefined });
  }
  if (Number(request.headers["content-length"] ?? 0) > maximumBytes) {
    return onBody(TOO_LARGE);
  }
  const received = createByteBuffer();
  const reservation = bodies.open(() => settle(TOO_SLOW));
  _reservations.set(request, reservation);
  let isSettled = false;

  function settle(body: RequestBody): void {
    if (isSettled) return;
    isSettled = true;
    if (body.kind !== "stream") reservation.complete();
    request.off("data", onData);
    request.off("end", onEnd);
    request.off("close", onClose);
    // The request outlives its rejection by the time that its connection closes.
    if (body.kind === "rejected") received.clear();
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
    sendOn();
  }

  /** Sends the body on as it arrives. */
  function sendOn(): void {
    const stream = new PassThrough();
    const hasRoom = reservation.tryStream(
      received.length,
      () => void stream.destroy(new Error("the body came too slowly")),
    );
    if (!hasRoom) return settle(NO_ROOM);
    _writeToStream(request, stream, received.bytes(), options);
    // The listeners of the request share a scope with the buffer and outlive its sending.
    received.clear();
    request.on(
      "data",
      ({ length }: Buffer) => reservation.recordProgress(length),
    );
    stream.once("drain", () => reservation.recordBufferSent());
    request.once("end", () => reservation.complete());
    settle({ kind: "stream", stream });
  }

  function onEnd(): void {
    settle({ kind: "whole", bytes: received.bytes() });
  }

  function onClose(): void {
    settle({ kind: "aborted" });
  }

  _limitPieces(request, options, () => {
    callerConnectionOf(request.socket).closeAtOnce("small_pieces");
  });
  request.on("data", onData);
  request.on("end", onEnd);
  request.on("close", onClose);
}
