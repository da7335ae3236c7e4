/**
 * The interface to the platform's object API and its lagging host list. All
 * lasting state of the fleet lives behind this class.
 */
import type { Result } from "neverthrow";
import type { ApplicationError } from "./core/errors.ts";

/** Largest value of an object, in bytes. */
export const MAXIMUM_OBJECT_BYTES = 1024 * 1024;

/** An object as the platform holds it. */
export interface StoredObject {
  readonly key: string;
  /** Rises with every write of the key, from 1. */
  readonly version: number;
  readonly value: string;
}

/** A host as the platform lists it, with a lag. */
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
 * The platform's object API. Every method fails with `platform_unavailable`
 * when nothing was sent or nothing can have changed, and writes fail with
 * `platform_outcome_unknown` when the reply was lost.
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
  /** Waits for a version above `afterVersion`; undefined if none came in time. */
  abstract watch(
    key: string,
    afterVersion: number,
    timeoutMilliseconds: number,
  ): Promise<Result<StoredObject | undefined, ApplicationError>>;
  /** Returns the lagging list of live and leaving hosts. */
  abstract listHosts(): Promise<
    Result<readonly ListedHost[], ApplicationError>
  >;
  /** Closes connections, if there are any; pending calls fail. */
  async close(): Promise<void> {}
  /** Returns the counters. */
  abstract counters(): Readonly<PlatformCounters>;
}
