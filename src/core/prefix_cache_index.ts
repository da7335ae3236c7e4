/**
 * What is known of one engine's prefix cache, reduced from its cache events.
 * Events arrive late, out of order and with gaps. A fact is known only while
 * every event up to it has been applied; a gap turns all facts into unknown,
 * never into present or absent.
 */
import type { ChatId, WorkspaceId } from "./ids.ts";

/** Events that wait for an earlier one before the gap is taken as final. */
const MAXIMUM_WAITING_EVENTS = 64;
/** How long an event waits for an earlier one. */
const DEFAULT_WAIT_MILLISECONDS = 2_000;
/** Facts kept per engine; an engine caches far fewer chats than this. */
const DEFAULT_MAXIMUM_FACTS = 4_096;

/** A cached prefix: a chat, or the shared prompt of a workspace. */
export interface CachedPrefix {
  readonly workspace: WorkspaceId;
  /** Undefined: the shared prompt of the workspace. */
  readonly chat?: ChatId | undefined;
}

/** An event as published by an engine. */
export interface CacheEvent extends CachedPrefix {
  /** Increases by one with each event of one run of the engine. */
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  /** The whole prefix that is cached after the event. */
  readonly tokens: number;
}

/** What is known of a prefix in one engine. */
export type CacheState =
  | { readonly kind: "present"; readonly tokens: number }
  | { readonly kind: "absent" }
  | { readonly kind: "unknown" };

/** The bounds of the knowledge of one engine. */
export interface PrefixCacheIndexOptions {
  readonly waitMilliseconds?: number;
  readonly maximumFacts?: number;
}

/** The knowledge of one engine's cache. */
export interface PrefixCacheIndex {
  /**
   * Applies events of one run of the engine. A different run (the engine
   * restarted) makes everything unknown and restarts the sequence.
   */
  apply(run: string, events: readonly CacheEvent[], now: number): void;
  /** Returns the state of a prefix after the last applied event. */
  stateOf(prefix: CachedPrefix, now: number): CacheState;
  /** The last sequence number that was applied; the next batch starts after it. */
  appliedSequence(): number;
  /** Gaps that made all facts unknown. */
  gaps(): number;
}

const UNKNOWN: CacheState = { kind: "unknown" };
const ABSENT: CacheState = { kind: "absent" };

function _factKey(prefix: CachedPrefix): string {
  return prefix.chat === undefined
    ? prefix.workspace
    : `${prefix.workspace}\n${prefix.chat}`;
}

class _PrefixCacheIndex implements PrefixCacheIndex {
  readonly #wait: number;
  readonly #maximum: number;
  /** Tokens by prefix, least recently changed first; 0 tokens means absent. */
  readonly #facts = new Map<string, number>();
  readonly #waiting = new Map<number, CacheEvent>();
  #waitingSince = 0;
  #run: string | undefined;
  #applied = 0;
  #gaps = 0;

  constructor(options: PrefixCacheIndexOptions) {
    this.#wait = options.waitMilliseconds ?? DEFAULT_WAIT_MILLISECONDS;
    this.#maximum = options.maximumFacts ?? DEFAULT_MAXIMUM_FACTS;
  }

  apply(run: string, events: readonly CacheEvent[], now: number): void {
    if (run !== this.#run) this.#restart(run, events);
    for (const event of events) {
      if (event.sequence <= this.#applied) continue;
      if (this.#waiting.size === 0) this.#waitingSince = now;
      this.#waiting.set(event.sequence, event);
      if (event.sequence === this.#applied + 1) this.#drain(now);
    }
    this.#expire(now);
  }

  stateOf(prefix: CachedPrefix, now: number): CacheState {
    this.#expire(now);
    const tokens = this.#facts.get(_factKey(prefix));
    if (tokens === undefined) return UNKNOWN;
    return tokens > 0 ? { kind: "present", tokens } : ABSENT;
  }

  appliedSequence(): number {
    return this.#applied;
  }

  gaps(): number {
    return this.#gaps;
  }

  /** The cache before the first event seen is unknown, not empty. */
  #restart(run: string, events: readonly CacheEvent[]): void {
    this.#run = run;
    this.#facts.clear();
    this.#waiting.clear();
    const first = Math.min(...events.map((event) => event.sequence));
    this.#applied = Number.isFinite(first) ? first - 1 : 0;
  }

  /** Applies the events that follow without a gap. */
  #drain(now: number): void {
    for (;;) {
      const event = this.#waiting.get(this.#applied + 1);
      if (!event) return;
      this.#waiting.delete(event.sequence);
      this.#waitingSince = now;
      this.#applied = event.sequence;
      this.#record(event);
    }
  }

  /** Gives up on missing events once others waited long or are too many. */
  #expire(now: number): void {
    while (
      this.#waiting.size > MAXIMUM_WAITING_EVENTS ||
      (this.#waiting.size > 0 && now - this.#waitingSince >= this.#wait)
    ) {
      this.#gaps++;
      this.#facts.clear();
      this.#applied = Math.min(...this.#waiting.keys()) - 1;
      this.#drain(now);
    }
  }

  #record(event: CacheEvent): void {
    const key = _factKey(event);
    this.#facts.delete(key);
    this.#facts.set(key, event.kind === "stored" ? event.tokens : 0);
    if (this.#facts.size <= this.#maximum) return;
    for (const oldest of this.#facts.keys()) {
      this.#facts.delete(oldest);
      return;
    }
  }
}

/** Creates the knowledge of one engine, with every prefix unknown. */
export function createPrefixCacheIndex(
  options: PrefixCacheIndexOptions = {},
): PrefixCacheIndex {
  return new _PrefixCacheIndex(options);
}
