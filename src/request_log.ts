/** Log lines and metrics of a request. */
import type { FleetLoad } from "./core/fleet_load.ts";
import type { GatewayRoute } from "./core/gateway_configuration.ts";
import type { Placement } from "./core/placement.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayStateTask } from "./gateway_state_task.ts";
import type { TimerService } from "./timer_service.ts";

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
}

/** Additional fields of a log line. */
export type RequestFields = Readonly<Record<string, unknown>>;

function _commonFields(facts: RequestProgress): RequestFields {
  return {
    request: facts.requestId,
    route: facts.route?.name,
    attempts: facts.attempts,
    runs: facts.runs,
    milliseconds: Math.round(facts.milliseconds),
  };
}

function _firstByteFields(
  { firstByteMilliseconds }: RequestProgress,
): RequestFields {
  return firstByteMilliseconds === undefined
    ? {}
    : { firstByte: Math.round(firstByteMilliseconds) };
}

/** Versions and ages of the state that led to a rejection or failure. */
function _stateFields(state: GatewayStateTask): RequestFields {
  return {
    ...state.versions(),
    configurationAge: Math.round(state.ageMilliseconds("configuration")),
    registryAge: Math.round(state.ageMilliseconds("registry")),
  };
}

/** Logs the events of a request and updates the metrics. */
export class RequestLog {
  readonly #context: RequestLogContext;

  constructor(context: RequestLogContext) {
    this.#context = context;
  }

  /** Records that a server was chosen. */
  placed(facts: RequestProgress, placement: Placement): void {
    const { log, metrics, state, load, timers } = this.#context;
    const { server, reason, inFlight, meanInFlight, cacheSource } = placement;
    metrics.placements.inc({ reason });
    log.write("request.placed", () => ({
      ..._commonFields(facts),
      server: server.id,
      reason,
      inFlight,
      ...(cacheSource === undefined ? {} : { cacheSource }),
      meanInFlight: Math.round(meanInFlight * 100) / 100,
      loadAge: Math.round(
        load.ageMilliseconds(timers.clock.monotonicMilliseconds()),
      ),
      ...state.versions(),
    }));
  }

  /** Records a retry. */
  retried(facts: RequestProgress, reason: string, detail: string): void {
    this.#context.log.write("request.retried", {
      ..._commonFields(facts),
      reason,
      detail,
    });
  }

  /** Records the first byte of the response. */
  begun(facts: RequestProgress): void {
    this.#context.metrics.firstByteSeconds.observe(
      { kind: facts.route?.kind ?? "none" },
      facts.milliseconds / 1_000,
    );
  }

  /** Records the end of the request. */
  ended(
    end: RequestEnd,
    facts: RequestProgress,
    outcome: string,
    fields: RequestFields,
  ): void {
    const { log, metrics, state } = this.#context;
    metrics.requests.inc({ kind: facts.route?.kind ?? "none", outcome });
    log.write(end, () => ({
      ..._commonFields(facts),
      outcome,
      ..._firstByteFields(facts),
      ...(end === "request.ended" ? {} : _stateFields(state)),
      ...fields,
    }));
  }
}
