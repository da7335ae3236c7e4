/**
 * Account of the memory that a process holds for its clients: bodies, pipelined
 * requests, responses that wait for their end or for a slow reader, and the connections
 * themselves. The budget is the memory of the process less what it needs without clients. When it is
 * used up, the holding that costs most relative to its progress is given up first, if
 * it is slow; a holding that makes progress is never given up for another.
 */

/** What memory is held for. */
export const MEMORY_KINDS = [
  "body",
  "streamed_body",
  "pipelined_request",
  "response",
  "held_response",
  "connection",
] as const;

/** What memory is held for. */
export type MemoryKind = typeof MEMORY_KINDS[number];

/** A holding without progress for this long may be given up for others. */
export const SLOW_HOLDING_MILLISECONDS = 1_000;
/** Smaller steps do not count as progress, so that single bytes keep nothing alive. */
const MINIMUM_PROGRESS_BYTES = 1_024;

/** Memory of the process without clients, with a large configuration. */
export const PROCESS_BYTES = 100_000_000;
/** Margin for released memory that the garbage collector has not yet freed. */
export const UNCOLLECTED_MARGIN_BYTES = 32_000_000;
/** Smallest budget, in which a single request of the largest legal size is served. */
export const MINIMUM_BUDGET_BYTES = 6_000_000;
/** A buffer that grows takes up to four times its bytes until it is collected. */
const BODY_RATIO = 1 / 4;
/** The rest stays for connections and responses. */
const STREAMED_BODY_RATIO = 1 / 2;
/** Bytes that all bodies may take where the memory of the process is not known. */
export const DEFAULT_BODY_BYTES = 32 * 1024 * 1024;

/** The part of the account that one request or connection holds. */
export interface MemoryHolding {
  /** Bytes that are counted. */
  readonly heldBytes: number;
  /** Whether it was released or given up; nothing can be taken any more. */
  readonly isReleased: boolean;
  /** Takes up to this many bytes in total; false if there is no room. */
  tryGrow(bytes: number, now: number): boolean;
  /** Counts what is already in memory, whether or not there is room. */
  count(bytes: number, now: number): void;
  /** Records that bytes moved, so that the holding does not count as slow. */
  recordProgress(bytes: number, now: number): void;
  /** Keeps the holding from being given up, also when more is counted for it. */
  keep(): void;
  /** Returns all of it; later calls have no effect. */
  release(): void;
}

/** Options of a holding. */
export interface HoldingOptions {
  readonly now: number;
  /** Called if the holding has to yield to others; it is released by then. */
  readonly giveUp: () => void;
}

/** The account of a process. */
export interface MemoryAccount {
  readonly budgetBytes: number;
  /** Bytes that are counted, of all kinds. */
  readonly heldBytes: number;
  heldBy(kind: MemoryKind): number;
  /** Number of holdings that were given up for others, by kind. */
  givenUp(kind: MemoryKind): number;
  open(kind: MemoryKind, options: HoldingOptions): MemoryHolding;
  /** Gives up slow holdings while more is counted than the budget allows. */
  shed(now: number): void;
}

/** Options of an account. */
export interface MemoryAccountOptions {
  readonly budgetBytes: number;
  /** Bounds of single kinds within the budget. */
  readonly maximumBytes?: Partial<Readonly<Record<MemoryKind, number>>>;
}

/** Bounds for a process, from its memory if that is known. */
export function deriveMemoryBounds(
  memoryBytes: number | undefined,
): MemoryAccountOptions {
  if (memoryBytes === undefined) {
    return {
      budgetBytes: Number.POSITIVE_INFINITY,
      maximumBytes: { body: DEFAULT_BODY_BYTES },
    };
  }
  const budgetBytes = Math.max(
    MINIMUM_BUDGET_BYTES,
    memoryBytes - PROCESS_BYTES - UNCOLLECTED_MARGIN_BYTES,
  );
  return {
    budgetBytes,
    maximumBytes: {
      body: budgetBytes * BODY_RATIO,
      streamed_body: budgetBytes * STREAMED_BODY_RATIO,
    },
  };
}

class _Holding implements MemoryHolding {
  readonly kind: MemoryKind;
  readonly giveUp: () => void;
  readonly #account: _Account;
  #progressedAt: number;
  #unrecordedBytes = 0;
  #heldBytes = 0;
  #isReleased = false;
  #isKept = false;

  constructor(account: _Account, kind: MemoryKind, options: HoldingOptions) {
    this.#account = account;
    this.kind = kind;
    this.giveUp = options.giveUp;
    this.#progressedAt = options.now;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  get isReleased(): boolean {
    return this.#isReleased;
  }

