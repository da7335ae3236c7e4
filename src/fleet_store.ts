/**
 * Where a gateway learns its configuration and the registered backend servers,
 * and where routers find each other. Each method is one call; when to repeat
 * it, and what to believe meanwhile, is decided by the tasks that use it.
 */
import type { Result } from "neverthrow";
import type { ApplicationError, ErrorKind } from "./core/errors.ts";
import type { GatewayConfiguration } from "./core/gateway_configuration.ts";
import type { DataCentreId, HostId, SocketAddress } from "./core/ids.ts";
import type {
  RegistrationChange,
  RegistrationList,
} from "./core/server_registry.ts";

/** A configuration and the revision of the store in which it was read. */
export interface StoredConfiguration {
  readonly revision: number;
  /** Undefined if none was written yet. */
  readonly configuration: GatewayConfiguration | undefined;
}

/** Changes of registrations up to a revision. */
export interface RegistrationChanges {
  readonly revision: number;
  readonly changes: readonly RegistrationChange[];
}

/** How routers reach another router. */
export interface RouterRecord {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Where other routers connect. */
  readonly address: SocketAddress;
}

/** An object of the store that cannot be used. */
export interface IgnoredObject {
  readonly subject: "configuration" | "server";
  readonly name: string;
  readonly reason: string;
}

/** What a call to the store does. */
export type StoreOperation = "list" | "watch" | "create" | "replace" | "remove";

/** The result of a call to the store. */
export type StoreResult<T> = Promise<Result<T, ApplicationError>>;

/**
 * The store of a fleet. Calls fail with `platform_unavailable`, writes with
 * `platform_outcome_unknown` if the answer was lost, and watches with
 * `platform_history_lost` if the changes since the revision are gone.
 */
export abstract class FleetStore {
  /** Called for each object that cannot be used; others are not affected. */
  onIgnored: (object: IgnoredObject) => void = () => undefined;
  /** Called after each call, for the metrics. */
  onCall: (operation: StoreOperation, result: "ok" | ErrorKind) => void = () =>
    undefined;
  abstract readConfiguration(): StoreResult<StoredConfiguration>;
  /** Waits for a change after a revision; an unchanged answer has no configuration. */
  abstract watchConfiguration(
    afterRevision: number,
    waitMilliseconds: number,
  ): StoreResult<StoredConfiguration>;
  abstract listServers(): StoreResult<RegistrationList>;
  /** Waits for changes of registrations after a revision. */
  abstract watchServers(
    afterRevision: number,
    waitMilliseconds: number,
  ): StoreResult<RegistrationChanges>;
  abstract registerRouter(record: RouterRecord): StoreResult<void>;
  /** Removes the record of a router that is gone. */
  abstract removeRouter(host: HostId): StoreResult<void>;
  abstract listRouters(): StoreResult<readonly RouterRecord[]>;
  /** Closes connections; pending calls fail. */
  abstract close(): Promise<void>;
}
