/**
 * The requests of a router that is told to stop. Those that can still be finished
 * are served, those that cannot are rejected at once as not run, and those whose
 * server is slower than expected get an answer before the process ends.
 */
import { createRequestDurations } from "./core/request_durations.ts";
import type { Clock } from "./timer_service.ts";

/** Time at the end of the grace in which answers are written and tasks stop. */
const STOP_MARGIN_MILLISECONDS = 400;

/** A request that is being served. */
export interface ServedRequest {
  /** Ends the request with an answer that says what is known of it. */
  abandon(): void;
}

/** What decides whether a request can be finished. */
export interface StoppableRoute {
  readonly name: string;
  readonly latencyObjectiveMilliseconds: number;
}

/** Follows the requests of one router and its stop. */
export class PlannedStop {
  readonly #clock: Clock;
  readonly #durations = createRequestDurations();
  readonly #served = new Set<ServedRequest>();
  #deadline = Number.POSITIVE_INFINITY;
  #signalledAt = Number.POSITIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether this router is shutting down. */
  get isStopping(): boolean {
    return this.#deadline < Number.POSITIVE_INFINITY;
  }

  /** Begins the stop; the process is killed after the grace time. */
  begin(graceMilliseconds: number): void {
    this.#signalledAt = this.#now();
    this.#deadline = this.#signalledAt + graceMilliseconds -
      STOP_MARGIN_MILLISECONDS;
  }

  /** Time since the stop began. */
  sinceSignalMilliseconds(): number {
    return this.#now() - this.#signalledAt;
  }

  /** Time until all requests must have an answer. */
  remainingMilliseconds(): number {
    return Math.max(0, this.#deadline - this.#now());
  }

  /**
   * Whether a request that arrives now can be finished: within the longest duration
   * of its route's recent requests, or its objective if there were none.
   */
  canFinish({ name, latencyObjectiveMilliseconds }: StoppableRoute): boolean {
    if (!this.isStopping) return true;
    if (this.remainingMilliseconds() === 0) return false;
    const longest = this.longestRecent(name);
    const expected = longest > 0 ? longest : latencyObjectiveMilliseconds;
    return expected <= this.remainingMilliseconds();
  }

  /** Longest duration of a route's recent requests in milliseconds; 0 if none. */
  longestRecent(route: string): number {
    return this.#durations.longest(route, this.#now());
  }

  add(request: ServedRequest): void {
    this.#served.add(request);
  }

  remove(request: ServedRequest): void {
    this.#served.delete(request);
  }

  /** Records how long a request took that was served. */
  recordServed(route: string, milliseconds: number): void {
    this.#durations.record(route, milliseconds, this.#now());
  }

  /** Ends the requests that are left, each with an answer; no further one runs. */
  abandonRest(): void {
    this.#deadline = Number.NEGATIVE_INFINITY;
    for (const request of [...this.#served]) request.abandon();
  }

  #now(): number {
    return this.#clock.monotonicMilliseconds();
  }
}

/** Creates the stop of a router that serves. */
export function createPlannedStop(clock: Clock): PlannedStop {
  return new PlannedStop(clock);
}
