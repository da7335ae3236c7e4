/** Log lines and metrics of a request. */
import type { FleetLoad } from "./core/load_control/fleet_load.ts";
import type { GatewayRoute } from "./core/gateway_configuration.ts";
import { mainCause, type StreamGap } from "./core/load_control/stream_gaps.ts";
import type { StopAdmission } from "./core/stop_admission.ts";
import type { Placement } from "./core/load_control/placement.ts";
import type { UnavailableServer } from "./core/load_control/server_capacity.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayStateTask } from "./gateway_state_task.ts";
import type { PlannedStop } from "./planned_stop.ts";
import type { TimerService } from "./timer_service.ts";

/** Leaving and pausing servers that a line about a placement names. */
const MAXIMUM_LOGGED_SERVERS = 4;

/** Log event of a request's end. */
export type RequestEnd =
  | "request.ended"
  | "request.failed"
  | "request.rejected"
  | "request.cancelled";

/** Log, metrics and the state that log lines include. */
export interface RequestLogContext {
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  readonly state: GatewayStateTask;
  readonly load: FleetLoad;
  readonly timers: TimerService;
  readonly plannedStop: PlannedStop;
}

/** How long a request waited for room, and what was expected. */
export interface RequestWaitFigures {
  readonly milliseconds: number;
  /** Requests that were ahead of it when its last wait began. */
  readonly requestsAhead: number;
  /** Wait expected then; undefined if the speed was unknown. */
  readonly expectedMilliseconds: number | undefined;
}

/** Progress of a request when a log line is written. */
export interface RequestProgress {
  readonly requestId: string | undefined;
  readonly route: GatewayRoute | undefined;
  readonly attempts: number;
  readonly runs: number;
  /** Time since the request arrived. */
  readonly milliseconds: number;
  /** Time from the arrival to the first byte of the response. */
  readonly firstByteMilliseconds: number | undefined;
  /** The last decision whether it can be finished; absent if it failed the checks. */
  readonly admission?: StopAdmission | undefined;
  /** Time from the arrival until the body was read; absent while it is not. */
  readonly bodyMilliseconds?: number | undefined;
  /** Time from the arrival until the last server was chosen; absent before. */
  readonly placedMilliseconds?: number | undefined;
  /** Longest time between two parts of a stream; absent before the second one. */
  readonly longestGap?: StreamGap | undefined;
  /** Time until the request times out; absent if it failed the checks. */
  readonly remainingMilliseconds?: number | undefined;
  /** Absent if it did not wait for room. */
  readonly wait?: RequestWaitFigures | undefined;
}

/** Additional fields of a log line. */
export type RequestFields = Readonly<Record<string, unknown>>;

function _commonFields(progress: RequestProgress): RequestFields {
  return {
    request: progress.requestId,
    route: progress.route?.name,
    attempts: progress.attempts,
    runs: progress.runs,
    milliseconds: Math.round(progress.milliseconds),
  };
}

function _firstByteFields(
  { firstByteMilliseconds }: RequestProgress,
): RequestFields {
  return firstByteMilliseconds === undefined
    ? {}
    : { firstByte: Math.round(firstByteMilliseconds) };
}

function _waitFields({ wait }: RequestProgress): RequestFields {
  return wait === undefined ? {} : {
    waited: Math.round(wait.milliseconds),
    requestsAhead: wait.requestsAhead,
    expectedWait: _round(wait.expectedMilliseconds),
  };
}

function _unavailableFields(
  servers: readonly UnavailableServer[],
): RequestFields {
  return servers.length === 0
    ? {}
    : { unavailable: servers.slice(0, MAXIMUM_LOGGED_SERVERS) };
}

/** Versions and ages of the state that led to a rejection or failure. */
function _stateFields(state: GatewayStateTask): RequestFields {
  return {
    ...state.loggedVersions(),
    configurationAge: Math.round(state.ageMilliseconds("configuration")),
    registryAge: Math.round(state.ageMilliseconds("registry")),
  };
}

/** The longest gap of a stream, if it exceeds the limit of its route. */
function _gapFields({ longestGap, route }: RequestProgress): RequestFields {
  const limit = route?.gapObjectiveMilliseconds;
  if (limit === undefined || !longestGap || longestGap.total <= limit) {
    return {};
  }
  const { total, server, router, caller } = longestGap;
  return {
    longestGap: {
      milliseconds: Math.round(total),
      limit,
      server: Math.round(server),
      router: Math.round(router),
      caller: Math.round(caller),
    },
  };
}

