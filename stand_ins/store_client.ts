/** A platform client for an in-process store, subject to the store's faults. */
import { err, ok, type Result } from "neverthrow";
import { type ApplicationError, createError } from "../src/core/errors.ts";
import {
  type ListedHost,
  PlatformClient,
  type PlatformCounters,
  type StoredObject,
} from "../src/platform_client.ts";
import type { ChangeOutcome, PlatformStore } from "./platform_store.ts";

class _StoreClient extends PlatformClient {
  readonly #store: PlatformStore;
  readonly #counters: PlatformCounters = {
    reads: 0,
    writes: 0,
    watches: 0,
    failures: 0,
  };

  constructor(store: PlatformStore) {
    super();
    this.#store = store;
  }

  override async read(
    key: string,
  ): Promise<Result<StoredObject | undefined, ApplicationError>> {
    this.#counters.reads++;
    return this.#checkAvailability().map(() => this.#store.read(key));
  }

  override async write(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<Result<number, ApplicationError>> {
    return this.#change(() => this.#store.write(key, value, expectedVersion));
  }

  override async remove(
    key: string,
    expectedVersion: number,
  ): Promise<Result<void, ApplicationError>> {
    const result = this.#change(() => this.#store.remove(key, expectedVersion));
    return result.map(() => undefined);
  }

  override async watch(
    key: string,
    afterVersion: number,
    timeoutMilliseconds: number,
  ): Promise<Result<StoredObject | undefined, ApplicationError>> {
    this.#counters.watches++;
    const availability = this.#checkAvailability();
    if (availability.isErr()) return err(availability.error);
    if (this.#store.faults.silentWatches) return new Promise(() => undefined);
    return ok(await this.#store.watch(key, afterVersion, timeoutMilliseconds));
  }

  override async listHosts(): Promise<
    Result<readonly ListedHost[], ApplicationError>
  > {
    return this.#checkAvailability().map(() => this.#store.listHosts());
  }

  override counters(): Readonly<PlatformCounters> {
    return this.#counters;
  }

  #checkAvailability(): Result<void, ApplicationError> {
    if (!this.#store.faults.outage) return ok(undefined);
    this.#counters.failures++;
    return err(createError("platform_unavailable", "outage"));
  }

  #change(change: () => ChangeOutcome): Result<number, ApplicationError> {
    this.#counters.writes++;
    return this.#checkAvailability().andThen(() => {
      const outcome = change();
      if (outcome.kind === "conflict") {
        return err(
          createError("platform_conflict", `version ${outcome.version}`),
        );
      }
      if (this.#store.faults.lostReplies === 0) return ok(outcome.version);
      this.#store.faults.lostReplies--;
      return err(createError("platform_outcome_unknown", "the reply was lost"));
    });
  }
}

/** Creates a client that calls the store directly, without a network. */
export function createStoreClient(store: PlatformStore): PlatformClient {
  return new _StoreClient(store);
}
