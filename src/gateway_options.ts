/** The options of a gateway and the interface of a running one. */
import type { Result } from "neverthrow";
import type { ApplicationError } from "./core/errors.ts";
import type { ClientLimitOptions } from "./core/client_limits.ts";
import type { LoadStatements } from "./core/load_control/load_statements.ts";
import type { LoadBound } from "./core/load_control/placement.ts";
import type { WarmUpBound } from "./core/load_control/server_warm_up.ts";
import type { LogOutput } from "./decision_log.ts";
import type { EntryFormat } from "./entry_format.ts";
import type { FaultHandler } from "./fault_handler.ts";
import type { FleetStore } from "./fleet_store.ts";
import type { GatewayProtocol } from "./gateway_protocol.ts";
import type { RetryAllowance } from "./retry_budgets.ts";

/** Listen addresses of the gateway's interfaces, as `ip:port`. */
export interface GatewayAddresses {
  readonly callers: string;
  readonly status: string;
  readonly entry: string;
  readonly peers: string;
}

/** Settings that can be reloaded while a gateway runs. */
export interface GatewayTuning {
  readonly retries: RetryAllowance;
  readonly loadBound: LoadBound;
  /** Names of the data centres' regions; a data centre may be missing. */
  readonly regions?: Readonly<Record<string, string>>;
  /** Time from a stop signal until the process is killed, in milliseconds. */
  readonly graceMilliseconds: number;
}

/** Options of a gateway. */
export interface GatewayOptions extends GatewayTuning {
  readonly host: string;
  readonly dataCentre: string;
  /** Relative capacity of the host, for example its cores; 1 by default. */
  readonly capacity?: number;
  /**
   * Bandwidth of the host's link in megabits per second, both directions together; the
   * utilization leaves the link out if it is not known.
   */
  readonly linkMegabitsPerSecond?: number | undefined;
  /** Requests that a cold server may get in any second. */
  readonly warmUpBound?: WarmUpBound;
  readonly addresses: GatewayAddresses;
  /** Peer addresses of routers to contact at the start. */
  readonly seeds: readonly string[];
  /**
   * Time in milliseconds after which the evacuation of a data centre must be in
   * force; absent if this fleet has no evacuations.
   */
  readonly evacuateMilliseconds?: number | undefined;
  /** Shared by all routers of the fleet. */
  readonly fleetKey: string;
  readonly store: FleetStore;
  readonly protocol?: GatewayProtocol;
  readonly entryFormat?: EntryFormat;
  readonly output?: LogOutput;
  /** Bounds of what clients may take; memory and descriptors are unknown by default. */
  readonly clientLimits?: ClientLimitOptions;
  /**
   * Whether servers that state their pace are compared by expected cost instead of
   * load; false by default.
   */
  readonly placesByCost?: boolean;
  /** Replaces what servers state in responses; requests wait for room only where a pace is stated. */
  readonly loadStatements?: LoadStatements;
}

/** A running or stopped gateway. */
export interface Gateway {
  start(): Promise<void>;
  /**
   * Waits for open requests within the grace time; resolves when the process
   * may exit.
   */
  stop(): Promise<void>;
  /** Records an error that no code handled. */
  readonly handleFault: FaultHandler;
  /** Applies reloaded settings; invalid settings are logged and ignored. */
  reload(settings: Result<GatewayTuning, ApplicationError>): void;
}
