/**
 * The interface of the store that holds a gateway's configuration, the registered
 * backend servers and the addresses of the routers. Each method is one call. The
 * tasks that use it decide when to retry and which state to use until then.
 */
import type { Result } from "neverthrow";
import type { ApplicationError, ErrorKind } from "./core/errors.ts";
import type { EvacuationEvent } from "./core/evacuations.ts";
import type { GatewayConfiguration } from "./core/gateway_configuration.ts";
import type { DataCentreId, HostId, SocketAddress } from "./core/ids.ts";
import type {
  RegistrationChange,
  RegistrationList,
} from "./core/server_registrations.ts";

/** Revisions are those of `core/store_revision.ts`: a later era is newer. */

/** A configuration and the store revision at which it was read. */
export interface StoredConfiguration {
  readonly revision: number;
  /** Undefined before the first configuration is written. */
  readonly configuration: GatewayConfiguration | undefined;
  /** Number of older versions that a watch has read before this one. */
  readonly supersededVersions: number;
}

/** Registration changes up to a revision. */
export interface RegistrationChanges {
  readonly revision: number;
  readonly changes: readonly RegistrationChange[];
}

/** The evacuated data centres at a revision. */
export interface EvacuationList {
  readonly revision: number;
  readonly dataCentres: readonly DataCentreId[];
}

/** Evacuations that have started or ended up to a revision, in their order. */
export interface EvacuationEvents {
  readonly revision: number;
  readonly events: readonly EvacuationEvent[];
}

/** The record that a router registers in the store. */
export interface RouterRecord {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Where other routers connect. */
  readonly address: SocketAddress;
  /** Relative capacity of the host; 0 if unknown. */
  readonly capacity: number;
}

/** A stored object that is invalid and therefore ignored. */
export interface IgnoredObject {
  readonly subject: "configuration" | "server";
  readonly name: string;
  readonly reason: string;
}

/** The kind of a store call, a metric label. */
export type StoreOperation = "list" | "watch" | "create" | "replace" | "remove";

/** The result of a store call. */
export type StoreResult<T> = Promise<Result<T, ApplicationError>>;

/**
 * The store of a fleet. Calls fail with `platform_unavailable`, reads with
 * `platform_silent` if an open connection carried no response in time, writes with
 * `platform_outcome_unknown` if the response was lost, and watches with
 * `platform_history_lost` if the changes since the revision are no longer kept, or
 * if the store has returned from a copy since.
 */
export abstract class FleetStore {
  /** Called for each invalid object; other objects are not affected. */
  onIgnored: (object: IgnoredObject) => void = () => undefined;
  /** Called after each store call, to update metrics. */
  onCall: (operation: StoreOperation, result: "ok" | ErrorKind) => void = () =>
    undefined;
  /** Called when a response shows that the store has returned from a copy. */
  onRestored: (era: number) => void = () => undefined;
  abstract readConfiguration(): StoreResult<StoredConfiguration>;
  /** Waits for a change after a revision; if there is none, the result has no configuration. */
  abstract watchConfiguration(
    afterRevision: number,
    waitMilliseconds: number,
  ): StoreResult<StoredConfiguration>;
  abstract listServers(): StoreResult<RegistrationList>;
  /** Waits for registration changes after a revision. */
  abstract watchServers(
    afterRevision: number,
    waitMilliseconds: number,
  ): StoreResult<RegistrationChanges>;
  abstract listEvacuations(): StoreResult<EvacuationList>;
  /** Waits for evacuations that start or end after a revision. */
  abstract watchEvacuations(
    afterRevision: number,
    waitMilliseconds: number,
  ): StoreResult<EvacuationEvents>;
  abstract registerRouter(record: RouterRecord): StoreResult<void>;
  /** Removes the record of a router that no longer runs. */
  abstract removeRouter(host: HostId): StoreResult<void>;
  abstract listRouters(): StoreResult<readonly RouterRecord[]>;
  /** Closes connections; pending calls fail. */
  abstract close(): Promise<void>;
}
