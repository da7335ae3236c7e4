/**
 * Announcements that a router sends to each peer once, in order. A peer's
 * position is a sequence number; one that starts at 0 gets all that are kept.
 */

/** Announcements with the sequence number of the oldest. */
export class AnnouncementLog<Announcement> {
  readonly #maximum: number;
  #announcements: Announcement[] = [];
  #first = 0;

  /** Keeps up to `maximum` announcements for peers that are behind. */
  constructor(maximum: number) {
    this.#maximum = maximum;
  }

  /** Sequence number of the next announcement. */
  get nextSequence(): number {
    return this.#first + this.#announcements.length;
  }

  /** Adds an announcement; drops the older half if there are too many. */
  add(announcement: Announcement): void {
    this.#announcements.push(announcement);
    if (this.#announcements.length <= this.#maximum) return;
    const dropped = this.#maximum / 2;
    this.#announcements = this.#announcements.slice(dropped);
    this.#first += dropped;
  }

  /** Returns the announcements from a sequence number on. */
  since(sequence: number): readonly Announcement[] {
    return this.#announcements.slice(Math.max(0, sequence - this.#first));
  }
}
