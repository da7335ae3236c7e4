/**
 * State machine for a router's configuration: decides which head to fetch, when
 * to fetch its chunks and when to adopt it. A configuration is adopted as a whole,
 * and a generation below the one in force is never adopted.
 */
import type {
  ConfigurationAction,
  ConfigurationAlarm,
  ConfigurationContext,
  ConfigurationEvent,
  ConfigurationSource,
  ConfigurationState,
} from "./configuration_events.ts";
import { type ConfigurationHead, sha256 } from "./configuration_head.ts";
import {
  backoffBefore,
  hasFailedEverywhere,
  isSameSource,
  nextSource,
  PLATFORM,
} from "./configuration_sources.ts";
import type { SocketAddress } from "./ids.ts";

/** Chunks per request; keeps the reply below the frame size limit. */
export const MAXIMUM_CHUNKS_PER_FETCH = 32;
/** A fetch without a reply fails after this time. */
export const FETCH_TIMEOUT_MILLISECONDS = 3_000;
/** A router with no contact to peers or the platform for this long is stale. */
export const STALE_AFTER_MILLISECONDS = 15_000;
/** Delay before a stale read is repeated to confirm a store rollback. */
export const REREAD_DELAY_MILLISECONDS = 1_000;
const MAXIMUM_CLAIMS = 64;
const MAXIMUM_SOURCES = 8;

/** Creates the initial state of a router. */
export function createConfigurationState(
  nowMilliseconds: number,
): ConfigurationState {
  return {
    inForce: undefined,
    pending: undefined,
    headFetch: undefined,
    claims: new Map(),
    chunks: new Map(),
    highestGeneration: 0,
    firstStaleReadAt: undefined,
    rereadAt: undefined,
    unreadableDigest: undefined,
    alarms: new Set(),
    lastContact: nowMilliseconds,
  };
}

/** Returns the generation in force, or 0 if there is none. */
export function generationOf(state: ConfigurationState): number {
  return state.inForce?.generation ?? 0;
}

/**
 * Whether the configuration in force is at least as new as any that peers have
 * announced. A newer configuration that no source can provide now is ignored.
 */
export function isReady(state: ConfigurationState): boolean {
  const { claims, inForce, pending } = state;
  if (!inForce || (pending && !hasFailedEverywhere(pending))) return false;
  return inForce.generation >= Math.max(0, ...claims.values());
}

/** Returns the next state and the actions that an event causes. */
export function decideConfiguration(
  state: ConfigurationState,
  event: ConfigurationEvent,
  context: ConfigurationContext,
): {
  readonly state: ConfigurationState;
  readonly actions: readonly ConfigurationAction[];
} {
  const transition = new _Transition(state, context);
  transition.handle(event);
  return { state: transition.state, actions: transition.actions };
}

class _Transition {
  state: ConfigurationState;
  readonly actions: ConfigurationAction[] = [];
  readonly #context: ConfigurationContext;

  constructor(state: ConfigurationState, context: ConfigurationContext) {
    this.state = state;
    this.#context = context;
  }

  handle(event: ConfigurationEvent): void {
    switch (event.kind) {
      case "head_read":
        this.#recordContact();
        return this.#onHeadRead(event.head);
      case "head_fetched":
        this.#recordContact();
        return this.#onHeadFetched(event.from, event.head);
      case "announced":
        this.#recordContact();
        return this.#onAnnounced(event.from, event.generation);
      case "chunks_arrived":
        this.#recordContact();
        return this.#onChunks(event.source, event.texts);
      case "fetch_failed":
        return this.#onFetchFailed(event.source, event.what);
      case "tick":
        return this.#onTick();
    }
  }

