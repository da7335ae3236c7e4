/** What gateways report to each other. */
import type { InFlightCount } from "./core/load_control/fleet_load.ts";
import type { DataCentreId, HostId, SocketAddress } from "./core/ids.ts";
import type { PartEvidence } from "./core/prompt_crashes.ts";
import type { PartEntry } from "./core/prompt_directory.ts";
import type { ServerCounts } from "./core/report_sums.ts";
import type { IncarnationKey } from "./core/server_incarnations.ts";
import type { OutcomeCount } from "./core/server_outcomes.ts";

/** Evidence of a crash or of a completed request, with its age. */
export interface ReportedEvidence extends Omit<PartEvidence, "at"> {
  readonly ageMilliseconds: number;
}

/** What a collector reports about a router. */
export interface RouterListing {
  readonly address: SocketAddress;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly callerAddress: SocketAddress;
  readonly isServing: boolean;
  readonly isWatching: boolean;
  /** Utilization of the router's scarcest resource, 0 to 1. */
  readonly busyShare: number;
  /** Relative capacity of the router's host. */
  readonly capacity: number;
  /** Time since the router's last report, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** Which routers a summary covers. */
export type SummaryScope = "data_centre" | "fleet";

/** Sums over several routers, sent by a collector; may include the receiver. */
export interface ReportSummary extends ServerCounts {
  readonly scope: SummaryScope;
  /** Number of routers included in the sums. */
  readonly routers: number;
  /** Age of the sums, including the time before they were relayed. */
  readonly ageMilliseconds: number;
  /** Empty if this summary does not list the routers. */
  readonly listings: readonly RouterListing[];
}

/** Report that a router sends to its peers. */
export interface GatewayReport {
  /** Where callers connect to this router. */
  readonly callerAddress: SocketAddress;
  /** Whether this router accepts callers. */
  readonly isServing: boolean;
  /** Whether this router watches the store's registry and relays changes. */
  readonly isWatching: boolean;
  /** Utilization of the router's scarcest resource, 0 to 1. */
  readonly busyShare: number;
  /** Relative capacity of the router's host. */
  readonly capacity: number;
  readonly configurationVersion: number;
  readonly registryRevision: number;
  readonly registryDigest: number;
  readonly loads: readonly InFlightCount[];
  readonly outcomes: readonly OutcomeCount[];
  /** Prompt parts that a further server has processed. */
  readonly readings: readonly PartEntry[];
  /** Crashes that interrupted requests, and suspects that completed. */
  readonly evidence: readonly ReportedEvidence[];
  /** Incarnations of servers that said in a response that they are leaving. */
  readonly leaving: readonly IncarnationKey[];
  /** Whether the router lacks the fleet summary and asks all peers for one. */
  readonly needsSummary: boolean;
  /** Sums over several routers, from collectors. */
  readonly summary: ReportSummary | undefined;
}
