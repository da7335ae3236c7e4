/**
 * A lease on one platform object, with the epoch as fencing number. It decides
 * what to read and write next and when its holder may act; the caller performs
 * the I/O and reports the results.
 */
import { z } from "zod";
import type { ErrorKind } from "./errors.ts";

/** Share of the lease duration during which the holder may act. */
const ACTING_RATIO = 2 / 3;
/** Share of the lease duration after which it is renewed. */
const RENEWAL_RATIO = 1 / 3;
/** Share of the lease duration to wait after a failed call. */
const RETRY_RATIO = 1 / 15;
/** Writes of unknown outcome that are kept so that a later read matches them. */
const MAXIMUM_TRACKED_WRITES = 16;

/** Durations that a lease holder must observe. */
export interface LeaseTerms {
  readonly durationMilliseconds: number;
  /** Longest time between issuing an order and its taking effect. */
  readonly notAfterSpanMilliseconds: number;
}

const _leaseRecordSchema = z.object({
  holder: z.string(),
  /** Increases with every change of holder; the fencing number of orders. */
  epoch: z.number().int().positive(),
  /** Unique per write, so that a read shows whether the write took effect. */
  attempt: z.string(),
  released: z.boolean(),
  /** Highest configuration generation that any holder acted on. */
  generation: z.number().int().nonnegative(),
  durationMilliseconds: z.number().positive(),
  notAfterSpanMilliseconds: z.number().nonnegative(),
});

/** The stored value of a lease object. */
export type LeaseRecord = z.infer<typeof _leaseRecordSchema>;

/** The next platform call that the lease requests. */
export type LeaseAction =
  | { readonly kind: "read" }
  | {
    readonly kind: "write";
    readonly record: LeaseRecord;
    readonly expectedVersion: number;
  };

/** Input for determining the next platform call. */
export interface LeaseInput {
  /** Monotonic clock in milliseconds, read before the call is made. */
  readonly now: number;
  /** Whether this process should hold the lease. */
  readonly wanted: boolean;
  /** Configuration generation in force in this process. */
  readonly generation: number;
  /** A new random token that identifies the write. */
  readonly attempt: string;
}

interface _Attempt {
  readonly epoch: number;
  readonly startedAt: number;
  readonly actFrom: number;
  readonly generation: number;
}

interface _Held extends _Attempt {
  readonly version: number;
}

interface _Observed {
  readonly record: LeaseRecord | undefined;
  readonly version: number;
  readonly firstSeenAt: number;
}

