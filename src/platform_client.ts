/**
 * The interface to the platform's object API and its eventually consistent host
 * list. All persistent state of the fleet is stored in the platform.
 */
import type { Result } from "neverthrow";
import type { ApplicationError } from "./core/errors.ts";

/** Maximum size of an object's value. */
export const MAXIMUM_OBJECT_BYTES = 1024 * 1024;

/** An object as stored by the platform. */
export interface StoredObject {
  readonly key: string;
  /** Starts at 1 and increases with every write of the key. */
  readonly version: number;
  readonly value: string;
}

/** A host in the platform's list, which lags behind the actual state. */
export interface ListedHost {
  readonly host: string;
  readonly state: "live" | "leaving";
}

/** Calls made to the platform since the client was created. */
export interface PlatformCounters {
  reads: number;
  writes: number;
  watches: number;
  failures: number;
}

/**
 * The platform's object API. Methods fail with `platform_unavailable` if nothing
 * was sent or nothing can have changed; writes fail with
 * `platform_outcome_unknown` if the reply was lost.
 */
export abstract class PlatformClient {
  /** Reads an object; undefined if it does not exist. */
  abstract read(
    key: string,
  ): Promise<Result<StoredObject | undefined, ApplicationError>>;
  /**
   * Writes if the current version is `expectedVersion` (0: must not exist) and
   * returns the new version; otherwise fails with `platform_conflict`.
   */
  abstract write(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<Result<number, ApplicationError>>;
  /** Removes an object if its version is `expectedVersion`. */
  abstract remove(
    key: string,
    expectedVersion: number,
  ): Promise<Result<void, ApplicationError>>;
  /** Waits for a version above `afterVersion`; undefined after the timeout. */
  abstract watch(
    key: string,
    afterVersion: number,
    timeoutMilliseconds: number,
  ): Promise<Result<StoredObject | undefined, ApplicationError>>;
  /** Returns the list of live and leaving hosts, which may be out of date. */
  abstract listHosts(): Promise<
    Result<readonly ListedHost[], ApplicationError>
  >;
  /** Closes the connections, if any; pending calls fail. */
  async close(): Promise<void> {}
  /** Returns the number of calls and failures so far. */
  abstract counters(): Readonly<PlatformCounters>;
}
