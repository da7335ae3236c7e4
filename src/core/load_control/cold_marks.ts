/**
 * Observations of routers that a server may have become cold before its
 * registration says so. Routers pass them on, since those that hold no share of a
 * cold server cannot observe it themselves. A mark of a single other router has no
 * effect: the fault may be that router's own, and the limit would apply to all.
 */
import { AnnouncementLog } from "../announcement_log.ts";
import { evictOldest } from "../bounded_map.ts";
import type { IncarnationKey } from "../server_incarnations.ts";

/** Beyond this number, the oldest marks are forgotten. */
const MAXIMUM_MARKS = 4_096;
/** Observations of two routers within this time confirm each other. */
const CONFIRMATION_MILLISECONDS = 2_000;
/** A router's further observation is ignored unless it is newer by this time. */
const ANNOUNCED_CHANGE_MILLISECONDS = 500;
/** Routers whose observations confirm that a server was unreachable. */
const CONFIRMING_ROUTERS = 2;
/** Announcements that are older than this are not sent to a router that joins. */
const MAXIMUM_AGE_MILLISECONDS = 30_000;
/**
 * Routers that pass a mark on: a member's collector, the collectors of the other
 * data centres, and their members. Bounded because each transit makes it younger.
 */
const MAXIMUM_HOPS = 3;

/** The observation of one router that a server may have become cold. */
export interface ColdMark {
  readonly incarnation: IncarnationKey;
  /** Identifies the router that observed it; 0 for this router. */
  readonly origin: number;
  /** When it was observed, in monotonic milliseconds of this router. */
  readonly markedAt: number;
  /** Routers that have passed it on. */
  readonly hops: number;
}

/** The newest marks of each server, and which of them peers are told. */
export class ColdMarks {
  /** The newest marks by different routers. */
  readonly #marks = new Map<IncarnationKey, readonly ColdMark[]>();
  readonly #log = new AnnouncementLog<ColdMark>(MAXIMUM_MARKS);

  /** Adds a mark, and announces it if it says more than is known. */
  add(mark: ColdMark): void {
    const { incarnation, origin, markedAt, hops } = mark;
    const known = this.#marks.get(incarnation) ?? [];
    const own = known.find((other) => other.origin === origin);
    const isKnown = own !== undefined &&
      markedAt - own.markedAt < ANNOUNCED_CHANGE_MILLISECONDS;
    if (isKnown) return;
    const others = known.filter((other) => other.origin !== origin);
    const newest = [mark, ...others]
      .sort((left, right) => right.markedAt - left.markedAt)
      .slice(0, CONFIRMING_ROUTERS);
    this.#marks.delete(incarnation);
    this.#marks.set(incarnation, newest);
    evictOldest(this.#marks, MAXIMUM_MARKS);
    const isConfirmed =
      others.filter((other) =>
        markedAt - other.markedAt < ANNOUNCED_CHANGE_MILLISECONDS
      ).length >= CONFIRMING_ROUTERS;
    if (!isConfirmed && hops <= MAXIMUM_HOPS) this.#log.add(mark);
  }

  /** Whether enough routers made the same observation at about the time `at`. */
  isConfirmed(incarnation: IncarnationKey, at: number): boolean {
    const marks = this.#marks.get(incarnation) ?? [];
    const confirming = marks.filter(({ markedAt }) =>
      Math.abs(at - markedAt) < CONFIRMATION_MILLISECONDS
    );
    return confirming.length >= CONFIRMING_ROUTERS;
  }

  /** Forgets a server that is no longer registered. */
  delete(incarnation: IncarnationKey): void {
    this.#marks.delete(incarnation);
  }

  /** Sequence number of the next announcement. */
  get nextSequence(): number {
    return this.#log.nextSequence;
  }

  /** Returns the marks announced from a number on that still matter. */
  announcementsSince(sequence: number, now: number): ColdMark[] {
    if (sequence >= this.#log.nextSequence) return [];
    return this.#log.since(sequence).filter(({ markedAt }) =>
      now - markedAt < MAXIMUM_AGE_MILLISECONDS
    );
  }
}
