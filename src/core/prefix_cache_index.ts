/**
 * An index of one engine's prefix cache, built from the engine's cache events.
 * Events may arrive late, out of order and with gaps. The state of a prefix is
 * known only while the events are applied without a gap. A gap makes all
 * prefixes unknown, never present or absent.
 */
import type { ChatId, WorkspaceId } from "./ids.ts";

/** Out-of-order events to buffer before a missing event counts as lost. */
const MAXIMUM_BUFFERED_EVENTS = 64;
/** Time to wait for a missing event before it counts as lost. */
const DEFAULT_GAP_TIMEOUT_MILLISECONDS = 2_000;
/** Prefixes stored per engine. An engine caches far fewer chats than this. */
const DEFAULT_MAXIMUM_PREFIXES = 4_096;

/** A cached prefix: a chat, or the shared prompt of a workspace. */
export interface CachedPrefix {
  readonly workspace: WorkspaceId;
  /** Undefined for the shared prompt of the workspace. */
  readonly chat?: ChatId | undefined;
}

/** A cache event as published by an engine. */
export interface CacheEvent extends CachedPrefix {
  /** Increases by one with each event of an engine incarnation. */
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  /** Length of the prefix that is cached after the event. */
  readonly tokens: number;
}

/** The state of a prefix in the cache of one engine. */
export type CacheState =
  | { readonly kind: "present"; readonly tokens: number }
  | { readonly kind: "absent" }
  | { readonly kind: "unknown" };

/** Options of a prefix cache index. */
export interface PrefixCacheIndexOptions {
  readonly gapTimeoutMilliseconds?: number;
  readonly maximumPrefixes?: number;
}

/** An index of the prefix cache of one engine. */
export interface PrefixCacheIndex {
  /**
   * Applies events of one incarnation of the engine. Another incarnation means
   * that it restarted: all prefixes become unknown and the sequence starts
   * again.
   */
  apply(incarnation: string, events: readonly CacheEvent[], now: number): void;
  /** Returns the state of a prefix after the last applied event. */
  stateOf(prefix: CachedPrefix, now: number): CacheState;
  /** Returns the sequence number of the last applied event. */
  appliedSequence(): number;
  /** Returns the number of gaps; each made all prefixes unknown. */
  gaps(): number;
}

const UNKNOWN: CacheState = { kind: "unknown" };
const ABSENT: CacheState = { kind: "absent" };

function _keyOf(prefix: CachedPrefix): string {
  return prefix.chat === undefined
    ? prefix.workspace
    : `${prefix.workspace}\n${prefix.chat}`;
}

class _PrefixCacheIndex implements PrefixCacheIndex {
  readonly #gapTimeout: number;
  readonly #maximumPrefixes: number;
  /** Least recently changed first. A value of 0 tokens means absent. */
  readonly #tokensByPrefix = new Map<string, number>();
  readonly #buffered = new Map<number, CacheEvent>();
  #waitingSince = 0;
  #incarnation: string | undefined;
  #appliedSequence = 0;
  #gaps = 0;

  constructor(options: PrefixCacheIndexOptions) {
    this.#gapTimeout = options.gapTimeoutMilliseconds ??
      DEFAULT_GAP_TIMEOUT_MILLISECONDS;
    this.#maximumPrefixes = options.maximumPrefixes ?? DEFAULT_MAXIMUM_PREFIXES;
  }

  apply(incarnation: string, events: readonly CacheEvent[], now: number): void {
    if (incarnation !== this.#incarnation) this.#reset(incarnation, events);
    for (const event of events) {
      if (event.sequence <= this.#appliedSequence) continue;
      if (this.#buffered.size === 0) this.#waitingSince = now;
      this.#buffered.set(event.sequence, event);
      if (event.sequence === this.#appliedSequence + 1) this.#drain(now);
    }
    this.#skipGaps(now);
  }

  stateOf(prefix: CachedPrefix, now: number): CacheState {
    this.#skipGaps(now);
    const tokens = this.#tokensByPrefix.get(_keyOf(prefix));
    if (tokens === undefined) return UNKNOWN;
    return tokens > 0 ? { kind: "present", tokens } : ABSENT;
  }

  appliedSequence(): number {
    return this.#appliedSequence;
  }

  gaps(): number {
    return this.#gaps;
  }

  /** Starts an incarnation; the cache before its first event is unknown. */
  #reset(incarnation: string, events: readonly CacheEvent[]): void {
    this.#incarnation = incarnation;
    this.#tokensByPrefix.clear();
    this.#buffered.clear();
    const first = Math.min(...events.map((event) => event.sequence));
    this.#appliedSequence = Number.isFinite(first) ? first - 1 : 0;
  }

  /** Applies buffered events up to the next gap. */
  #drain(now: number): void {
    for (;;) {
      const event = this.#buffered.get(this.#appliedSequence + 1);
      if (!event) return;
      this.#buffered.delete(event.sequence);
      this.#waitingSince = now;
      this.#appliedSequence = event.sequence;
      this.#store(event);
    }
  }

  /** Skips missing events once the buffered ones are too old or too many. */
  #skipGaps(now: number): void {
    while (
      this.#buffered.size > MAXIMUM_BUFFERED_EVENTS ||
      (this.#buffered.size > 0 && now - this.#waitingSince >= this.#gapTimeout)
    ) {
      this.#gaps++;
      this.#tokensByPrefix.clear();
      this.#appliedSequence = Math.min(...this.#buffered.keys()) - 1;
      this.#drain(now);
    }
  }

  #store(event: CacheEvent): void {
    const key = _keyOf(event);
    this.#tokensByPrefix.delete(key);
    this.#tokensByPrefix.set(key, event.kind === "stored" ? event.tokens : 0);
    if (this.#tokensByPrefix.size <= this.#maximumPrefixes) return;
    for (const oldest of this.#tokensByPrefix.keys()) {
      this.#tokensByPrefix.delete(oldest);
      return;
    }
  }
}

/** Creates an index of one engine in which every prefix is unknown. */
export function createPrefixCacheIndex(
  options: PrefixCacheIndexOptions = {},
): PrefixCacheIndex {
  return new _PrefixCacheIndex(options);
}
