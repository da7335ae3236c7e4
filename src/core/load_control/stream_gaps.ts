/**
 * Where the time between two parts of an event stream went: to the server, to this
 * router, which handled late what had arrived, or to the caller, whose connection
 * took no bytes. What is neither of the other two is the server's.
 */

/** A cause of the time between two parts. */
export type GapCause = "server" | "router" | "caller";

/** The time between two parts of a stream, in milliseconds. */
export interface StreamGap extends Readonly<Record<GapCause, number>> {
  readonly total: number;
}

/** Stalls that are kept; a gap is longer than a few of them at most. */
const MAXIMUM_STALLS = 64;

interface _Stall {
  readonly from: number;
  readonly until: number;
}

/** The latest times in which this process did not run what was due. */
export class LoopStalls {
  #stalls: _Stall[] = [];

  /** Records a stall that ends now; times are monotonic, in milliseconds. */
  record(from: number, until: number): void {
    this.#stalls.push({ from, until });
    if (this.#stalls.length > MAXIMUM_STALLS) this.#stalls.shift();
  }

  /** Returns the stalled time between two times. */
  within(from: number, until: number): number {
    let sum = 0;
    for (let index = this.#stalls.length - 1; index >= 0; index--) {
      const stall = this.#stalls[index] as _Stall;
      if (stall.until <= from) break;
      const start = Math.max(from, stall.from);
      sum += Math.max(0, Math.min(until, stall.until) - start);
    }
    return sum;
  }
}

/** The gaps of one stream. */
export class StreamGaps {
  readonly #stalls: LoopStalls;
  #relayedAt = 0;
  #pausedAt: number | undefined;
  #pausedMilliseconds = 0;
  #longest: StreamGap | undefined;

  constructor(stalls: LoopStalls) {
    this.#stalls = stalls;
  }

  /** The longest gap so far; undefined before the second part. */
  get longest(): StreamGap | undefined {
    return this.#longest;
  }

  /** Records the first part. */
  begin(now: number): void {
    this.#relayedAt = now;
    this.#pausedMilliseconds = 0;
  }

  /** Records that the caller's connection takes no more bytes, or takes them again. */
  recordFlow(isPaused: boolean, now: number): void {
    this.#addPause(now);
    this.#pausedAt = isPaused ? now : undefined;
  }

  /** Records a further part and returns the gap before it. */
  next(now: number): StreamGap {
    this.#addPause(now);
    const total = now - this.#relayedAt;
    const caller = Math.min(total, this.#pausedMilliseconds);
    const stalled = this.#stalls.within(this.#relayedAt, now);
    const router = Math.min(total - caller, stalled);
    const gap = { total, server: total - caller - router, router, caller };
    this.#relayedAt = now;
    this.#pausedMilliseconds = 0;
    if (total > (this.#longest?.total ?? 0)) this.#longest = gap;
    return gap;
  }

  #addPause(now: number): void {
    if (this.#pausedAt === undefined) return;
    this.#pausedMilliseconds += now - Math.max(this.#pausedAt, this.#relayedAt);
    this.#pausedAt = now;
  }
}

/** Returns the cause of the largest part of a gap. */
export function mainCause({ server, router, caller }: StreamGap): GapCause {
  if (caller >= server && caller >= router) return "caller";
  return router >= server ? "router" : "server";
}
