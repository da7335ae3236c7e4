/**
 * Tracks whether the fleet's store is available for one subject and applies a
 * backoff after failed calls. Each loss and each recovery is logged once.
 */
import type { ApplicationError } from "./core/errors.ts";
import type { RandomSource } from "./core/random.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { TimerService } from "./timer_service.ts";

const FIRST_RETRY_DELAY_MILLISECONDS = 100;
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 1_000;

/**
 * Delay before the next list if history is lost again so soon: a store that is
 * behind what this router knows would otherwise be called without a pause.
 */
const LOST_HISTORY_DELAY_MILLISECONDS = 500;

/** The part of the store that a task uses. */
export type StoreSubject =
  | "configuration"
  | "registry"
  | "routers"
  | "evacuations";

/** Options of {@link StoreHealth}. */
export interface StoreHealthOptions {
  readonly subject: StoreSubject;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly log: DecisionLog;
}

/** The availability of the store for one subject. */
export class StoreHealth {
  readonly #options: StoreHealthOptions;
  #failures = 0;
  /** Whether the last call had no response on a connection that was open. */
  #isSilent = false;
  #lastSuccessAt: number | undefined;
  #historyLostAt = Number.NEGATIVE_INFINITY;

  constructor(options: StoreHealthOptions) {
    this.#options = options;
  }

  /** Whether the last call failed. */
  get isUnavailable(): boolean {
    return this.#failures > 0;
  }

  /** Whether the last call succeeded; until then a call must not wait. */
  get isProven(): boolean {
    return this.#failures === 0 && !this.#isSilent;
  }

  /** Time since the last successful call, in milliseconds; -1 before the first. */
  ageMilliseconds(): number {
    const now = this.#options.timers.clock.monotonicMilliseconds();
    return this.#lastSuccessAt === undefined ? -1 : now - this.#lastSuccessAt;
  }

  /** Records a successful call. */
  recordSuccess(): void {
    const { timers, log, subject } = this.#options;
    this.#lastSuccessAt = timers.clock.monotonicMilliseconds();
    this.#isSilent = false;
    if (this.#failures === 0) return;
    this.#failures = 0;
    log.write("dependency.returned", { dependency: "store", subject });
  }

  /** Records that changes are no longer kept; resolves when they may be listed. */
  async recordLostHistory(): Promise<void> {
    const { timers } = this.#options;
    const now = timers.clock.monotonicMilliseconds();
    const elapsed = now - this.#historyLostAt;
    this.#historyLostAt = now;
    if (elapsed >= 2 * LOST_HISTORY_DELAY_MILLISECONDS) return;
    await timers.sleep(LOST_HISTORY_DELAY_MILLISECONDS, "store history");
  }

  /**
   * Records that a call had no response in time on an open connection; false if it
   * failed otherwise, or was not the first in a row. The first says that the connection is dead, which is
   * no outage of the store: the call is repeated at once, on another connection.
   */
  recordSilence(error: ApplicationError): boolean {
    if (error.kind !== "platform_silent" || !this.isProven) return false;
    this.#isSilent = true;
    const { log, subject } = this.#options;
    log.write("dependency.silent", {
      dependency: "store",
      subject,
      detail: error.detail,
      age: Math.round(this.ageMilliseconds()),
    });
    return true;
  }

  /** Records a failed call and resolves after the backoff delay. */
  async recordFailure(error: ApplicationError): Promise<void> {
    const { timers, random, log, subject } = this.#options;
    if (this.#failures === 0) {
      log.write("dependency.lost", {
        dependency: "store",
        subject,
        error: error.kind,
        detail: error.detail,
        age: Math.round(this.ageMilliseconds()),
      });
    }
    const maximumDelay = Math.min(
      MAXIMUM_RETRY_DELAY_MILLISECONDS,
      FIRST_RETRY_DELAY_MILLISECONDS * 2 ** this.#failures,
    );
    this.#failures++;
    const delay = maximumDelay * (0.5 + random.next() / 2);
    await timers.sleep(delay, "store retry");
  }
}
