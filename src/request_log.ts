/** The log lines and counters of one request. */
import type { FleetLoad } from "./core/fleet_load.ts";
import type { GatewayRoute } from "./core/gateway_configuration.ts";
import type { Placement } from "./core/placement.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayStateTask } from "./gateway_state_task.ts";
import type { TimerService } from "./timer_service.ts";

/** How a request ended, as its log line says. */
export type RequestEnd =
  | "request.ended"
  | "request.failed"
  | "request.rejected"
  | "request.cancelled";

/** Where lines and counters go, and what they tell about the inputs. */
export interface RequestLogContext {
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  readonly state: GatewayStateTask;
  readonly load: FleetLoad;
  readonly timers: TimerService;
}

/** What is known of a request when a line is written. */
export interface RequestFacts {
  readonly requestId: string | undefined;
  readonly route: GatewayRoute | undefined;
  readonly attempts: number;
  readonly runs: number;
  /** Time since its arrival. */
  readonly milliseconds: number;
  /** Time from its arrival to the first byte of its answer. */
  readonly firstByteMilliseconds: number | undefined;
}

/** Further fields of a line. */
export type RequestFields = Readonly<Record<string, unknown>>;

function _base(facts: RequestFacts): RequestFields {
  return {
    request: facts.requestId,
    route: facts.route?.name,
    attempts: facts.attempts,
    runs: facts.runs,
    milliseconds: Math.round(facts.milliseconds),
  };
}

function _firstByte({ firstByteMilliseconds }: RequestFacts): RequestFields {
  return firstByteMilliseconds === undefined
    ? {}
    : { firstByte: Math.round(firstByteMilliseconds) };
}

/** Versions and ages of what a refusal or failure was decided on. */
function _inputs(state: GatewayStateTask): RequestFields {
  return {
    ...state.versions(),
    configurationAge: Math.round(state.ageMilliseconds("configuration")),
    registryAge: Math.round(state.ageMilliseconds("registry")),
  };
}

/** Writes what happened to a request. */
export class RequestLog {
  readonly #context: RequestLogContext;

  constructor(context: RequestLogContext) {
    this.#context = context;
  }

  /** A server was chosen. */
  placed(facts: RequestFacts, placement: Placement): void {
    const { log, metrics, state, load, timers } = this.#context;
    const { server, reason, inFlight, meanInFlight, cacheSource } = placement;
    metrics.placements.inc({ reason });
    log.write("request.placed", () => ({
      ..._base(facts),
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

  /** Another server is tried. */
  retried(facts: RequestFacts, reason: string, detail: string): void {
    this.#context.log.write("request.retried", {
      ..._base(facts),
      reason,
      detail,
    });
  }

  /** The answer has begun. */
  begun(facts: RequestFacts): void {
    this.#context.metrics.firstByteSeconds.observe(
      { kind: facts.route?.kind ?? "none" },
      facts.milliseconds / 1_000,
    );
  }

  /** The request is over. */
  ended(
    end: RequestEnd,
    facts: RequestFacts,
    outcome: string,
    fields: RequestFields,
  ): void {
    const { log, metrics, state } = this.#context;
    metrics.requests.inc({ kind: facts.route?.kind ?? "none", outcome });
    log.write(end, () => ({
      ..._base(facts),
      outcome,
      ..._firstByte(facts),
      ...(end === "request.ended" ? {} : _inputs(state)),
      ...fields,
    }));
  }
}