  get #now(): number {
    return this.#context.nowMilliseconds;
  }

  #set(change: Partial<ConfigurationState>): void {
    this.state = { ...this.state, ...change };
  }

  #recordContact(): void {
    this.#set({ lastContact: this.#now });
    this.#clear("configuration_stale");
  }

  #raise(alarm: ConfigurationAlarm, detail: string): void {
    if (this.state.alarms.has(alarm)) return;
    this.#set({ alarms: new Set([...this.state.alarms, alarm]) });
    this.actions.push({ kind: "raise_alarm", alarm, detail });
  }

  #clear(alarm: ConfigurationAlarm): void {
    if (!this.state.alarms.has(alarm)) return;
    const alarms = new Set(this.state.alarms);
    alarms.delete(alarm);
    this.#set({ alarms });
    this.actions.push({ kind: "clear_alarm", alarm });
  }

  /** Whether a read is older than the newest known head, or differs from it. */
  #isStale(head: ConfigurationHead | undefined): boolean {
    const { highestGeneration, inForce, pending } = this.state;
    const generation = head?.generation ?? 0;
    if (generation !== highestGeneration) return generation < highestGeneration;
    const known = [inForce, pending?.head].find((candidate) =>
      candidate?.generation === generation
    );
    return known !== undefined && known.digest !== head?.digest;
  }

  #onHeadRead(head: ConfigurationHead | undefined): void {
    if (this.#isStale(head)) return this.#onStaleRead(head?.generation ?? 0);
    this.#set({ firstStaleReadAt: undefined, rereadAt: undefined });
    this.#clear("configuration_read_was_stale");
    this.#clear("configuration_store_went_back");
    if (head) this.#considerHead(head, PLATFORM);
  }

  #onStaleRead(generation: number): void {
    const { firstStaleReadAt, highestGeneration } = this.state;
    const detail =
      `the store returned an older or different head: generation ${generation}, highest known generation ${highestGeneration}`;
    if (firstStaleReadAt === undefined) {
      this.#set({
        firstStaleReadAt: this.#now,
        rereadAt: this.#now + REREAD_DELAY_MILLISECONDS,
      });
      return this.#raise("configuration_read_was_stale", detail);
    }
    if (this.#now - firstStaleReadAt < REREAD_DELAY_MILLISECONDS) return;
    this.#raise("configuration_store_went_back", detail);
    this.actions.push({ kind: "record_floor", generation: highestGeneration });
  }

  /**
   * Heads are fetched only above this generation. While no source provides the
   * chunks of the pending head, an older head that a peer has is preferred.
   */
  #fetchThreshold(): number {
    const { pending } = this.state;
    return pending && !hasFailedEverywhere(pending)
      ? pending.head.generation
      : generationOf(this.state);
  }

  #onAnnounced(from: SocketAddress, generation: number): void {
    const { pending } = this.state;
    if (generation <= generationOf(this.state)) return;
    if (pending && generation === pending.head.generation) {
      return this.#addSource({ kind: "peer", address: from });
    }
    if (generation < this.#fetchThreshold()) return;
    if (
      this.state.claims.size >= MAXIMUM_CLAIMS && !this.state.claims.has(from)
    ) return;
    this.#set({ claims: new Map(this.state.claims).set(from, generation) });
    this.#fetchNextHead();
  }

  #fetchNextHead(): void {
    if (this.state.headFetch) return;
    let best: SocketAddress | undefined;
    let bestGeneration = this.#fetchThreshold();
    for (const [address, generation] of this.state.claims) {
      if (generation > bestGeneration) {
        [best, bestGeneration] = [address, generation];
      }
    }
    if (best === undefined) return;
    this.#set({
      headFetch: {
        from: best,
        deadline: this.#now + FETCH_TIMEOUT_MILLISECONDS,
      },
    });
    this.actions.push({
      kind: "fetch_head",
      source: { kind: "peer", address: best },
    });
  }

  #dropClaim(address: SocketAddress): void {
    const claims = new Map(this.state.claims);
    claims.delete(address);
    const headFetch = this.state.headFetch?.from === address
      ? undefined
      : this.state.headFetch;
    this.#set({ claims, headFetch });
  }

  #onHeadFetched(from: SocketAddress, head: ConfigurationHead): void {
    this.#dropClaim(from);
    this.#considerHead(head, { kind: "peer", address: from });
    this.#fetchNextHead();
  }

  #considerHead(head: ConfigurationHead, source: ConfigurationSource): void {
    const { pending, unreadableDigest } = this.state;
    if (head.generation <= generationOf(this.state)) return;
    if (head.digest === unreadableDigest) return;
    if (pending && head.digest === pending.head.digest) {
      return this.#addSource(source);
    }
    if (head.generation <= this.#fetchThreshold()) return;
    this.#set({
      pending: {
        head,
        sources: [source],
        attempt: 0,
        fetch: undefined,
        retryAt: 0,
      },
      highestGeneration: Math.max(
        this.state.highestGeneration,
        head.generation,
      ),
    });
    this.#fetchChunks();
  }

  #addSource(source: ConfigurationSource): void {
    const { pending } = this.state;
    if (!pending || pending.sources.length >= MAXIMUM_SOURCES) return;
    if (pending.sources.some((known) => isSameSource(known, source))) return;
    this.#set({
      pending: { ...pending, sources: [...pending.sources, source] },
    });
  }

  #missing(head: ConfigurationHead): string[] {
    return [...new Set(head.chunks)].filter((digest) =>
      !this.state.chunks.has(digest)
    );
  }

  #fetchChunks(): void {
    const { pending } = this.state;
    if (!pending || pending.fetch) return;
    const digests = this.#missing(pending.head).slice(
      0,
      MAXIMUM_CHUNKS_PER_FETCH,
    );
    if (digests.length === 0) return this.#adopt(pending.head);
    const source = nextSource(pending);
    const deadline = this.#now + FETCH_TIMEOUT_MILLISECONDS;
    this.#set({ pending: { ...pending, fetch: { source, deadline } } });
    this.actions.push({ kind: "fetch_chunks", source, digests });
  }

  #onChunks(source: ConfigurationSource, texts: readonly string[]): void {
    const { pending } = this.state;
    if (!pending) return;
    const missing = new Set(this.#missing(pending.head));
    const chunks = new Map(this.state.chunks);
    for (const text of texts) {
      const digest = sha256(text);
      if (missing.has(digest)) chunks.set(digest, text);
    }
    if (chunks.size === this.state.chunks.size) {
      return this.#onFetchFailed(source, "chunks");
    }
    const fetch = pending.fetch && isSameSource(pending.fetch.source, source)
      ? undefined
      : pending.fetch;
    this.#set({ chunks, pending: { ...pending, fetch } });
    if (this.#missing(pending.head).length === 0) this.#adopt(pending.head);
    else this.#fetchChunks();
  }

  #adopt(head: ConfigurationHead): void {
    const fleet = this.#context.readFleet(head.chunks, this.state.chunks);
    if (fleet.isErr()) {
      this.#set({ pending: undefined, unreadableDigest: head.digest });
      const { path, detail } = fleet.error;
      const where = [`generation ${head.generation}`, ...path].join(", ");
      return this.#raise("configuration_unreadable", `${where}: ${detail}`);
    }
    const kept = new Set([...head.chunks, ...this.state.inForce?.chunks ?? []]);
    this.#set({
      inForce: head,
      pending: undefined,
      chunks: new Map(
        [...this.state.chunks].filter(([digest]) => kept.has(digest)),
      ),
      claims: new Map(
        [...this.state.claims].filter(([, generation]) =>
          generation > head.generation
        ),
      ),
    });
    this.#clear("configuration_unreadable");
    this.actions.push({ kind: "adopt", head, fleet: fleet.value }, {
      kind: "announce",
      head,
    });
  }

  #onFetchFailed(source: ConfigurationSource, what: "head" | "chunks"): void {
    if (what === "head") {
      if (source.kind === "peer") this.#dropClaim(source.address);
      return this.#fetchNextHead();
    }
    const { pending } = this.state;
    if (!pending?.fetch || !isSameSource(pending.fetch.source, source)) return;
    const attempt = pending.attempt + 1;
    const backoff = backoffBefore(attempt, pending, this.#context.random);
    this.#set({
      pending: {
        ...pending,
        attempt,
        fetch: undefined,
        retryAt: this.#now + backoff,
      },
    });
    if (backoff === 0) this.#fetchChunks();
  }

  #onTick(): void {
    const { headFetch, lastContact, pending, rereadAt } = this.state;
    if (this.#now - lastContact > STALE_AFTER_MILLISECONDS) {
      this.#raise("configuration_stale", "no response from platform or peer");
    }
    if (rereadAt !== undefined && this.#now >= rereadAt) {
      this.#set({ rereadAt: undefined });
      this.actions.push({ kind: "fetch_head", source: PLATFORM });
    }
    if (headFetch && this.#now >= headFetch.deadline) {
      this.#onFetchFailed({ kind: "peer", address: headFetch.from }, "head");
    }
    if (pending?.fetch && this.#now >= pending.fetch.deadline) {
      this.#onFetchFailed(pending.fetch.source, "chunks");
    } else if (pending && !pending.fetch && this.#now >= pending.retryAt) {
      this.#fetchChunks();
    }
  }
}
