/**
 * The number of routers among which a fleet-wide allowance is divided. A router
 * that has just started, or that was paused, hears none of the others for a
 * moment. Without this estimate it would take the whole allowance, as would
 * every other router that started or woke at the same time.
 */

/** Time in which the estimate falls to half of its distance to the live count. */
const HALF_LIFE_MILLISECONDS = 2_000;
/**
 * Longest step between two updates that counts. A paused router makes no update,
 * and the time of the pause says nothing about the others.
 */
const MAXIMUM_STEP_MILLISECONDS = 200;

/** Estimates the number of routers that share the fleet's allowances. */
export class FleetSize {
  #size = 1;
  #updatedAt = Number.POSITIVE_INFINITY;

  /** Current estimate, at least 1. */
  get size(): number {
    return this.#size;
  }

  /** Follows a rising count of live routers at once and a falling one slowly. */
  update(liveRouters: number, now: number): void {
    const elapsed = Math.max(0, now - this.#updatedAt);
    const step = Math.min(MAXIMUM_STEP_MILLISECONDS, elapsed);
    this.#updatedAt = now;
    const rest = (this.#size - liveRouters) * 2 **
        (-step / HALF_LIFE_MILLISECONDS);
    this.#size = Math.max(1, liveRouters, liveRouters + rest);
  }
}

/** Creates an estimate of one router. */
export function createFleetSize(): FleetSize {
  return new FleetSize();
}
