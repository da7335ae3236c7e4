/**
 * Revisions of the fleet's store, in an order that outlives its return from a copy.
 *
 * A store that returns from an older copy raises its era and gives out revisions
 * again. Whatever keeps, compares or sends a revision uses one number that orders
 * by era first, so that a state of the new era is newer than any of the old one.
 */

/**
 * Factor between an era and a revision. It leaves room for 8,191 eras and for a
 * thousand billion revisions in each.
 */
const ERA_FACTOR = 2 ** 40;
const MAXIMUM_ERA = Math.floor(Number.MAX_SAFE_INTEGER / ERA_FACTOR);

/** Era and revision of the store at one moment. */
export interface StorePosition {
  /** Number of times that the store has returned from a copy. */
  readonly era: number;
  /** Revision of the whole store within the era. */
  readonly revision: number;
}

/** Whether a value can be an era or a revision of a position. */
export function isStorePosition({ era, revision }: StorePosition): boolean {
  return Number.isInteger(era) && era >= 0 && era <= MAXIMUM_ERA &&
    Number.isInteger(revision) && revision >= 0 && revision < ERA_FACTOR;
}

/** Returns the ordered number of a position. */
export function toStoreRevision({ era, revision }: StorePosition): number {
  return era * ERA_FACTOR + revision;
}

/** Returns the era of an ordered number. */
export function eraOf(storeRevision: number): number {
  return Math.floor(storeRevision / ERA_FACTOR);
}

/** Returns the revision within its era of an ordered number. */
export function revisionInEra(storeRevision: number): number {
  return storeRevision % ERA_FACTOR;
}

/** What the era of a response says about the state that a reader continues. */
export type EraDecision =
  /** The response continues it. */
  | "same"
  /** The store has returned from a copy: read everything anew. */
  | "restored"
  /** The response is older than what is known already: ignore it. */
  | "outdated";

/** Compares the era of a response with the state that a reader has. */
export function decideEra(
  knownRevision: number,
  responseEra: number,
): EraDecision {
  const known = eraOf(knownRevision);
  if (responseEra === known) return "same";
  return responseEra > known ? "restored" : "outdated";
}
