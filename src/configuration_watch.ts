/**
 * Watches the head of the configuration in the platform, if this router is a
 * watcher.
 */
import { parseHeadObject, type ReadHead } from "./configuration_exchange.ts";
import { HEAD_KEY } from "./core/configuration_head.ts";
import { isWatcher } from "./core/configuration_tree.ts";
import type { RandomSource } from "./core/random.ts";
import type { MembershipView } from "./membership_view.ts";
import type { PlatformClient } from "./platform_client.ts";
import type { TimerService } from "./timer_service.ts";

const WATCH_TIMEOUT_MILLISECONDS = 30_000;
const INITIAL_RETRY_MILLISECONDS = 250;
const MAXIMUM_RETRY_MILLISECONDS = 5_000;

/** Options of the watch. */
export interface ConfigurationWatchOptions {
  readonly platform: PlatformClient;
  readonly membership: MembershipView;
  readonly timers: TimerService;
  readonly random: RandomSource;
  /** The highest generation seen. */
  readonly highestGeneration: () => number;
  /** Called with a head and the highest generation seen when its read began. */
  readonly onHeadRead: (read: ReadHead, seenAtStart: number) => void;
}

/** Returns the delay after a number of failures; `random` is in [0, 1). */
export function retryDelay(failures: number, random: number): number {
  const longest = Math.min(
    MAXIMUM_RETRY_MILLISECONDS,
    INITIAL_RETRY_MILLISECONDS * 2 ** Math.min(failures, 10),
  );
  return longest * (0.5 + random / 2);
}

/** Runs the watch while this router is a watcher. */
export class ConfigurationWatch {
  readonly #options: ConfigurationWatchOptions;
  #isWatching = false;
  #isStopped = false;
  #headVersion = 0;
  /** Incremented when watching starts or stops; ends older watch loops. */
  #watchId = 0;

  constructor(options: ConfigurationWatchOptions) {
    this.#options = options;
  }

  /** Whether this router is a watcher. */
  get isWatching(): boolean {
    return this.#isWatching;
  }

  /** Starts or stops watching when the members have changed. */
  update(): void {
    const { membership } = this.#options;
    const watching = isWatcher(membership.self(), membership.liveMembers());
    if (watching === this.#isWatching || this.#isStopped) return;
    this.#isWatching = watching;
    const watchId = ++this.#watchId;
    if (watching) void this.#run(watchId);
  }

  stop(): void {
    this.#isStopped = true;
    this.#watchId++;
  }

  /** Records the version of a head that was read. */
  recordVersion(version: number): void {
    const isRolledBack = version < this.#headVersion;
    this.#headVersion = version;
    // A pending watch would miss versions that a rolled back store reuses.
    if (isRolledBack && this.#isWatching) void this.#run(++this.#watchId);
  }

  async #run(watchId: number): Promise<void> {
    const { platform, random, timers } = this.#options;
    let failures = 0;
    while (watchId === this.#watchId) {
      const seen = this.#options.highestGeneration();
      const watched = await platform.watch(
        HEAD_KEY,
        this.#headVersion,
        WATCH_TIMEOUT_MILLISECONDS,
      );
      if (watchId !== this.#watchId) return;
      const parsed = watched.andThen(parseHeadObject);
      if (parsed.isOk()) {
        failures = 0;
        if (parsed.value.head) this.#options.onHeadRead(parsed.value, seen);
        continue;
      }
      await timers.sleep(
        retryDelay(failures++, random.next()),
        "configuration watch",
      );
    }
  }
}
