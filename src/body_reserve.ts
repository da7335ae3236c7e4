/**
 * Memory for the bodies of requests. A body is buffered until it is complete, and its
 * caller may take the whole time limit for that, so many slow callers at once would
 * fill the memory of the process. Each body has a small part for itself; what it takes
 * beyond that is counted in the memory account that all clients of the process share.
 */
import { BUFFER_CAPACITY_FACTOR } from "./core/byte_buffer.ts";
import {
  createMemoryAccount,
  DEFAULT_BODY_BYTES,
  type MemoryAccount,
  type MemoryHolding,
  SLOW_HOLDING_MILLISECONDS,
} from "./core/memory_account.ts";

/** Bytes that every body may take, whatever the others hold. */
export const UNRESERVED_BODY_BYTES = 16 * 1024;
/** Bytes that all bodies together may take beyond that, if nothing else is set. */
export const MAXIMUM_RESERVED_BYTES = DEFAULT_BODY_BYTES;
/** A body that makes no progress for longer than this yields to others. */
export const SLOW_BODY_MILLISECONDS = SLOW_HOLDING_MILLISECONDS;
/**
 * Memory of a body that is sent on as it arrives: what waits for the server, one read
 * more, and the connection to the server.
 */
export const STREAMED_BODY_BYTES = 192 * 1024;

/** The part of the reserve that one body holds. */
export interface BodyReservation {
  /** Whether the request has ended or its body was given up. */
  readonly isReleased: boolean;
  /**
   * Takes what a body of this length needs. False if the reserve is used up although
   * slow bodies were given up, or if this is one of them.
   */
  tryGrow(bytes: number): boolean;
  /**
   * Exchanges what is held for what a streamed body needs, of which this much was
   * buffered; false if there is no room. `giveUp` is called if it has to yield.
   */
  tryStream(bufferedBytes: number, giveUp: () => void): boolean;
  /** Records that the buffered part of a streamed body was sent. */
  recordBufferSent(): void;
  /** Records bytes of a streamed body, so that it does not count as slow. */
  recordProgress(bytes: number): void;
  /** Records that the body has arrived, so that it is not given up any more. */
  complete(): void;
  /** Returns all of it to the reserve; nothing can be taken any more. */
  release(): void;
}

/** A reserve that bodies share. */
export interface BodyReserve {
  /** Opens the reservation of a body; `giveUp` is called if it has to yield. */
  open(giveUp: () => void): BodyReservation;
  /** Bytes that are taken. */
  readonly takenBytes: number;
}

/**
 * Creates a reserve within an account, or within an own one of this many bytes; `now`
 * is a monotonic time in milliseconds.
 */
export function createBodyReserve(
  bounds: MemoryAccount | number = MAXIMUM_RESERVED_BYTES,
  now: () => number = () => performance.now(),
): BodyReserve {
  const account = typeof bounds === "number"
    ? createMemoryAccount({ budgetBytes: bounds })
    : bounds;

  function open(giveUp: () => void): BodyReservation {
    let holding: MemoryHolding = account.open("body", { now: now(), giveUp });
    return {
      get isReleased() {
        return holding.isReleased;
      },
      tryGrow: (bytes) =>
        holding.tryGrow(Math.max(0, bytes - UNRESERVED_BODY_BYTES), now()),
      tryStream(bufferedBytes, giveUpStream) {
        if (holding.isReleased) return false;
        const streamed = account.open("streamed_body", {
          now: now(),
          giveUp: giveUpStream,
        });
        const bytes = STREAMED_BODY_BYTES +
          BUFFER_CAPACITY_FACTOR * bufferedBytes;
        if (!streamed.tryGrow(bytes, now())) return false;
        holding.release();
        holding = streamed;
        return true;
      },
      recordBufferSent() {
        if (holding.heldBytes <= STREAMED_BODY_BYTES) return;
        holding.count(STREAMED_BODY_BYTES, now());
      },
      recordProgress: (bytes) => holding.recordProgress(bytes, now()),
      complete: () => holding.keep(),
      release: () => holding.release(),
    };
  }

  return {
    open,
    get takenBytes() {
      return account.heldBy("body") + account.heldBy("streamed_body");
    },
  };
}