function _parseRecord(value: string): LeaseRecord | undefined {
  try {
    return _leaseRecordSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

/** One process's view of one lease. */
export class Lease {
  readonly #holder: string;
  readonly #terms: LeaseTerms;
  readonly #attempts = new Map<string, _Attempt>();
  #held: _Held | undefined;
  #observed: _Observed | undefined;
  #mustRead = true;
  #lastReadAt = -Infinity;
  #retryNotBefore = -Infinity;
  #highestFencingNumber = 0;

  constructor(holder: string, terms: LeaseTerms) {
    this.#holder = holder;
    this.#terms = terms;
  }

  /** Returns the next platform call, if one is due. Calls must not overlap. */
  nextAction(input: LeaseInput): LeaseAction | undefined {
    if (!input.wanted) return this.#release(input);
    if (input.now < this.#retryNotBefore) return undefined;
    if (this.#mustRead) return { kind: "read" };
    if (this.#held) return this.#renew(input, this.#held);
    return this.#takeOver(input);
  }

  /**
   * Returns the fencing number for an order issued now, or undefined if none may
   * be issued. The lease object must already record the generation that the order
   * is based on, so that no later holder uses an older configuration.
   */
  actingEpoch(now: number, generation: number): number | undefined {
    if (!this.#held || this.#held.generation !== generation) return undefined;
    const { startedAt, actFrom, epoch } = this.#held;
    const until = startedAt + ACTING_RATIO * this.#terms.durationMilliseconds;
    return now >= actFrom && now < until ? epoch : undefined;
  }

  /**
   * Records the last fencing number that an engine accepted. A number above the
   * held epoch shows that the lease object was lost; the next write uses an epoch
   * above that number.
   */
  recordFencingNumber(fencingNumber: number): void {
    this.#highestFencingNumber = Math.max(
      this.#highestFencingNumber,
      fencingNumber,
    );
  }

  /** Processes the result of a read. */
  onRead(
    now: number,
    object: { readonly version: number; readonly value: string } | undefined,
  ): void {
    this.#mustRead = false;
    this.#lastReadAt = now;
    const version = object?.version ?? 0;
    const record = object && _parseRecord(object.value);
    const own = record && record.holder === this.#holder && !record.released
      ? this.#attempts.get(record.attempt)
      : undefined;
    if (own) {
      this.#adopt(own, version);
      return;
    }
    if (this.#held && version === this.#held.version) return;
    this.#held = undefined;
    if (this.#observed?.version === version) return;
    this.#observed = { record, version, firstSeenAt: now };
  }

  /** Processes a successful write. */
  onWritten(attempt: string, version: number): void {
    const started = this.#attempts.get(attempt);
    if (started) this.#adopt(started, version);
  }

  /** Processes a failed call. Any write so far may still have taken effect. */
  onFailed(now: number, kind: ErrorKind): void {
    this.#mustRead = true;
    if (kind === "platform_conflict") this.#held = undefined;
    else {
      this.#retryNotBefore = now +
        RETRY_RATIO * this.#terms.durationMilliseconds;
    }
  }

  /** Returns plain data for the state dump. */
  describe(now: number): unknown {
    return {
      holds: this.#held !== undefined,
      epoch: this.#held?.epoch ?? this.#observed?.record?.epoch ?? 0,
      actFrom: this.#held?.actFrom,
      age: this.#held && now - this.#held.startedAt,
      observedHolder: this.#observed?.record?.holder,
    };
  }

  #adopt(attempt: _Attempt, version: number): void {
    this.#held = { ...attempt, version };
    this.#observed = undefined;
    this.#attempts.clear();
  }

  /** Releases the lease; a lost release only makes the next holder wait longer. */
  #release(input: LeaseInput): LeaseAction | undefined {
    const held = this.#held;
    this.#held = undefined;
    this.#observed = undefined;
    this.#mustRead = true;
    this.#attempts.clear();
    if (!held) return undefined;
    const record = {
      ...this.#record(held.epoch, input, held.generation),
      released: true,
    };
    return { kind: "write", record, expectedVersion: held.version };
  }

  #renew(input: LeaseInput, held: _Held): LeaseAction | undefined {
    const mustRaiseEpoch = this.#highestFencingNumber > held.epoch;
    const renewAt = held.startedAt +
      RENEWAL_RATIO * this.#terms.durationMilliseconds;
    const isDue = mustRaiseEpoch || input.generation > held.generation ||
      input.now >= renewAt;
    if (!isDue) return undefined;
    const epoch = mustRaiseEpoch ? this.#highestFencingNumber + 1 : held.epoch;
    return this.#write(input, epoch, held.actFrom, held.version);
  }

  #takeOver(input: LeaseInput): LeaseAction | undefined {
    const observed = this.#observed;
    if (!observed) return { kind: "read" };
    const { record, version, firstSeenAt } = observed;
    // A missing object may be one that the platform lost, so the full lease of
    // its unknown holder has to expire as well.
    const terms = record ?? this.#terms;
    const endsAt = record?.released
      ? firstSeenAt
      : firstSeenAt + terms.durationMilliseconds;
    if (record && input.now < endsAt) {
      const pollAt = this.#lastReadAt +
        RENEWAL_RATIO * this.#terms.durationMilliseconds;
      return input.now >= pollAt ? { kind: "read" } : undefined;
    }
    const epoch = Math.max(record?.epoch ?? 0, this.#highestFencingNumber) + 1;
    const actFrom = endsAt + terms.notAfterSpanMilliseconds;
    return this.#write(input, epoch, actFrom, version);
  }

  #write(
    input: LeaseInput,
    epoch: number,
    actFrom: number,
    expectedVersion: number,
  ): LeaseAction {
    const generation = Math.max(
      this.#held?.generation ?? 0,
      this.#observed?.record?.generation ?? 0,
      input.generation,
    );
    if (this.#attempts.size >= MAXIMUM_TRACKED_WRITES) this.#attempts.clear();
    this.#attempts.set(input.attempt, {
      epoch,
      startedAt: input.now,
      actFrom,
      generation,
    });
    const record = this.#record(epoch, input, generation);
    return { kind: "write", record, expectedVersion };
  }

  #record(epoch: number, input: LeaseInput, generation: number): LeaseRecord {
    return {
      holder: this.#holder,
      epoch,
      attempt: input.attempt,
      released: false,
      generation,
      ...this.#terms,
    };
  }
}
