/**
 * Forwards a checked request: reads the body, sends it to a server and ends it
 * when it is answered, rejected or too late, or its caller leaves. Bodies are not
 * modified.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ErrorKind } from "./core/errors.ts";
import type { PassThroughContext } from "./pass_through_context.ts";
import type { ServedRequest } from "./planned_stop.ts";
import type { RetryOptions } from "./rejection.ts";
import { readRequestBody, type RequestBody } from "./request_body.ts";
import type { CheckedRequest } from "./request_check.ts";
import { RequestEnding } from "./request_ending.ts";
import type { RequestFields } from "./request_log.ts";
import { RequestSending } from "./request_sending.ts";
import { startRequestTimeout } from "./request_timeout.ts";
import type { Subscription } from "./timer_service.ts";

/** State of a request that passed the checks. */
class _ForwardedRequest extends RequestSending implements ServedRequest {
  readonly #ending: RequestEnding;
  #ignoreCaller: () => void = () => undefined;
  #timeout: Pick<Subscription, "cancel"> | undefined;

  constructor(
    context: PassThroughContext,
    request: IncomingMessage,
    response: ServerResponse,
    checked: CheckedRequest,
  ) {
    super(context, request, response, checked);
    this.#ending = new RequestEnding({
      context,
      request,
      response,
      checked,
      history: this.history,
      log: this.log,
      onFinished: () => this.#release(),
    });
  }

  start(): void {
    const { bounds, timeoutMilliseconds } = this.checked;
    const { limits, bodies, onRead } = this.context;
    if (!this.canFinish()) return this.rejectUnfinishable();
    this.context.plannedStop.add(this);
    this.#ignoreCaller = this.caller.onLeft(() => this.#onClose());
    this.#timeout = startRequestTimeout({
      timers: this.context.timers,
      timeoutMilliseconds,
      request: this.request,
      response: this.response,
      onTimeout: (cause) => this.#giveUp(cause, "timeout"),
    });
    readRequestBody(
      this.request,
      { limits, bodies, onRead, maximumBytes: bounds.maximumBodyBytes },
      (body) => this.#onBody(body),
    );
  }

  reconsider(): void {
    const isStopped = this.isWaiting && this.context.plannedStop.isStopping;
    if (isStopped || (this.isUnsent && !this.canFinish())) {
      this.rejectUnfinishable();
    }
  }

  abandon(): void {
    this.#giveUp("the router stopped before the response", "stopping");
  }

  #onBody(body: RequestBody): void {
    if (this.isFinished) return;
    this.history.recordBody();
    if (body.kind === "aborted") return this.#onClose();
    if (body.kind === "rejected") {
      return this.reject(body.error, body.detail, { cause: "full" });
    }
    this.begin(body);
  }

  /** Ends a request without a response and says whether it may have run. */
  #giveUp(detail: string, reason: "timeout" | "stopping"): void {
    if (this.response.headersSent) return this.truncate(detail);
    const mayHaveRun = this.mayHaveRun();
    this.cancelAttempt(reason);
    if (reason === "stopping") {
      const kind = mayHaveRun ? "outcome_unknown" : "stopping";
      return this.reject(kind, detail, { cause: "stopping" });
    }
    const kind = mayHaveRun ? "answer_timeout" : "overloaded";
    this.reject(kind, detail, { cause: "full" });
  }

  /** Handles a caller that disconnects before the request has ended. */
  #onClose(): void {
    if (this.isFinished) return;
    this.endWait();
    this.cancelAttempt("cancelled");
    this.#ending.finish("request.cancelled", "cancelled", {});
  }

  /** Releases what the request held until its end. */
  #release(): void {
    this.context.plannedStop.remove(this);
    this.#timeout?.cancel();
    this.#ignoreCaller();
    this.context.onFinished();
    this.releaseRoom();
  }

  protected override get isFinished(): boolean {
    return this.#ending.isFinished;
  }

  protected override closesConnection(): boolean {
    return this.#ending.closesConnection();
  }

  protected override finish(outcome: string, fields: RequestFields): void {
    this.#ending.finish("request.ended", outcome, fields);
  }

  protected override truncate(detail: string): void {
    if (this.isFinished) return;
    this.cancelAttempt("cut");
    this.#ending.finish("request.failed", "answer_truncated", { detail });
    this.abortResponse();
  }

  protected override reject(
    kind: ErrorKind,
    detail: string,
    retry: RetryOptions,
  ): void {
    if (this.isFinished) return;
    if (this.response.headersSent) return this.truncate(detail);
    this.endWait();
    this.#ending.reject(kind, detail, retry);
  }
}

/** Forwards a request that passed the checks. */
export function passThrough(
  context: PassThroughContext,
  request: IncomingMessage,
  response: ServerResponse,
  checked: CheckedRequest,
): void {
  new _ForwardedRequest(context, request, response, checked).start();
}
