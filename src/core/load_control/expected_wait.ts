/**
 * Estimates how long a request of a service waits at this router, from the work
 * queued ahead of it and the speed at which the router's requests are served.
 * The speed is the cost that one request in flight completes per millisecond,
 * so that the estimate follows the servers' pace and the number of requests
 * that this router has in flight.
 */
import { REMOVALS_PER_LOWER_PRIORITY } from "./admission_queue.ts";
import { evictOldest } from "../bounded_map.ts";
import type { WorkspaceId } from "../ids.ts";

/**
 * Time constant of the observations. The pace of servers changes within
 * seconds, and a shorter window holds too few long requests.
 */
const OBSERVATION_WINDOW_MILLISECONDS = 2_000;
/** Shortest time for which a rate of arrivals is computed. */
const MINIMUM_OBSERVATION_MILLISECONDS = 200;
/** Arrivals that count less than this part of a new one start anew. */
const FORGOTTEN_RATIO = 0.1;
/** Workspaces and priorities whose arrivals are followed. */
const MAXIMUM_ARRIVAL_SUMS = 256;
const MAXIMUM_WAIT_MILLISECONDS = 60_000;

/** A request that was served. */
export interface ServedWork {
  readonly cost: number;
  /** From sending it to the end of its response. */
  readonly milliseconds: number;
  /** From sending it to its first event, or its response. */
  readonly firstEventMilliseconds: number;
}

/** A request that is to be served. */
export interface ArrivedWork {
  readonly cost: number;
  readonly priority: number;
  readonly workspace: WorkspaceId | undefined;
}

/** A request whose wait is estimated. */
export interface QueuedWork extends ArrivedWork {
  /** Cost that is served before it. */
  readonly costAhead: number;
  /** Requests that this router can have in flight at the service. */
  readonly concurrency: number;
}

/** When a request is expected to be served, in milliseconds from now. */
export interface Outlook {
  /** Until it is sent. */
  readonly waitMilliseconds: number;
  /** Until its first event, or its response. */
  readonly firstEventMilliseconds: number;
  /** Until its end. */
  readonly endMilliseconds: number;
}

/** A sum whose parts lose weight exponentially with their age. */
class _DecayingSum {
  #sum = 0;
  #updatedAt = 0;

  add(value: number, now: number): void {
    this.#sum = this.at(now) + value;
    this.#updatedAt = now;
  }

  at(now: number): number {
    const age = Math.max(0, now - this.#updatedAt);
    return this.#sum * Math.exp(-age / OBSERVATION_WINDOW_MILLISECONDS);
  }
}

/** The cost that arrives per millisecond. */
class _ArrivalRate {
  readonly #sum = new _DecayingSum();
  #since = Number.NEGATIVE_INFINITY;

  add(cost: number, now: number): void {
    if (this.#sum.at(now) < cost * FORGOTTEN_RATIO) this.#since = now;
    this.#sum.add(cost, now);
  }

  /** The time observed is shorter than the window after the first arrival. */
  at(now: number): number {
    const age = Math.max(MINIMUM_OBSERVATION_MILLISECONDS, now - this.#since);
    const window = OBSERVATION_WINDOW_MILLISECONDS *
      (1 - Math.exp(-age / OBSERVATION_WINDOW_MILLISECONDS));
    return this.#sum.at(now) / window;
  }
}

/** The requests of a workspace that arrived with one priority. */
interface _Arrivals {
  readonly workspace: WorkspaceId | undefined;
  readonly priority: number;
  readonly rate: _ArrivalRate;
}

function _arrivalKey(
  priority: number,
  workspace: WorkspaceId | undefined,
): string {
  return `${priority}/${workspace ?? ""}`;
}

/** The speed of one service as one router sees it. */
export class ExpectedWait {
  readonly #served = new _DecayingSum();
  readonly #cost = new _DecayingSum();
  readonly #milliseconds = new _DecayingSum();
  readonly #firstEvent = new _DecayingSum();
  readonly #arrivals = new Map<string, _Arrivals>();
  /** Parts of the rate by arrivals, while time and rate are the same. */
  readonly #parts = new Map<string, number>();
  #partsAt = Number.NaN;
  #partsRate = Number.NaN;

  /** Records a request that was served. */
  recordServed(work: ServedWork, now: number): void {
    this.#served.add(1, now);
    this.#cost.add(work.cost, now);
    this.#milliseconds.add(work.milliseconds, now);
    this.#firstEvent.add(work.firstEventMilliseconds, now);
  }

  /** Records a request that is to be served. */
  recordArrival(
    { workspace, priority, cost }: ArrivedWork,
    now: number,
  ): void {
    const key = _arrivalKey(priority, workspace);
    this.#partsAt = Number.NaN;
    let arrivals = this.#arrivals.get(key);
    if (!arrivals) {
      arrivals = { workspace, priority, rate: new _ArrivalRate() };
      this.#arrivals.set(key, arrivals);
      evictOldest(this.#arrivals, MAXIMUM_ARRIVAL_SUMS);
    }
    arrivals.rate.add(cost, now);
  }

  /** Returns the outlook of a request; undefined before any was served. */
  estimate(work: QueuedWork, now: number): Outlook | undefined {
    const milliseconds = this.#milliseconds.at(now);
    const served = this.#served.at(now);
    // Far below one request, the sums have no significant digits left.
    if (!(milliseconds > 0) || served < 1e-9) return undefined;
    const speed = this.#cost.at(now) / milliseconds;
    const rate = speed * Math.max(1, work.concurrency);
    // A request in flight must end first; on average, half of it is left.
    const ahead = work.costAhead + this.#cost.at(now) / served / 2;
    const wait = Math.min(
      MAXIMUM_WAIT_MILLISECONDS,
      ahead / this.#rateFor(work, rate, now),
    );
    const firstEvent = this.#firstEvent.at(now) / served;
    return {
      waitMilliseconds: wait,
      firstEventMilliseconds: wait + firstEvent,
      endMilliseconds: wait + Math.max(firstEvent, work.cost / speed),
    };
  }

  /** All waiting requests are estimated at once, and many have the same part. */
  #rateFor(work: QueuedWork, rate: number, now: number): number {
    if (now !== this.#partsAt || rate !== this.#partsRate) this.#parts.clear();
    this.#partsAt = now;
    this.#partsRate = rate;
    const key = _arrivalKey(work.priority, work.workspace);
    const known = this.#parts.get(key);
    if (known !== undefined) return known;
    const part = this.#partFor(work, rate, now);
    this.#parts.set(key, part);
    return part;
  }

  /**
   * Returns the part of the rate that serves a request. What arrives meanwhile
   * and is more urgent is served before it, and other workspaces of its
   * priority get as much as they ask for, up to an equal part.
   */
  #partFor(
    { priority, workspace }: QueuedWork,
    rate: number,
    now: number,
  ): number {
    let urgent = 0;
    const others: number[] = [];
    for (const arrivals of this.#arrivals.values()) {
      if (arrivals.priority > priority) continue;
      const perMillisecond = arrivals.rate.at(now);
      if (arrivals.priority < priority) urgent += perMillisecond;
      else if (arrivals.workspace !== workspace) others.push(perMillisecond);
    }
    const left = Math.max(rate / REMOVALS_PER_LOWER_PRIORITY, rate - urgent);
    const part = left / (others.length + 1);
    return others.reduce((rest, other) => rest - Math.min(part, other), left);
  }
}

/** Creates an estimate without observations. */
export function createExpectedWait(): ExpectedWait {
  return new ExpectedWait();
}
