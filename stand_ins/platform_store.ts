/**
 * The state of the platform stand-in: objects with versions, their history for
 * stale reads and rollbacks, pending watches, and a host list that lags.
 */
import type { StoredObject } from "../src/platform_client.ts";
import type { ListedHost } from "../src/platform_client.ts";

/** Faults that a test can switch on; all are off at first. */
export interface PlatformFaults {
  /** Every call fails with status 503. */
  outage: boolean;
  /** Every call waits this long first. */
  slowMilliseconds: number;
  /** The next writes take effect, then the connection breaks without a reply. */
  lostReplies: number;
  /** Reads answer with the state of this many writes ago. */
  staleWrites: number;
  /** Watches never answer. */
  silentWatches: boolean;
}

/** Calls received, by kind. A pending watch counts once. */
export interface PlatformCallCounters {
  reads: number;
  writes: number;
  removes: number;
  watches: number;
  hosts: number;
}

type _Objects = ReadonlyMap<string, StoredObject>;
type _Watcher = (object: StoredObject | undefined) => void;

const MAXIMUM_HISTORY = 1_024;

/** What a conditional change did. */
export type ChangeOutcome =
  | { readonly kind: "done"; readonly version: number }
  | { readonly kind: "conflict"; readonly version: number };

/** Objects with versions and conditional changes. */
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
  /** Former states, oldest first; each is a shallow copy. */
  #history: _Objects[] = [];
  readonly #watchers = new Map<string, Set<_Watcher>>();
  readonly #hosts = new Map<string, ListedHost>();
  #listedHosts: readonly ListedHost[] = [];

  /** Reads as a caller would: possibly stale. */
  read(key: string): StoredObject | undefined {
    const { staleWrites } = this.faults;
    if (staleWrites === 0) return this.#objects.get(key);
    const index = Math.max(0, this.#history.length - staleWrites);
    return (this.#history[index] ?? this.#objects).get(key);
  }

  /** The current object, whatever the faults. */
  current(key: string): StoredObject | undefined {
    return this.#objects.get(key);
  }

  /** The keys that exist. */
  keys(): string[] {
    return [...this.#objects.keys()];
  }

  write(key: string, value: string, expectedVersion: number): ChangeOutcome {
    const version = this.#objects.get(key)?.version ?? 0;
    if (version !== expectedVersion) return { kind: "conflict", version };
    const object: StoredObject = { key, version: version + 1, value };
    this.#remember();
    this.#objects.set(key, object);
    for (const watcher of [...this.#watchers.get(key) ?? []]) watcher(object);
    return { kind: "done", version: object.version };
  }

  remove(key: string, expectedVersion: number): ChangeOutcome {
    const version = this.#objects.get(key)?.version ?? 0;
    if (version === 0 || version !== expectedVersion) {
      return { kind: "conflict", version };
    }
    this.#remember();
    this.#objects.delete(key);
    return { kind: "done", version };
  }

  /** Takes the last changes back, as a store restored from a backup does. */
  rollBack(writes: number): void {
    const index = Math.max(0, this.#history.length - writes);
    const former = this.#history[index];
    if (!former) return;
    this.#objects = new Map(former);
    this.#history = this.#history.slice(0, index);
  }

  /** Resolves with a version above `afterVersion`, or undefined after the wait. */
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
      const timer = setTimeout(() => settle(undefined), waitMilliseconds);
      function settle(changed: StoredObject | undefined): void {
        if (changed && changed.version <= afterVersion) return;
        clearTimeout(timer);
        watchers.delete(settle);
        resolve(changed);
      }
      watchers.add(settle);
    });
  }

  /** Ends all pending watches without a change. */
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

  #remember(): void {
    this.#history.push(new Map(this.#objects));
    if (this.#history.length > MAXIMUM_HISTORY) this.#history.shift();
  }
}