  tryGrow(bytes: number, now: number): boolean {
    if (this.#isReleased) return false;
    const additional = bytes - this.#heldBytes;
    if (additional <= 0) return true;
    while (!this.#account.hasRoom(this.kind, additional)) {
      const hasGivenUp = this.#account.giveUpOne(this.kind, additional, now);
      if (!hasGivenUp || this.#isReleased) return false;
    }
    this.count(bytes, now);
    return true;
  }

  count(bytes: number, now: number): void {
    if (this.#isReleased) return;
    const additional = bytes - this.#heldBytes;
    this.#account.add(this.kind, additional);
    this.#heldBytes = bytes;
    if (bytes > 0 && !this.#isKept) this.#account.register(this);
    if (additional > 0) this.recordProgress(additional, now);
  }

  recordProgress(bytes: number, now: number): void {
    this.#unrecordedBytes += bytes;
    if (this.#unrecordedBytes < MINIMUM_PROGRESS_BYTES) return;
    this.#unrecordedBytes = 0;
    this.#progressedAt = now;
  }

  keep(): void {
    this.#isKept = true;
    this.#account.unregister(this);
  }

  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#account.unregister(this);
    this.#account.add(this.kind, -this.#heldBytes);
    this.#heldBytes = 0;
  }

  /** Bytes times the time without progress; 0 while it is not slow. */
  cost(now: number): number {
    const milliseconds = now - this.#progressedAt;
    return milliseconds < SLOW_HOLDING_MILLISECONDS
      ? 0
      : this.#heldBytes * milliseconds;
  }
}

class _Account implements MemoryAccount {
  readonly budgetBytes: number;
  readonly #options: MemoryAccountOptions;
  readonly #held = new Map<MemoryKind, number>();
  readonly #givenUp = new Map<MemoryKind, number>();
  /** Holdings that may be given up, the oldest first. */
  readonly #yielding = new Set<_Holding>();
  #heldBytes = 0;

  constructor(options: MemoryAccountOptions) {
    this.#options = options;
    this.budgetBytes = options.budgetBytes;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  heldBy(kind: MemoryKind): number {
    return this.#held.get(kind) ?? 0;
  }

  givenUp(kind: MemoryKind): number {
    return this.#givenUp.get(kind) ?? 0;
  }

  open(kind: MemoryKind, options: HoldingOptions): MemoryHolding {
    return new _Holding(this, kind, options);
  }

  shed(now: number): void {
    while (this.#heldBytes > this.budgetBytes) {
      if (!this.#giveUpMostCostly(this.#yielding, now)) return;
    }
  }

  add(kind: MemoryKind, bytes: number): void {
    this.#heldBytes += bytes;
    this.#held.set(kind, this.heldBy(kind) + bytes);
  }

  register(holding: _Holding): void {
    this.#yielding.add(holding);
  }

  unregister(holding: _Holding): void {
    this.#yielding.delete(holding);
  }

  hasRoom(kind: MemoryKind, bytes: number): boolean {
    return this.#heldBytes + bytes <= this.budgetBytes &&
      this.#hasRoomInKind(kind, bytes);
  }

  /** Gives up the most costly slow holding that makes room; false if there is none. */
  giveUpOne(kind: MemoryKind, bytes: number, now: number): boolean {
    // Memory of another kind does not help a kind that has reached its own bound.
    const isOwnKindFull = !this.#hasRoomInKind(kind, bytes);
    const candidates = isOwnKindFull
      ? [...this.#yielding].filter((holding) => holding.kind === kind)
      : this.#yielding;
    return this.#giveUpMostCostly(candidates, now);
  }

  #giveUpMostCostly(candidates: Iterable<_Holding>, now: number): boolean {
    let highestCost = 0;
    let chosen: _Holding | undefined;
    for (const holding of candidates) {
      const cost = holding.cost(now);
      if (cost <= highestCost) continue;
      highestCost = cost;
      chosen = holding;
    }
    if (!chosen) return false;
    this.#givenUp.set(chosen.kind, this.givenUp(chosen.kind) + 1);
    chosen.release();
    chosen.giveUp();
    return true;
  }

  #hasRoomInKind(kind: MemoryKind, bytes: number): boolean {
    const maximum = this.#options.maximumBytes?.[kind];
    return maximum === undefined || this.heldBy(kind) + bytes <= maximum;
  }
}

/** Creates the account of a process; times are monotonic, in milliseconds. */
export function createMemoryAccount(
  options: MemoryAccountOptions,
): MemoryAccount {
  return new _Account(options);
}
