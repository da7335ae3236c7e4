/**
 * Encodes and decodes the frames between routers: a 4-byte big-endian length
 * followed by one CBOR array `[v, k, i, r, g, b]`. Known kinds are sent as
 * numbers, since field names and the kind as text would exceed the content of
 * most frames. The decoder rejects oversized frames before it buffers them.
 */
import { Decoder, Encoder } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import { createByteBuffer } from "./core/byte_buffer.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import { NUMBERED_MESSAGE_KINDS } from "./peer_network.ts";

/** Version of the frame format. */
export const FRAME_VERSION = 2;
/** Largest payload of a frame, in bytes. */
export const MAXIMUM_FRAME_BYTES = 2 * 1024 * 1024;
const LENGTH_BYTES = 4;

/** One message between routers, as sent on the wire. */
export interface Frame {
  /** Protocol version. */
  readonly v: number;
  /** Message kind. */
  readonly k: string;
  /** Correlation number of a request and its reply; 0 for one-way messages. */
  readonly i: number;
  /** True for a reply. */
  readonly r: boolean;
  /** Configuration generation of the sender. */
  readonly g: number;
  /** Body of the message. */
  readonly b: unknown;
}

const _encoder = new Encoder({ useRecords: false, tagUint8Array: false });
const _decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

const _kindNumbers = new Map<string, number>(
  NUMBERED_MESSAGE_KINDS.map((kind, index) => [kind, index]),
);

/** Encodes a frame, or fails with `frame_too_large`. */
export function encodeFrame(frame: Frame): Result<Buffer, ApplicationError> {
  const payload = _encoder.encode([
    frame.v,
    _kindNumbers.get(frame.k) ?? frame.k,
    frame.i,
    frame.r,
    frame.g,
    frame.b,
  ]);
  if (payload.length > MAXIMUM_FRAME_BYTES) {
    return err(
      createError("frame_too_large", `${payload.length} bytes`, [frame.k]),
    );
  }
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  bytes.writeUInt32BE(payload.length, 0);
  payload.copy(bytes, LENGTH_BYTES);
  return ok(bytes);
}

function _toFrame(value: unknown): Frame | undefined {
  if (!Array.isArray(value)) return undefined;
  const [v, kind, i, r, g, b] = value as unknown[];
  const k = typeof kind === "number" ? NUMBERED_MESSAGE_KINDS[kind] : kind;
  const isFrame = typeof v === "number" && typeof k === "string" &&
    typeof i === "number" && typeof r === "boolean" && typeof g === "number";
  return isFrame ? { v, k, i, r, g, b } : undefined;
}

function _decodePayload(payload: Buffer): Result<Frame, ApplicationError> {
  let value: unknown;
  try {
    value = _decoder.decode(payload);
  } catch (cause) {
    return err(createError("malformed_frame", String(cause)));
  }
  const frame = _toFrame(value);
  if (!frame) {
    return err(
      createError("malformed_frame", "missing or invalid header field"),
    );
  }
  if (frame.v !== FRAME_VERSION) {
    return err(createError("unsupported_version", `version ${frame.v}`));
  }
  return ok(frame);
}

/** Splits a byte stream into frames. */
export interface FrameReader {
  /** Adds bytes and returns the frames they complete, or the first error. */
  push(bytes: Buffer): Result<Frame[], ApplicationError>;
}

/** Creates a reader for one connection; `onSize` receives the size of every frame. */
export function createFrameReader(
  onSize: (kind: string, bytes: number) => void = () => {},
): FrameReader {
  const buffered = createByteBuffer();

  return {
    push(bytes) {
      buffered.append(bytes);
      const frames: Frame[] = [];
      while (buffered.length >= LENGTH_BYTES) {
        const length = buffered.bytes().readUInt32BE(0);
        if (length > MAXIMUM_FRAME_BYTES) {
          return err(createError("frame_too_large", `${length} bytes`));
        }
        if (buffered.length < LENGTH_BYTES + length) break;
        const frame = _decodePayload(
          buffered.take(LENGTH_BYTES + length).subarray(LENGTH_BYTES),
        );
        if (frame.isErr()) return err(frame.error);
        onSize(frame.value.k, LENGTH_BYTES + length);
        frames.push(frame.value);
      }
      return ok(frames);
    },
  };
}
