/**
 * A lease over one platform object, with an epoch as fencing number. It decides
 * what to read and write next and when its holder may act; the caller does the
 * I/O and reports the results.
 */
import { z } from "zod";
import type { ErrorKind } from "./errors.ts";

/** Part of the lease during which the holder may act. */
const ACTING_RATIO = 2 / 3;
/** Part of the lease after which it is renewed. */
const RENEWAL_RATIO = 1 / 3;
/** Part of the lease to wait after a failed call. */
const RETRY_RATIO = 1 / 15;
/** Writes with an unknown outcome that are remembered for a read-back. */
const MAXIMUM_ATTEMPTS = 16;

/** The times that a holder promises to keep. */
export interface LeaseTerms {
  readonly durationMilliseconds: number;
  /** An order takes effect at most this long after it was given. */
  readonly notAfterSpanMilliseconds: number;
}

const _leaseRecordSchema = z.object({
  holder: z.string(),
  /** Rises with every change of holder; the fencing number of orders. */
  epoch: z.number().int().positive(),
  /** Identifies the write, so that a lost reply can be resolved by reading. */
  attempt: z.string(),
  released: z.boolean(),
  /** Highest configuration generation that a holder acted on. */
  generation: z.number().int().nonnegative(),
  durationMilliseconds: z.number().positive(),
  notAfterSpanMilliseconds: z.number().nonnegative(),
});

/** The value of a lease object. */
export type LeaseRecord = z.infer<typeof _leaseRecordSchema>;

/** The platform call that the lease needs next. */
export type LeaseAction =
  | { readonly kind: "read" }
  | {
    readonly kind: "write";
    readonly record: LeaseRecord;
    readonly expectedVersion: number;
  };

/** What the lease is decided on. */
export interface LeaseInput {
  /** Milliseconds of the monotonic clock, taken before the call is made. */
  readonly now: number;
  /** Whether this process should hold the lease. */
  readonly wanted: boolean;
  /** Generation of the configuration in force here. */
  readonly generation: number;
  /** A new random token. */
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

/** One process's part in one lease. */
export class Lease {
  readonly #holder: string;
  readonly #terms: LeaseTerms;
  readonly #attempts = new Map<string, _Attempt>();
  #held: _Held | undefined;
  #observed: _Observed | undefined;
  #mustRead = true;
  #lastReadAt = -Infinity;
  #retryAt = -Infinity;
  #highestFencingNumber = 0;

  constructor(holder: string, terms: LeaseTerms) {
    this.#holder = holder;
    this.#terms = terms;
  }

  /** Returns the next call, if one is due. Calls must not overlap. */
  next(input: LeaseInput): LeaseAction | undefined {
    if (!input.wanted) return this.#release(input);
    if (input.now < this.#retryAt) return undefined;
    if (this.#mustRead) return { kind: "read" };
    if (this.#held) return this.#renew(input, this.#held);
    return this.#takeOver(input);
  }

  /**
   * Returns the fencing number for an order given now, or undefined if no order
   * may be given. The lease object must name the generation that the order
   * follows, so that no later holder returns to an older configuration.
   */
  actingEpoch(now: number, generation: number): number | undefined {
    if (!this.#held || this.#held.generation !== generation) return undefined;
    const { startedAt, actFrom, epoch } = this.#held;
    const until = startedAt + ACTING_RATIO * this.#terms.durationMilliseconds;
    return now >= actFrom && now < until ? epoch : undefined;
  }

  /**
   * Takes note of the number an engine obeyed last. One above the own epoch
   * shows that the lease object was lost; the next write then goes above it.
   */
  noteFencingNumber(fencingNumber: number): void {
    this.#highestFencingNumber = Math.max(
      this.#highestFencingNumber,
      fencingNumber,
    );
  }

  /** Takes the result of a read. */
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

  /** Takes the success of a write. */
  onWritten(attempt: string, version: number): void {
    const started = this.#attempts.get(attempt);
    if (started) this.#adopt(started, version);
  }

  /** Takes the failure of a call. Any write may still have taken effect. */
  onFailed(now: number, kind: ErrorKind): void {
    this.#mustRead = true;
    if (kind === "platform_conflict") this.#held = undefined;
    else {
      this.#retryAt = now + RETRY_RATIO * this.#terms.durationMilliseconds;
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

  /** Gives the lease up; a lost release only makes the next holder wait longer. */
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
    const raise = this.#highestFencingNumber > held.epoch;
    const renewAt = held.startedAt +
      RENEWAL_RATIO * this.#terms.durationMilliseconds;
    const due = raise || input.generation > held.generation ||
      input.now >= renewAt;
    if (!due) return undefined;
    const epoch = raise ? this.#highestFencingNumber + 1 : held.epoch;
    return this.#write(input, epoch, held.actFrom, held.version);
  }

  #takeOver(input: LeaseInput): LeaseAction | undefined {
    const observed = this.#observed;
    if (!observed) return { kind: "read" };
    const { record, version, firstSeenAt } = observed;
    // A missing object may be one that the platform lost, so its unknown holder
    // is waited out as well.
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
    if (this.#attempts.size >= MAXIMUM_ATTEMPTS) this.#attempts.clear();
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
