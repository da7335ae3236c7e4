/**
 * Memory for the bodies of requests. A body is buffered until it is complete, and its
 * caller may take the whole time limit for that, so many slow callers at once would
 * fill the memory of the process. Each body has a small part for itself; what it takes
 * beyond that comes from a reserve that all requests of the process share.
 */

/** Bytes that every body may take, whatever the others hold. */
export const UNRESERVED_BODY_BYTES = 16 * 1024;
/** Bytes that all bodies together may take beyond that. */
export const MAXIMUM_RESERVED_BYTES = 32 * 1024 * 1024;
/** A body that takes longer than this to arrive yields to others. */
export const SLOW_BODY_MILLISECONDS = 1_000;

/** The part of the reserve that one body holds. */
export interface BodyReservation {
  /** Whether the request has ended or its body was given up. */
  readonly isReleased: boolean;
  /**
   * Takes what a body of this length needs. False if the reserve is used up although
   * slow bodies were given up, or if this is one of them.
   */
  tryGrow(bytes: number): boolean;
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

/** Creates a reserve; `now` is a monotonic time in milliseconds. */
export function createBodyReserve(
  maximumBytes: number = MAXIMUM_RESERVED_BYTES,
  now: () => number = () => performance.now(),
): BodyReserve {
  /** Bodies that hold a part and have not arrived, the oldest first. */
  const arriving = new Map<BodyReservation, () => void>();
  let takenBytes = 0;

  function open(giveUp: () => void): BodyReservation {
    const openedAt = now();
    let heldBytes = 0;
    let isReleased = false;
    const reservation: BodyReservation = {
      get isReleased() {
        return isReleased;
      },
      tryGrow(bytes) {
        if (isReleased) return false;
        const neededBytes = bytes - UNRESERVED_BODY_BYTES - heldBytes;
        if (neededBytes <= 0) return true;
        while (takenBytes + neededBytes > maximumBytes) {
          if (!giveUpOldest() || isReleased) return false;
        }
        takenBytes += neededBytes;
        heldBytes += neededBytes;
        arriving.set(reservation, giveUpIfSlow);
        return true;
      },
      complete: () => void arriving.delete(reservation),
      release() {
        isReleased = true;
        arriving.delete(reservation);
        takenBytes -= heldBytes;
        heldBytes = 0;
      },
    };

    function giveUpIfSlow(): void {
      if (now() - openedAt < SLOW_BODY_MILLISECONDS) return;
      reservation.release();
      giveUp();
    }

    return reservation;
  }

  /** Gives up the oldest body if it is slow; false if it is not. */
  function giveUpOldest(): boolean {
    const before = takenBytes;
    const [giveUpIfSlow] = arriving.values();
    giveUpIfSlow?.();
    return takenBytes < before;
  }

  return {
    open,
    get takenBytes() {
      return takenBytes;
    },
  };
}
