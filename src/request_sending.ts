/**
 * Sends a request to a server: waits until there is room, chooses the server,
 * relays the response, and retries where that is safe.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  DISCARDING_SINK,
  MISDIRECTED_REQUEST,
  type NotSentReason,
  type ResponseHead,
  type ResponseSink,
} from "./backend_exchange.ts";
import {
  type CallerConnection,
  callerConnectionOf,
} from "./caller_connection.ts";
import type { ErrorKind } from "./core/errors.ts";
import {
  type AttemptFailure,
  type NextStep,
  responseTimeoutMilliseconds,
} from "./core/next_attempt.ts";
import type { Placement } from "./core/load_control/placement.ts";
import { partKeyOf } from "./core/prompt_directory.ts";
import { requestCost } from "./core/load_control/request_cost.ts";
import type { RetryBudget } from "./core/retry_budget.ts";
import type { PassThroughContext } from "./pass_through_context.ts";
import type { RetryOptions } from "./rejection.ts";
import { type RequestAttempt, SERVER_ERROR_STATUS } from "./request_attempt.ts";
import type { RequestBody } from "./request_body.ts";
import type { CheckedRequest } from "./request_check.ts";
import { forwardRequest } from "./request_forwarding.ts";
import { RequestHistory } from "./request_history.ts";
import { type RequestFields, RequestLog } from "./request_log.ts";
import { placeRequest } from "./request_placement.ts";
import { RequestWait } from "./request_wait.ts";
import {
  chooseRelayMode,
  createResponseRelay,
  FIRST_ERROR_STATUS,
  type ResponseRelay,
} from "./response_relay.ts";
import { chooseServer } from "./server_choice.ts";

/** A request on its way to a server; a subclass begins and ends it. */
export abstract class RequestSending {
  protected readonly context: PassThroughContext;
  protected readonly request: IncomingMessage;
  protected readonly response: ServerResponse;
  protected readonly checked: CheckedRequest;
  protected readonly log: RequestLog;
  protected readonly history: RequestHistory;
  protected readonly caller: CallerConnection;
  #body: RequestBody | undefined;
  #relay: ResponseRelay | undefined;
  #attempt: RequestAttempt | undefined;
  #wait: RequestWait | undefined;

  constructor(
    context: PassThroughContext,
    request: IncomingMessage,
    response: ServerResponse,
    checked: CheckedRequest,
  ) {
    this.context = context;
    this.request = request;
    this.response = response;
    this.checked = checked;
    this.caller = callerConnectionOf(request.socket);
    this.log = new RequestLog(context);
    this.history = new RequestHistory(checked, context);
  }

  protected abstract get isFinished(): boolean;
  /** Ends the request after its response was relayed. */
  protected abstract finish(outcome: string, fields: RequestFields): void;
  protected abstract reject(
    kind: ErrorKind,
    detail: string,
    retry: RetryOptions,
  ): void;
  /** Ends a response that has begun and cannot be completed. */
  protected abstract truncate(detail: string): void;
  /** Whether the connection ends with this response. */
  protected abstract closesConnection(): boolean;

  /** Whether the request is not at a server. */
  protected get isUnsent(): boolean {
    return this.#attempt === undefined;
  }

  /** Whether the request waits until there is room. */
  protected get isWaiting(): boolean {
    return this.#wait?.isWaiting ?? false;
  }

  protected mayHaveRun(): boolean {
    const wasSent = this.#attempt?.exchange.wasSent() ?? false;
    return wasSent || this.history.runs > 0;
  }

  protected cancelAttempt(result: string): void {
    this.#attempt?.cancel(result);
  }

  protected abortResponse(): void {
    if (this.#relay) this.#relay.abort();
    else this.response.destroy();
  }

  protected endWait(): void {
    this.#wait?.end();
  }

  /** Lets a request that waits take the place of this one. */
  protected releaseRoom(): void {
    this.context.waiting.recordEnded(this.checked.service, this.checked);
  }

  /** Whether this router can finish the request, if it is sent to a server now. */
  protected canFinish(): boolean {
    const admission = this.context.plannedStop.admit({
      route: this.checked.route.name,
      timeoutMilliseconds: this.history.remainingMilliseconds(),
      isStreamed: this.#body?.kind === "stream",
    });
    this.history.recordAdmission(admission);
    return admission !== "too_long";
  }

  protected rejectUnfinishable(): void {
    // An earlier attempt may have run, so it cannot be said that none did.
    const kind = this.history.runs > 0 ? "outcome_unknown" : "stopping";
    this.reject(kind, "it could not be finished", { cause: "stopping" });
  }

  #retries(): RetryBudget {
    return this.context.retries(this.checked.service);
  }