function _round(milliseconds: number | undefined): number | undefined {
  return milliseconds === undefined ? undefined : Math.round(milliseconds);
}

/**
 * What a stopping router knows of a request: how far the stop is, and when the head,
 * the last byte of the body and the last placement came, relative to the signal.
 */
function _stopFields(
  stop: PlannedStop,
  progress: RequestProgress,
): RequestFields {
  if (!stop.isStopping) return {};
  const { route, milliseconds, remainingMilliseconds } = progress;
  const since = stop.sinceSignalMilliseconds();
  const head = since - milliseconds;

  function sinceSignal(sinceHead: number | undefined): number | undefined {
    return sinceHead === undefined ? undefined : Math.round(head + sinceHead);
  }

  return {
    stop: {
      since: Math.round(since),
      left: Math.round(stop.remainingMilliseconds()),
      admission: progress.admission,
      head: Math.round(head),
      body: sinceSignal(progress.bodyMilliseconds),
      placed: sinceSignal(progress.placedMilliseconds),
      firstByte: sinceSignal(progress.firstByteMilliseconds),
      timeout: _round(remainingMilliseconds),
      longestRecent: route && Math.round(stop.longestRecent(route.name)),
    },
  };
}

/** Logs a request's events and updates the metrics. */
export class RequestLog {
  readonly #context: RequestLogContext;

  constructor(context: RequestLogContext) {
    this.#context = context;
  }

  /** Records that a server was chosen. */
  placed(
    progress: RequestProgress,
    placement: Placement,
    listUnavailable: () => readonly UnavailableServer[],
  ): void {
    const { log, metrics, state, load, timers } = this.#context;
    const { server, reason, inFlight, meanInFlight, cacheSource } = placement;
    const { uncachedTokens, costMilliseconds } = placement;
    metrics.placements.inc({ reason });
    log.write("request.placed", () => ({
      ..._commonFields(progress),
      server: server.id,
      reason,
      inFlight,
      uncachedTokens,
      ...(costMilliseconds === undefined
        ? {}
        : { cost: Math.round(costMilliseconds) }),
      ...(cacheSource === undefined ? {} : { cacheSource }),
      ..._unavailableFields(listUnavailable()),
      meanInFlight: Math.round(meanInFlight * 100) / 100,
      loadAge: Math.round(
        load.ageMilliseconds(timers.clock.monotonicMilliseconds()),
      ),
      ...state.loggedVersions(),
    }));
  }

  /** Records a retry. */
  retried(progress: RequestProgress, reason: string, detail: string): void {
    this.#context.log.write("request.retried", {
      ..._commonFields(progress),
      reason,
      detail,
    });
  }

  /** Records the first byte of the response. */
  begun(progress: RequestProgress): void {
    this.#context.metrics.firstByteSeconds.observe(
      { kind: progress.route?.kind ?? "none" },
      progress.milliseconds / 1_000,
    );
  }

  /** Records a further part of the response and the time since the last. */
  continued(gap: StreamGap, route: GatewayRoute): void {
    const { metrics } = this.#context;
    metrics.eventGapSeconds.observe(gap.total / 1_000);
    metrics.serverGapSeconds.observe(gap.server / 1_000);
    if (gap.router > 0) {
      metrics.forwardingDelaySeconds.observe(gap.router / 1_000);
    }
    if (gap.caller > 0) metrics.callerPauseSeconds.observe(gap.caller / 1_000);
    const limit = route.gapObjectiveMilliseconds;
    if (limit !== undefined && gap.total > limit) {
      metrics.longGaps.inc({ cause: mainCause(gap) });
    }
  }

  /** Records the end of the request. */
  ended(
    end: RequestEnd,
    progress: RequestProgress,
    outcome: string,
    fields: RequestFields,
  ): void {
    const { log, metrics, state, plannedStop } = this.#context;
    metrics.requests.inc({ kind: progress.route?.kind ?? "none", outcome });
    if (plannedStop.isStopping) metrics.stopRequests.inc({ outcome });
    log.write(end, () => ({
      ..._commonFields(progress),
      outcome,
      ..._firstByteFields(progress),
      ..._waitFields(progress),
      ...(end === "request.ended" ? {} : _stateFields(state)),
      ..._gapFields(progress),
      ..._stopFields(plannedStop, progress),
      ...fields,
    }));
  }
}
