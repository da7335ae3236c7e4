/** Builds the reports that a router sends about itself. */
import type {
  FleetLoad,
  InFlightCount,
} from "./core/load_control/fleet_load.ts";
import type { DataCentreId, HostId, SocketAddress } from "./core/ids.ts";
import type { PromptCrashes } from "./core/prompt_crashes.ts";
import type { PromptDirectory } from "./core/prompt_directory.ts";
import type { PromptReads } from "./core/load_control/prompt_reads.ts";
import type { ServerCounts } from "./core/report_sums.ts";
import type { ServerLoadNotices } from "./core/load_control/server_load_notices.ts";
import type { ServerNotices } from "./core/server_notices.ts";
import type { ServerOutcomes } from "./core/server_outcomes.ts";
import type {
  GatewayReport,
  ReportedEvidence,
  ReportSummary,
  RouterListing,
} from "./gateway_report.ts";
import type { GatewayStateTask } from "./gateway_state_task.ts";
import type { TimerService } from "./timer_service.ts";

/** The sources of a router's report. */
export interface ReportBuilderOptions {
  readonly timers: TimerService;
  readonly state: GatewayStateTask;
  readonly load: FleetLoad;
  readonly outcomes: ServerOutcomes;
  readonly directory: PromptDirectory;
  readonly crashes: PromptCrashes;
  readonly notices: ServerNotices;
  readonly loadNotices: ServerLoadNotices;
  readonly promptReads: PromptReads;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Relative capacity of the host, for example its number of cores. */
  readonly capacity: number;
  /** Where other routers connect to this router. */
  readonly address: SocketAddress;
  readonly callerAddress: SocketAddress;
  /** Whether callers may be directed to this router now. */
  readonly isServing: () => boolean;
  /** Utilization of this router's scarcest resource, 0 to 1. */
  readonly busyShare: () => number;
}

/** Sequence numbers from which on a peer has not had the announcements. */
export interface FirstAnnouncements {
  readonly reading: number;
  readonly evidence: number;
  readonly notice: number;
}

/** Builds the reports of one router. */
export class ReportBuilder {
  readonly #options: ReportBuilderOptions;

  constructor(options: ReportBuilderOptions) {
    this.#options = options;
  }

  /** Returns this router's own load and failure counts. */
  counts(): ServerCounts {
    const { outcomes, timers } = this.#options;
    const now = timers.clock.monotonicMilliseconds();
    return {
      loads: this.#ownLoads(now),
      outcomes: outcomes.ownFailures(now),
    };
  }

  /** Prompt tokens are reported only where they are used. */
  #ownLoads(now: number): readonly InFlightCount[] {
    const { load, loadNotices, promptReads } = this.#options;
    const loads = load.ownLoads();
    if (!loadNotices.hasStatedPace(now)) return loads;
    return loads.map((count) => {
      const promptTokens = promptReads.tokensAt(count.server);
      return promptTokens > 0 ? { ...count, promptTokens } : count;
    });
  }

  /** Returns this router's entry in the collectors' listings. */
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

  /** Builds a report with the announcements from `first` on. */
  build(
    first: FirstAnnouncements,
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
      readings: directory.announcementsSince(first.reading),
      evidence: this.#evidenceSince(first.evidence),
      leaving: this.#options.notices.announcementsSince(first.notice),
      needsSummary,
      summary,
    };
  }

  #evidenceSince(sequence: number): ReportedEvidence[] {
    const { crashes, timers } = this.#options;
    const now = timers.clock.monotonicMilliseconds();
    return crashes.announcementsSince(sequence).map(({ part, crash, at }) => ({
      part,
      crash,
      ageMilliseconds: now - at,
    }));
  }
}
