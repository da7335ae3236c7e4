/** The wait of one request for room at a server, and the checks at its end. */
import type { IncomingMessage } from "node:http";
import { createError, type ErrorKind } from "./core/errors.ts";
import type { ServiceId } from "./core/gateway_configuration.ts";
import { brandId, type WorkspaceId } from "./core/ids.ts";
import type { RequestDemand } from "./core/load_control/server_capacity.ts";
import type { WaitAssessment } from "./core/load_control/service_queue.ts";
import type { PassThroughContext } from "./pass_through_context.ts";
import type { RetryOptions } from "./rejection.ts";
import { type CheckedRequest, checkRequest } from "./request_check.ts";
import type { RequestHistory } from "./request_history.ts";
import type {
  Waiter,
  WaitRefusal,
  WaitRefusalCause,
} from "./waiting_requests.ts";

/**
 * A request with less time left than this stops waiting. Waiting requests are
 * checked every 50 ms, so the rejection is sent before the timeout.
 */
const MINIMUM_REMAINING_MILLISECONDS = 80;

const REFUSAL_DETAILS: Readonly<Record<WaitRefusalCause, string>> = {
  timeout: "it could not be served within its timeout",
  late: "it would be late",
  queue_full: "too many requests wait",
};

/** The request that waits, and what is called at the end. */
export interface RequestWaitOptions {
  readonly context: PassThroughContext;
  readonly request: IncomingMessage;
  readonly checked: CheckedRequest;
  readonly history: RequestHistory;
  /** Called when the request may be sent; room is reserved until `end`. */
  readonly onReady: () => void;
  readonly onRejected: (
    kind: ErrorKind,
    detail: string,
    retry: RetryOptions,
  ) => void;
}

/** One wait of a request. */
export class RequestWait implements Waiter {
  readonly service: ServiceId;
  readonly demand: RequestDemand;
  readonly workspace: WorkspaceId | undefined;
  readonly priority: number;
  readonly weightTokens: number;
  readonly arrivedMilliseconds: number;
  readonly objectiveMilliseconds: number;
  readonly timesOutMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly #options: RequestWaitOptions;
  readonly #startedAt: number;
  #assessment: WaitAssessment | undefined;
  #isWaiting = true;

  constructor(options: RequestWaitOptions) {
    const { checked, history, context } = options;
    this.#options = options;
    this.#startedAt = context.timers.clock.monotonicMilliseconds();
    this.service = checked.service;
    this.demand = checked;
    this.workspace = checked.workspace === undefined
      ? undefined
      : brandId<WorkspaceId>(checked.workspace);
    this.priority = checked.urgency;
    this.weightTokens = history.cost;
    this.arrivedMilliseconds = history.arrivedMilliseconds;
    // A request that may have run cannot be rejected as not run.
    this.objectiveMilliseconds = history.runs > 0
      ? Number.POSITIVE_INFINITY
      : checked.route.latencyObjectiveMilliseconds;
    this.timesOutMilliseconds = history.arrivedMilliseconds +
      checked.timeoutMilliseconds;
    this.deadlineMilliseconds = this.timesOutMilliseconds -
      MINIMUM_REMAINING_MILLISECONDS;
  }

  /** Whether the wait has not ended. */
  get isWaiting(): boolean {
    return this.#isWaiting;
  }

  /** Begins the wait; the request may be rejected at once. */
  enter(): void {
    this.#assessment = this.#options.context.waiting.enter(this);
  }

  /** Ends the wait, whatever its outcome, and what is reserved for it. */
  end(): void {
    if (!this.#isWaiting) return;
    this.#options.context.waiting.leave(this);
    this.#recordWait(this.#assessment);
  }

  /**
   * Checks the request against the configuration in force. Rejects it and returns
   * false if it would not be accepted now, or not for this service.
   */
  recheck(): boolean {
    const { context, request, checked } = this.#options;
    const current = checkRequest(request, context);
    if (current.isErr()) {
      const { kind, detail } = current.error;
      this.#reject(kind, detail, { cause: "no_server" });
      return false;
    }
    const { service, workspace } = current.value;
    if (workspace !== checked.workspace) {
      const { kind, detail } = createError(
        "unauthenticated",
        "the key changed its workspace",
      );
      this.#reject(kind, detail, { cause: "no_server" });
      return false;
    }
    if (service === checked.service) return true;
    this.#reject("no_backend_server", "the route changed its service", {
      cause: "no_server",
    });
    return false;
  }

  onTurn(): void {
    this.#options.onReady();
  }

  onRefused({ cause, assessment }: WaitRefusal): void {
    this.#options.context.metrics.waitRejections.inc({ cause });
    this.#recordWait(this.#assessment ?? assessment);
    this.#reject("overloaded", REFUSAL_DETAILS[cause], {
      cause: "full",
      expectedWaitMilliseconds: assessment.returnMilliseconds,
    });
  }

  onConfigurationChange(): void {
    this.recheck();
  }

  #recordWait(assessment: WaitAssessment | undefined): void {
    if (!this.#isWaiting) return;
    this.#isWaiting = false;
    const { context, history } = this.#options;
    const now = context.timers.clock.monotonicMilliseconds();
    history.recordWait({
      milliseconds: now - this.#startedAt,
      requestsAhead: assessment?.requestsAhead ?? 0,
      expectedMilliseconds: assessment?.outlook?.waitMilliseconds,
    });
  }

  #reject(kind: ErrorKind, detail: string, retry: RetryOptions): void {
    // The wait is part of the line about the rejection.
    this.end();
    const { history, onRejected } = this.#options;
    // An earlier attempt may have run, so it cannot be said that none did.
    onRejected(history.runs > 0 ? "outcome_unknown" : kind, detail, retry);
  }
}
