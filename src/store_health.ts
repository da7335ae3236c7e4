/**
 * Whether the fleet's store answers about one subject, and how long to wait
 * after a failed call. Losing and regaining it is logged once each.
 */
import type { ApplicationError } from "./core/errors.ts";
import type { RandomSource } from "./core/random.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { TimerService } from "./timer_service.ts";

const FIRST_RETRY_MILLISECONDS = 100;
const MAXIMUM_RETRY_MILLISECONDS = 1_000;

/** What the store is asked about. */
export type StoreSubject = "configuration" | "registry" | "routers";

/** What a contact needs. */
export interface StoreHealthOptions {
  readonly subject: StoreSubject;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly log: DecisionLog;
}

/** The contact to the store about one subject. */
export class StoreHealth {
  readonly #options: StoreHealthOptions;
  #failures = 0;
  #lastSuccessAt: number | undefined;

  constructor(options: StoreHealthOptions) {
    this.#options = options;
  }

  /** Whether the last call failed. */
  get isLost(): boolean {
    return this.#failures > 0;
  }

  /** Time since the last answer, in milliseconds; -1 before the first. */
  ageMilliseconds(): number {
    const now = this.#options.timers.clock.monotonicMilliseconds();
    return this.#lastSuccessAt === undefined ? -1 : now - this.#lastSuccessAt;
  }

  /** Records an answer. */
  recordSuccess(): void {
    const { timers, log, subject } = this.#options;
    this.#lastSuccessAt = timers.clock.monotonicMilliseconds();
    if (this.#failures === 0) return;
    this.#failures = 0;
    log.write("dependency.returned", { dependency: "store", subject });
  }

  /** Records a failed call and resolves when the next one is due. */
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
      MAXIMUM_RETRY_MILLISECONDS,
      FIRST_RETRY_MILLISECONDS * 2 ** this.#failures,
    );
    this.#failures++;
    const delay = maximumDelay * (0.5 + random.next() / 2);
    await timers.sleep(delay, "store retry");
  }
}