  #now(): number {
    return this.context.timers.clock.monotonicMilliseconds();
  }

  #choose(): Placement | undefined {
    return chooseServer(this.context, this.checked, this.history.tried);
  }

  /** Sends the request once its body is known. */
  protected begin(body: RequestBody): void {
    this.#body = body;
    const { waiting } = this.context;
    if (waiting.isActive) this.history.cost = this.#cost();
    this.#retries().recordRequest(this.#now());
    this.#chooseAndSend();
  }

  #cost(): number {
    const { protocol, directory } = this.context;
    return requestCost(protocol.readTokens(this.request.headers), {
      promptParts: this.checked.metadata.promptParts,
      isCached: (part) => directory.serversWith(partKeyOf(part)).size > 0,
    });
  }

  #chooseAndSend(): void {
    this.caller.whenStillThere(() => {
      if (this.isFinished) return;
      if (this.#mustWait()) this.#startWait();
      else this.#placeAndSend();
    });
  }

  /** A stream that has begun goes on without waiting. */
  #mayWait(): boolean {
    return !this.response.headersSent && this.context.waiting.isActive;
  }

  #mustWait(): boolean {
    const { service } = this.checked;
    return this.#mayWait() &&
      this.context.waiting.mustWait(service, this.checked);
  }

  #startWait(): void {
    // A wait that a stop would end at once does not begin.
    if (this.context.plannedStop.isStopping || !this.canFinish()) {
      return this.rejectUnfinishable();
    }
    this.#attempt = undefined;
    this.#wait = new RequestWait({
      context: this.context,
      request: this.request,
      checked: this.checked,
      history: this.history,
      onReady: () => this.#onReady(),
      onRejected: (kind, detail, retry) => this.reject(kind, detail, retry),
    });
    this.#wait.enter();
  }

  /** Checks everything again at the end of a wait. */
  #onReady(): void {
    this.caller.whenStillThere(() => {
      if (this.isFinished) return;
      this.#wait?.end();
      if (this.#wait?.recheck()) this.#placeAndSend();
    });
  }

  #placeAndSend(): void {
    // A stream that has begun goes on for as long as it can.
    if (!this.response.headersSent && !this.canFinish()) {
      return this.rejectUnfinishable();
    }
    const { tried, runs } = this.history;
    const placed = placeRequest(this.context, this.checked, {
      tried,
      runs,
      mayWait: this.#mayWait(),
    });
    if (placed.isErr()) {
      const { kind, detail, canWait, ...retry } = placed.error;
      // What had room at the end of the wait may be full by now.
      if (canWait) return this.#startWait();
      return this.reject(kind, detail, retry);
    }
    const { placement, listUnavailable } = placed.value;
    this.log.placed(this.history.progress(), placement, listUnavailable);
    this.#send(placement);
  }

  #send(placement: Placement): void {
    const { server } = placement;
    const { route, metadata } = this.checked;
    this.context.directory.record(metadata.promptParts, server.id);
    this.history.recordAttempt(server.id);
    this.#attempt = forwardRequest(this.context, {
      request: this.request,
      checked: this.checked,
      placement,
      body: this.#body,
      remainingMilliseconds: this.history.remainingMilliseconds(),
      lastEventId: this.#relay?.lastEventId,
      silenceMilliseconds: responseTimeoutMilliseconds(route),
      listener: {
        onNotSent: (reason, detail) => this.#onNotSent(reason, detail),
        onNotRun: (status) => this.#onNotRun(status),
        onOutcomeUnknown: (detail) => this.#onOutcomeUnknown(detail),
        onResponse: (head) => this.#onResponse(head),
        onSilent: () => this.#onResponseTimeout(),
      },
    });
  }

  /**
   * Retries a repeatable request at a server with a free slot; other requests
   * keep waiting. A second copy in another queue would only lengthen that.
   */
  #onResponseTimeout(): void {
    if (!this.history.mayRunAgain || this.#body?.kind !== "whole") return;
    const next = this.#choose();
    if (!next || next.inFlight >= Math.max(1, next.server.slots)) return;
    if (this.#mustWait()) return;
    if (!this.canFinish()) return;
    if (!this.#retries().tryTake("outcome_unknown", true, this.#now())) return;
    this.#attempt?.cancel("silent");
    this.history.recordRun();
    this.#retry("silent", "no response in time");
  }

  #retry(reason: string, detail: string): void {
    this.log.retried(this.history.progress(), reason, detail);
    this.releaseRoom();
    this.#chooseAndSend();
  }

  #onNotSent(reason: NotSentReason, detail: string): void {
    const attempt = this.#attempt;
    attempt?.cancel("not_sent");
    if (reason === "malformed") {
      return this.reject("malformed_request", detail, { cause: "full" });
    }
    if (reason === "unreachable") attempt?.recordUnreachable();
    if (attempt && reason === "connection_closed") {
      this.history.allowAgain(attempt.server.id);
    }
    this.#onFailure("not_sent", detail);
  }

  #onNotRun(status: number): void {
    // Another server has its address, so its registration is out of date.
    if (status === MISDIRECTED_REQUEST) this.#attempt?.recordUnreachable();
    this.#attempt?.discard("not_run");
    this.#onFailure("not_run", `the server responded with ${status}`);
  }

  #onOutcomeUnknown(detail: string): void {
    this.history.recordRun();
    this.#attempt?.recordDropped(this.checked.metadata.sharedPartKeys);
    this.#attempt?.cancel("unknown");
    this.#onFailure("unknown", detail);
  }

  #onResponse(head: ResponseHead): ResponseSink {
    this.history.recordRun();
    if (this.response.headersSent && head.status >= FIRST_ERROR_STATUS) {
      // An error response cannot continue a stream that has begun.
      this.#attempt?.discard("server_error");
      this.#onFailure("broken", `resuming failed with status ${head.status}`);
      return DISCARDING_SINK;
    }
    if (head.status >= SERVER_ERROR_STATUS && this.#retryServerError()) {
      return DISCARDING_SINK;
    }
    this.#relay ??= this.#createRelay(head);
    const { exchange } = this.#attempt as RequestAttempt;
    return this.#relay.begin(head, exchange);
  }

  /** Retries a repeatable request instead of relaying a server error. */
  #retryServerError(): boolean {
    if (!this.#choose() || !this.canFinish()) return false;
    if (this.#nextStep("server_error") !== "retry") return false;
    this.#attempt?.discard("server_error");
    this.#retry("server_error", "the server responded with an error");
    return true;
  }

  #createRelay(head: ResponseHead): ResponseRelay {
    return createResponseRelay({
      response: this.response,
      mode: chooseRelayMode(this.checked.route.kind, head.status),
      memory: this.context.memory,
      extraHeaders: () =>
        this.closesConnection() ? ["Connection", "close"] : [],
      listener: {
        onFirstByte: () => this.#onFirstByte(),
        onEvents: () => this.#onEvents(),
        onFlow: (isPaused) => this.history.recordFlow(isPaused),
        onEnd: (isComplete, detail) => this.#onResponseEnd(isComplete, detail),
        onNoRoom: () => this.#onNoRoom(),
      },
    });
  }

  /** Ends a request whose response cannot be held back until it is complete. */
  #onNoRoom(): void {
    this.#attempt?.cancel("no_room");
    const detail = "the memory for responses is full";
    this.reject("outcome_unknown", detail, { cause: "full" });
  }

  #onFirstByte(): void {
    this.history.recordFirstByte();
    this.log.begun(this.history.progress());
  }

  #onEvents(): void {
    this.log.continued(this.history.recordPart(), this.checked.route);
  }

  #onResponseEnd(isComplete: boolean, detail: string): void {
    const server = this.#attempt?.server.id;
    if (!isComplete) {
      this.#attempt?.recordOutcome(true);
      this.#attempt?.recordDropped(this.checked.metadata.sharedPartKeys);
      this.#attempt?.cancel("broken");
      return this.#onFailure("broken", detail);
    }
    this.#attempt?.cancel("answered");
    const status = this.#relay?.status ?? 0;
    const outcome = status >= SERVER_ERROR_STATUS ? "server_error" : "ok";
    const isSuccess = status < FIRST_ERROR_STATUS;
    if (isSuccess) {
      const { sharedPartKeys } = this.checked.metadata;
      this.context.crashes.recordCompleted(sharedPartKeys, this.#now());
      this.context.waiting.recordServed(
        this.checked.service,
        this.checked,
        this.history,
      );
    }
    this.finish(outcome, isSuccess ? { server } : { server, status });
  }

  #nextStep(failure: AttemptFailure): NextStep {
    return this.history.nextStep(failure, {
      hasBody: this.#body?.kind === "whole",
      hasBegun: this.response.headersSent,
      takeRetry: () => this.#retries().tryTake("overloaded", true, this.#now()),
    });
  }

  #onFailure(failure: AttemptFailure, detail: string): void {
    switch (this.#nextStep(failure)) {
      case "retry":
        return this.#retry(failure, detail);
      case "reject":
        return this.reject("overloaded", detail, { cause: "full" });
      case "cut":
        return this.truncate(detail);
      default:
        return this.reject("outcome_unknown", detail, { cause: "full" });
    }
  }
}
