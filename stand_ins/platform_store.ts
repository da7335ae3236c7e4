/**
 * State of the platform stand-in: versioned objects, their history for stale
 * reads and rollbacks, pending watches, and a host list published with a delay.
 */
import type { StoredObject } from "../src/platform_client.ts";
import type { ListedHost } from "../src/platform_client.ts";

/** Faults that a test can enable; all are initially disabled. */
export interface PlatformFaults {
  /** Every call fails with status 503. */
  outage: boolean;
  /** Delay before every call. */
  slowMilliseconds: number;
  /** Number of changes to apply without a reply; the connection is closed. */
  lostReplies: number;
  /** Reads return the state from this many writes ago. */
  staleWrites: number;
  /** Watches never receive a response. */
  silentWatches: boolean;
}

/** Number of calls received, by kind. A pending watch counts once. */
export interface PlatformCallCounters {
  reads: number;
  writes: number;
  removes: number;
  watches: number;
  hosts: number;
}

type _Objects = ReadonlyMap<string, StoredObject>;
type _Watcher = (object: StoredObject | undefined) => void;

const MAXIMUM_HISTORY_STATES = 1_024;

/** Result of a conditional change, with the object's current version. */
export type ChangeOutcome =
  | { readonly kind: "done"; readonly version: number }
  | { readonly kind: "conflict"; readonly version: number };

/** Stores versioned objects that support conditional changes. */
export class PlatformStore {
  readonly faults: PlatformFaults = {
    outage: false,
    slowMilliseconds: 0,
    lostReplies: 0,
    staleWrites: 0,
    silentWatches: false,
  };
  readonly counters: PlatformCallCounters = {
    reads: 0,
    writes: 0,
    removes: 0,
    watches: 0,
    hosts: 0,
  };
  #objects = new Map<string, StoredObject>();
  /** Shallow copies of previous states, oldest first. */
  #history: _Objects[] = [];
  readonly #watchers = new Map<string, Set<_Watcher>>();
  readonly #hosts = new Map<string, ListedHost>();
  #listedHosts: readonly ListedHost[] = [];

  /** Reads an object as a client does; `staleWrites` may make it stale. */
  read(key: string): StoredObject | undefined {
    const { staleWrites } = this.faults;
    if (staleWrites === 0) return this.#objects.get(key);
    const index = Math.max(0, this.#history.length - staleWrites);
    return (this.#history[index] ?? this.#objects).get(key);
  }

  /** Returns the current object regardless of faults. */
  current(key: string): StoredObject | undefined {
    return this.#objects.get(key);
  }

  /** Returns the keys of all objects. */
  keys(): string[] {
    return [...this.#objects.keys()];
  }

  write(key: string, value: string, expectedVersion: number): ChangeOutcome {
    const version = this.#objects.get(key)?.version ?? 0;
    if (version !== expectedVersion) return { kind: "conflict", version };
    const object: StoredObject = { key, version: version + 1, value };
    this.#recordHistory();
    this.#objects.set(key, object);
    for (const watcher of [...this.#watchers.get(key) ?? []]) watcher(object);
    return { kind: "done", version: object.version };
  }

  remove(key: string, expectedVersion: number): ChangeOutcome {
    const version = this.#objects.get(key)?.version ?? 0;
    if (version === 0 || version !== expectedVersion) {
      return { kind: "conflict", version };
    }
    this.#recordHistory();
    this.#objects.delete(key);
    return { kind: "done", version };
  }

  /** Reverts the last changes, like a restore from a backup. */
  rollBack(writes: number): void {
    const index = Math.max(0, this.#history.length - writes);
    const snapshot = this.#history[index];
    if (!snapshot) return;
    this.#objects = new Map(snapshot);
    this.#history = this.#history.slice(0, index);
  }

  /** Resolves with a version above `afterVersion`, or undefined on timeout. */
  watch(
    key: string,
    afterVersion: number,
    waitMilliseconds: number,
  ): Promise<StoredObject | undefined> {
    const object = this.#objects.get(key);
    if (object && object.version > afterVersion) return Promise.resolve(object);
    return new Promise((resolve) => {
      const watchers = this.#watchers.get(key) ?? new Set();
      this.#watchers.set(key, watchers);
      const timer = setTimeout(() => finish(undefined), waitMilliseconds);
      function finish(changed: StoredObject | undefined): void {
        if (changed && changed.version <= afterVersion) return;
        clearTimeout(timer);
        watchers.delete(finish);
        resolve(changed);
      }
      watchers.add(finish);
    });
  }

  /** Ends all pending watches as if they had timed out. */
  endWatches(): void {
    for (const watchers of this.#watchers.values()) {
      for (const watcher of [...watchers]) watcher(undefined);
    }
  }

  /** Sets or removes a host; `publishHosts` makes it visible. */
  setHost(host: string, state: ListedHost["state"] | "gone"): void {
    if (state === "gone") this.#hosts.delete(host);
    else this.#hosts.set(host, { host, state });
  }

  publishHosts(): void {
    this.#listedHosts = [...this.#hosts.values()];
  }

  listHosts(): readonly ListedHost[] {
    return this.#listedHosts;
  }

  #recordHistory(): void {
    this.#history.push(new Map(this.#objects));
    if (this.#history.length > MAXIMUM_HISTORY_STATES) this.#history.shift();
  }
}
