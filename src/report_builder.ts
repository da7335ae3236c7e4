/** Builds the reports that a router sends about itself. */
import type { FleetLoad } from "./core/fleet_load.ts";
import type { DataCentreId, HostId, SocketAddress } from "./core/ids.ts";
import type { PromptDirectory } from "./core/prompt_directory.ts";
import type { ServerCounts } from "./core/report_sums.ts";
import type { ServerOutcomes } from "./core/server_outcomes.ts";
import type {
  GatewayReport,
  ReportSummary,
  RouterListing,
} from "./gateway_peer_messages.ts";
import type { GatewayStateTask } from "./gateway_state_task.ts";
import type { TimerService } from "./timer_service.ts";

/** The sources of a router's report. */
export interface ReportBuilderOptions {
  readonly timers: TimerService;
  readonly state: GatewayStateTask;
  readonly load: FleetLoad;
  readonly outcomes: ServerOutcomes;
  readonly directory: PromptDirectory;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Relative capacity of the host, for example its number of cores. */
  readonly capacity: number;
  /** Where other routers connect to this router. */
  readonly address: SocketAddress;
  readonly callerAddress: SocketAddress;
  /** Whether callers may be directed to this router now. */
  readonly isServing: () => boolean;
  /** The fraction of time that this router was busy, 0 to 1. */
  readonly busyShare: () => number;
}

/** Builds the reports of one router. */
export class ReportBuilder {
  readonly #options: ReportBuilderOptions;

  constructor(options: ReportBuilderOptions) {
    this.#options = options;
  }

  /** Returns the load and failure counts of this router alone. */
  counts(): ServerCounts {
    const { load, outcomes, timers } = this.#options;
    return {
      loads: load.ownLoads(),
      outcomes: outcomes.ownFailures(timers.clock.monotonicMilliseconds()),
    };
  }

  /** Returns the entry for this router in the listings of collectors. */
  listing(): RouterListing {
    const { address, host, dataCentre, callerAddress, capacity } =
      this.#options;
    const { state, isServing, busyShare } = this.#options;
    return {
      address,
      host,
      dataCentre,
      callerAddress,
      capacity,
      isServing: isServing(),
      isWatching: state.isWatching,
      busyShare: busyShare(),
      ageMilliseconds: 0,
    };
  }

  /** Builds a report for a peer that already has the readings before a number. */
  build(
    sentReadings: number,
    needsSummary: boolean,
    summary: ReportSummary | undefined,
  ): GatewayReport {
    const { state, directory } = this.#options;
    const { configurationVersion, registryRevision } = state.versions();
    return {
      ...this.listing(),
      ...this.counts(),
      configurationVersion,
      registryRevision,
      registryDigest: state.registry.digest,
      readings: directory.announcementsSince(sentReadings),
      needsSummary,
      summary,
    };
  }
}
