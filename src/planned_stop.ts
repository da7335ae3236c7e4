/**
 * The requests of a router that is told to stop. Those that can still be finished
 * are served, those that cannot are rejected at once as not run, and those whose
 * server is slower than expected get an answer before the process ends.
 */
import { createRequestDurations } from "./core/request_durations.ts";
import {
  decideStopAdmission,
  type StopAdmission,
} from "./core/stop_admission.ts";
import type { Clock } from "./timer_service.ts";

/** Time at the end of the grace in which answers are written and tasks stop. */
const STOP_MARGIN_MILLISECONDS = 400;

/** A request that is being served. */
export interface ServedRequest {
  /** Rejects the request if it waits to be sent and cannot be finished any more. */
  reconsider(): void;
  /** Ends the request with an answer that says what is known of it. */
  abandon(): void;
}

/** What decides whether a request can be finished. */
export interface FinishableRequest {
  readonly route: string;
  /** Time until it times out, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Whether its server gets the body while it is still arriving. */
  readonly isStreamed: boolean;
}

/** Dependencies of a planned stop. */
export interface PlannedStopOptions {
  readonly clock: Clock;
  /** Whether a rejected caller can turn to another router. */
  readonly hasOtherRouters: () => boolean;
}

/** Follows the requests of one router and its stop. */
export class PlannedStop {
  readonly #options: PlannedStopOptions;
  readonly #durations = createRequestDurations();
  readonly #served = new Set<ServedRequest>();
  #deadline = Number.POSITIVE_INFINITY;
  #signalledAt = Number.POSITIVE_INFINITY;

  constructor(options: PlannedStopOptions) {
    this.#options = options;
  }

  /** Whether this router is shutting down. */
  get isStopping(): boolean {
    return this.#deadline < Number.POSITIVE_INFINITY;
  }

  /**
   * Begins the stop. The process is killed when the grace time has passed since its
   * signal, which a busy process may have handled late.
   */
  begin(graceMilliseconds: number, latenessMilliseconds = 0): void {
    this.#signalledAt = this.#now() - latenessMilliseconds;
    this.#deadline = this.#signalledAt + graceMilliseconds -
      STOP_MARGIN_MILLISECONDS;
    this.reconsiderAll();
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
   * Whether a request that is sent to a server now ends before this router does, and
   * why. Ask whenever it is about to be sent: the time that is left gets shorter.
   */
  admit(
    { route, timeoutMilliseconds, isStreamed }: FinishableRequest,
  ): StopAdmission {
    if (!this.isStopping) return "not_stopping";
    const { hasOtherRouters } = this.#options;
    return decideStopAdmission({
      sinceSignalMilliseconds: this.sinceSignalMilliseconds(),
      remainingMilliseconds: this.remainingMilliseconds(),
      // Lists all peers, and only an estimate depends on it.
      get hasOtherRouters() {
        return hasOtherRouters();
      },
    }, {
      timeoutMilliseconds,
      longestRecentMilliseconds: this.longestRecent(route),
      isStreamed,
    });
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

  /** Rejects the requests that wait to be sent and cannot be finished any more. */
  reconsiderAll(): void {
    for (const request of [...this.#served]) request.reconsider();
  }

  /** Ends the requests that are left, each with an answer; no further one runs. */
  abandonRest(): void {
    this.#deadline = Number.NEGATIVE_INFINITY;
    for (const request of [...this.#served]) request.abandon();
  }

  #now(): number {
    return this.#options.clock.monotonicMilliseconds();
  }
}

/** Creates the stop of a router that serves. */
export function createPlannedStop(options: PlannedStopOptions): PlannedStop {
  return new PlannedStop(options);
}
