/**
 * When the cold periods end that servers have stated. A statement that ends later than
 * the one before shows that the server has become cold once more, also if it states
 * less time than the one before did.
 */
import type { BackendServerId } from "./ids.ts";
import type { RegisteredServer } from "./server_registrations.ts";

/** Statements of one cold period end this much apart, as they arrive late. */
const ARRIVAL_TOLERANCE_MILLISECONDS = 500;

/** The ends of the stated cold periods; times are monotonic, in milliseconds. */
export class WarmUpStatements {
  readonly #endsAt = new Map<BackendServerId, number>();

  /** Records a statement; returns whether the server has become cold once more. */
  record(
    { id, warmUpMilliseconds }: RegisteredServer,
    now: number,
  ): boolean {
    const knownEnd = this.#endsAt.get(id);
    if (warmUpMilliseconds === 0) {
      this.#endsAt.delete(id);
      return false;
    }
    const endsAt = now + warmUpMilliseconds;
    const isLater = knownEnd !== undefined &&
      endsAt > knownEnd + ARRIVAL_TOLERANCE_MILLISECONDS;
    // Small delays must not add up to a later end.
    if (knownEnd === undefined || isLater) this.#endsAt.set(id, endsAt);
    return isLater;
  }

  /** Forgets a server that has left. */
  remove(id: BackendServerId): void {
    this.#endsAt.delete(id);
  }
}

/** Creates a `WarmUpStatements` without statements. */
export function createWarmUpStatements(): WarmUpStatements {
  return new WarmUpStatements();
}
