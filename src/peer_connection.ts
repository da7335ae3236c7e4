/**
 * One TCP connection between two routers. Each side authenticates with an HMAC
 * of the other's nonce, keyed with the fleet key, before other messages are
 * accepted.
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type ApplicationError, createError } from "./core/errors.ts";
import {
  brandId,
  type DataCentreId,
  type HostId,
  type IncarnationId,
  type SocketAddress,
} from "./core/ids.ts";
import {
  createFrameReader,
  encodeFrame,
  type Frame,
  FRAME_VERSION,
} from "./frame_codec.ts";
import type { PeerIdentity } from "./peer_network.ts";
import type { PeerTraffic } from "./peer_traffic.ts";
import { afterPendingInput } from "./pending_input.ts";

const NONCE_BYTES = 16;
/** Time within which both sides must authenticate. */
export const HANDSHAKE_TIMEOUT_MILLISECONDS = 2_000;
/** Unsent bytes in the socket's buffer beyond which no frame is sent. */
const MAXIMUM_BUFFERED_BYTES = 8 * 1024 * 1024;

const _helloSchema = z.strictObject({
  host: z.string().min(1).max(253),
  dataCentre: z.string().min(1).max(253),
  incarnation: z.string().min(1).max(64),
  address: z.string().max(64),
  nonce: z.string().length(NONCE_BYTES * 2),
});
const _proofSchema = z.strictObject({ proof: z.string().length(64) });

/** Options of {@link createPeerConnection}. */
export interface PeerConnectionOptions {
  readonly socket: Socket;
  readonly self: PeerIdentity;
  readonly fleetKey: string;
  /** True on the side that opened the connection. */
  readonly isInitiator: boolean;
  readonly traffic: PeerTraffic;
  readonly generation: () => number;
  readonly onFrame: (frame: Frame, connection: PeerConnection) => void;
  readonly onReady: (connection: PeerConnection) => void;
  readonly onClose: (
    reason: ApplicationError,
    connection: PeerConnection,
  ) => void;
}

/** A connection to a peer, authenticated once `identity` returns a value. */
export interface PeerConnection {
  identity(): PeerIdentity | undefined;
  /** Writes a frame; false if unauthenticated, closed, congested or the frame is too large. */
  send(
    kind: string,
    correlation: number,
    reply: boolean,
    body: unknown,
  ): boolean;
  /** Time since the first request sent after the last byte received; 0 if none. */
  unansweredMilliseconds(): number;
  close(reason: ApplicationError): void;
}

function _computeProof(
  fleetKey: string,
  role: string,
  nonce: string,
  host: string,
): string {
  return createHmac("sha256", fleetKey).update(`${role}\0${nonce}\0${host}`)
    .digest("hex");
}

function _digestsEqual(left: string, right: string): boolean {
  const [leftBytes, rightBytes] = [Buffer.from(left), Buffer.from(right)];
  return leftBytes.length === rightBytes.length &&
    timingSafeEqual(leftBytes, rightBytes);
}

/** Starts the handshake on a socket and returns the connection. */
export function createPeerConnection(
  options: PeerConnectionOptions,
): PeerConnection {
  const { socket, self, fleetKey, isInitiator, traffic } = options;
  const reader = createFrameReader((kind, bytes) =>
    traffic.recordReceived(kind, bytes)
  );
  const localNonce = randomBytes(NONCE_BYTES).toString("hex");
  const [localRole, remoteRole] = isInitiator
    ? ["opener", "listener"]
    : ["listener", "opener"];
  let claimedIdentity: PeerIdentity | undefined;
  let authenticated = false;
  let closed = false;
  let unansweredSince: number | undefined;
  const handshakeTimer = setTimeout(
    () => afterPendingInput(timeOutHandshake),
    HANDSHAKE_TIMEOUT_MILLISECONDS,
  );

  function timeOutHandshake(): void {
    if (authenticated) return;
    close(createError("peer_unreachable", "the handshake timed out"));
  }

  function close(reason: ApplicationError): void {
    if (closed) return;
    closed = true;
    clearTimeout(handshakeTimer);
    socket.destroy();
    options.onClose(reason, connection);
  }

  function send(
    kind: string,
    correlation: number,
    reply: boolean,
    body: unknown,
  ): boolean {
    if (closed || socket.writableLength > MAXIMUM_BUFFERED_BYTES) return false;
    const encoded = encodeFrame({
      v: FRAME_VERSION,
      k: kind,
      i: correlation,
      r: reply,
      g: options.generation(),
      b: body,
    });
    if (encoded.isErr()) return false;
    traffic.recordSent(kind, encoded.value.length);
    if (correlation !== 0 && !reply) unansweredSince ??= performance.now();
    socket.write(encoded.value);
    return true;
  }

  function acceptHello(frame: Frame): Result<void, ApplicationError> {
    const hello = _helloSchema.safeParse(frame.b);
    if (!hello.success) {
      return err(
        createError("malformed_frame", hello.error.message, ["hello"]),
      );
    }
    claimedIdentity = {
      host: brandId<HostId>(hello.data.host),
      dataCentre: brandId<DataCentreId>(hello.data.dataCentre),
      incarnation: brandId<IncarnationId>(hello.data.incarnation),
      address: brandId<SocketAddress>(hello.data.address),
    };
    send("proof", 0, false, {
      proof: _computeProof(fleetKey, localRole, hello.data.nonce, self.host),
    });
    return ok(undefined);
  }

  function acceptProof(frame: Frame): Result<void, ApplicationError> {
    const message = _proofSchema.safeParse(frame.b);
    if (!message.success || !claimedIdentity) {
      return err(createError("malformed_frame", "missing or invalid proof"));
    }
    const expected = _computeProof(
      fleetKey,
      remoteRole,
      localNonce,
      claimedIdentity.host,
    );
    if (!_digestsEqual(expected, message.data.proof)) {
      return err(
        createError("unauthenticated", "the peer does not hold the fleet key"),
      );
    }
    authenticated = true;
    clearTimeout(handshakeTimer);
    options.onReady(connection);
    return ok(undefined);
  }

  function acceptFrame(frame: Frame): Result<void, ApplicationError> {
    if (authenticated) {
      options.onFrame(frame, connection);
      return ok(undefined);
    }
    if (frame.k === "hello") return acceptHello(frame);
    if (frame.k === "proof") return acceptProof(frame);
    return err(
      createError(
        "unauthenticated",
        "message received before the handshake completed",
        [
          frame.k,
        ],
      ),
    );
  }

  const connection: PeerConnection = {
    identity: () => authenticated ? claimedIdentity : undefined,
    send: (kind, correlation, reply, body) =>
      authenticated && send(kind, correlation, reply, body),
    unansweredMilliseconds: () =>
      unansweredSince === undefined ? 0 : performance.now() - unansweredSince,
    close,
  };

  socket.setNoDelay(true);
  socket.on("data", (bytes) => {
    unansweredSince = undefined;
    const frames = reader.push(bytes);
    if (frames.isErr()) return close(frames.error);
    for (const frame of frames.value) {
      const accepted = acceptFrame(frame);
      if (accepted.isErr()) return close(accepted.error);
    }
  });
  socket.on(
    "error",
    (cause) => close(createError("peer_unreachable", cause.message)),
  );
  socket.on(
    "close",
    () => close(createError("peer_unreachable", "the connection was closed")),
  );
  send("hello", 0, false, {
    host: self.host,
    dataCentre: self.dataCentre,
    incarnation: self.incarnation,
    address: self.address,
    nonce: localNonce,
  });
  return connection;
}
