/** What a router tells others of itself. */
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

/** What a router's report is made of. */
export interface OwnReportOptions {
  readonly timers: TimerService;
  readonly state: GatewayStateTask;
  readonly load: FleetLoad;
  readonly outcomes: ServerOutcomes;
  readonly directory: PromptDirectory;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Relative strength of the host, for example its cores. */
  readonly capacity: number;
  /** Where other routers connect to this one. */
  readonly address: SocketAddress;
  readonly callerAddress: SocketAddress;
  /** Whether callers may be sent to this router now. */
  readonly isServing: () => boolean;
  /** Share of its time that this router was busy. */
  readonly busyShare: () => number;
}

/** Makes the reports of one router. */
export class OwnReport {
  readonly #options: OwnReportOptions;

  constructor(options: OwnReportOptions) {
    this.#options = options;
  }

  /** This router's own counts. */
  counts(): ServerCounts {
    const { load, outcomes, timers } = this.#options;
    return {
      loads: load.ownLoads(),
      outcomes: outcomes.ownFailures(timers.clock.monotonicMilliseconds()),
    };
  }

  /** What collectors say of this router. */
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

  /** A report for a peer that knows the readings up to a number. */
  report(
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
