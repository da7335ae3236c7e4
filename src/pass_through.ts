/**
 * The way of one request through a gateway: check, read, place, send, relay,
 * and try again where that is safe. Bodies and answers pass unchanged.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  chooseRelayMode,
  createResponseRelay,
  FIRST_ERROR_STATUS,
  type ResponseRelay,
} from "./response_relay.ts";
import type {
  NotSentReason,
  ResponseHead,
  ResponseSink,
} from "./backend_exchange.ts";
import { createError, type ErrorKind } from "./core/errors.ts";
import { isRepeatable } from "./core/gateway_configuration.ts";
import type { BackendServerId } from "./core/ids.ts";
import {
  type AttemptFailure,
  decideNextStep,
  type NextStep,
  responseTimeoutMilliseconds,
} from "./core/next_attempt.ts";
import type { Placement } from "./core/placement.ts";
import type { RejectionCause } from "./core/retry_after.ts";
import type { RetryBudget } from "./core/retry_budget.ts";
import { sendRejection } from "./rejection.ts";
import {
  type AttemptContext,
  type RequestAttempt,
  SERVER_ERROR,
} from "./request_attempt.ts";
import { readRequestBody, type RequestBody } from "./request_body.ts";
import type { CheckedRequest } from "./request_check.ts";
import { forwardRequest } from "./request_forwarding.ts";
import {
  type RequestEnd,
  type RequestFacts,
  type RequestFields,
  RequestLog,
  type RequestLogContext,
} from "./request_log.ts";
import { chooseServer, type ServerChoiceContext } from "./server_choice.ts";
import type { Subscription } from "./timer_service.ts";

/** An answer that is due within this time of the limit is still waited for. */
const LIMIT_GRACE_MILLISECONDS = 40;
/** A stream that was begun may end this much after the limit. */
const STREAM_GRACE_MILLISECONDS = 300;

const MILLISECONDS_IN_SECOND = 1_000;

/** The parts that requests share. */
export interface PassThroughContext
  extends AttemptContext, RequestLogContext, ServerChoiceContext {
  readonly retries: (service: string) => RetryBudget;
  /** Whether this router is about to stop. */
  readonly isStopping: () => boolean;
  /** Called when the request is over, whatever came of it. */
  readonly onOver: () => void;
}

const _ignoredAnswer: ResponseSink = { onData: () => {}, onEnd: () => {} };

/** A request that passed the checks and whose body is being read or was read. */
class _PassThrough {
  readonly #context: PassThroughContext;
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #checked: CheckedRequest;
  readonly #log: RequestLog;
  readonly #startedAt: number;
  readonly #tried = new Set<BackendServerId>();
  #body: RequestBody | undefined;
  #relay: ResponseRelay | undefined;
  #attempt: RequestAttempt | undefined;
  #limit: Subscription | undefined;
  #attempts = 0;
  /** Servers that may have run the request. */
  #runs = 0;
  #firstByteMilliseconds: number | undefined;
  /** When a part of the answer was passed on last. */
  #passedOnAt = 0;
  #isOver = false;

  constructor(
    context: PassThroughContext,
    request: IncomingMessage,
    response: ServerResponse,
    checked: CheckedRequest,
  ) {
    this.#context = context;
    this.#request = request;
    this.#response = response;
    this.#checked = checked;
    this.#log = new RequestLog(context);
    this.#startedAt = this.#now();
  }

  start(): void {
    const { bounds, limitMilliseconds } = this.#checked;
    this.#response.on("close", () => this.#onClose());
    this.#limit = this.#context.timers.after(
      limitMilliseconds + LIMIT_GRACE_MILLISECONDS,
      "request limit",
      () => this.#onLimit(),
    );
    readRequestBody(
      this.#request,
      bounds.maximumBodyBytes,
      (body) => this.#onBody(body),
    );
  }

  #now(): number {
    return this.#context.timers.clock.monotonicMilliseconds();
  }

  #remaining(): number {
    return this.#checked.limitMilliseconds - (this.#now() - this.#startedAt);
  }

  #retries(): RetryBudget {
    return this.#context.retries(this.#checked.service);
  }

  #facts(): RequestFacts {
    return {
      requestId: this.#checked.requestId,
      route: this.#checked.route,
      attempts: this.#attempts,
      runs: this.#runs,
      milliseconds: this.#now() - this.#startedAt,
      firstByteMilliseconds: this.#firstByteMilliseconds,
    };
  }

  #onBody(body: RequestBody): void {
    if (this.#isOver) return;
    this.#body = body;
    if (body.kind === "aborted") return this.#onClose();
    if (body.kind === "too_large") {
      return this.#reject("body_too_large", "over the limit of bodies", "full");
    }
    this.#retries().recordRequest(this.#now());
    this.#place();
  }

  #choose(): Placement | undefined {
    return chooseServer(this.#context, this.#checked, this.#tried);
  }

  #place(): void {
    const placement = this.#choose();
    if (!placement) {
      const kind = this.#runs > 0 ? "outcome_unknown" : "no_backend_server";
      return this.#reject(kind, "no server is left to try", "no_server");
    }
    this.#log.placed(this.#facts(), placement);
    this.#send(placement);
  }

  #send(placement: Placement): void {
    const { server } = placement;
    const { route, terms } = this.#checked;
    this.#context.directory.record(terms.promptParts, server.id);
    this.#attempts++;
    this.#tried.add(server.id);
    this.#attempt = forwardRequest(this.#context, {
      request: this.#request,
      checked: this.#checked,
      placement,
      body: this.#body,
      remainingMilliseconds: this.#remaining(),
      lastEventId: this.#relay?.lastEventId,
      silenceMilliseconds: responseTimeoutMilliseconds(route),
      listener: {
        onNotSent: (reason, detail) => this.#onNotSent(reason, detail),
        onNotRun: (status) => this.#onNotRun(status),
        onUnknown: (detail) => this.#onUnknown(detail),
        onResponse: (head) => this.#onAnswer(head),
        onSilent: () => this.#onSilent(),
      },
    });
  }

  /** Sends repeatable work elsewhere; other work keeps waiting for its answer. */
  #onSilent(): void {
    const { route } = this.#checked;
    const mayRepeat = isRepeatable(route) &&
      this.#runs + 1 < route.maximumBackendServers &&
      this.#body?.kind === "whole" && this.#choose() !== undefined;
    if (!mayRepeat) return;
    if (!this.#retries().mayRetry("outcome_unknown", true, this.#now())) return;
    this.#attempt?.cancel("silent");
    this.#runs++;
    this.#log.retried(this.#facts(), "silent", "no answer in time");
    this.#place();
  }

  #onNotSent(reason: NotSentReason, detail: string): void {
    const server = this.#attempt?.server.id;
    this.#attempt?.cancel("not_sent");
    if (reason === "malformed") {
      return this.#reject("malformed_request", detail, "full");
    }
    if (server && reason === "unreachable") {
      this.#context.outcomes.recordUnreachable(server, this.#now());
    }
    if (server && reason === "connection_closed") this.#tried.delete(server);
    this.#next("not_sent", detail);
  }

  #onNotRun(status: number): void {
    this.#attempt?.leave("not_run");
    this.#next("not_run", `the server answered ${status}`);
  }

  #onUnknown(detail: string): void {
    this.#runs++;
    this.#attempt?.cancel("unknown");
    this.#next("unknown", detail);
  }

  #onAnswer(head: ResponseHead): ResponseSink {
    this.#runs++;
    if (this.#response.headersSent && head.status >= FIRST_ERROR_STATUS) {
      // A begun stream cannot go on with an error.
      this.#attempt?.leave("server_error");
      this.#next("broken", `the resuming server answered ${head.status}`);
      return _ignoredAnswer;
    }
    if (head.status >= SERVER_ERROR && this.#retryServerError()) {
      return _ignoredAnswer;
    }
    this.#relay ??= this.#createRelay(head);
    const { exchange } = this.#attempt as RequestAttempt;
    return this.#relay.begin(head, exchange);
  }

  /** Tries repeatable work elsewhere instead of passing a server's error on. */
  #retryServerError(): boolean {
    if (!this.#choose() || this.#decide("server_error") !== "retry") {
      return false;
    }
    this.#attempt?.leave("server_error");
    this.#log.retried(
      this.#facts(),
      "server_error",
      "the server answered with an error",
    );
    this.#place();
    return true;
  }

  #createRelay(head: ResponseHead): ResponseRelay {
    return createResponseRelay({
      response: this.#response,
      mode: chooseRelayMode(this.#checked.route.kind, head.status),
      extraHeaders: () =>
        this.#context.isStopping() ? ["Connection", "close"] : [],
      listener: {
        onFirstByte: () => this.#onFirstByte(),
        onEvents: () => this.#onEvents(),
        onEnd: (isComplete, detail) => this.#onAnswerEnd(isComplete, detail),
      },
    });
  }

  #onFirstByte(): void {
    this.#passedOnAt = this.#now();
    this.#firstByteMilliseconds = this.#passedOnAt - this.#startedAt;
    this.#log.begun(this.#facts());
  }

  #onEvents(): void {
    const now = this.#now();
    const gap = (now - this.#passedOnAt) / MILLISECONDS_IN_SECOND;
    this.#context.metrics.eventGapSeconds.observe(gap);
    this.#passedOnAt = now;
  }

  #onAnswerEnd(isComplete: boolean, detail: string): void {
    const server = this.#attempt?.server.id;
    if (!isComplete) {
      this.#attempt?.record(true);
      this.#attempt?.cancel("broken");
      return this.#next("broken", detail);
    }
    this.#attempt?.cancel("answered");
    const status = this.#relay?.status ?? 0;
    const outcome = status >= SERVER_ERROR ? "server_error" : "ok";
    const isSuccess = status < FIRST_ERROR_STATUS;
    this.#finish(
      "request.ended",
      outcome,
      isSuccess ? { server } : { server, status },
    );
  }

  #decide(failure: AttemptFailure): NextStep {
    const { route } = this.#checked;
    return decideNextStep({
      failure,
      isRepeatable: isRepeatable(route),
      hasBody: this.#body?.kind === "whole",
      runs: this.#runs,
      maximumRuns: route.maximumBackendServers,
      attempts: this.#attempts,
      hasBegun: this.#response.headersSent,
      isResumable: route.isResumable,
      remainingMilliseconds: this.#remaining(),
      takeRetry: () =>
        this.#retries().mayRetry("overloaded", true, this.#now()),
    });
  }

  #next(failure: AttemptFailure, detail: string): void {
    switch (this.#decide(failure)) {
      case "retry":
        this.#log.retried(this.#facts(), failure, detail);
        return this.#place();
      case "reject":
        return this.#reject("overloaded", detail, "full");
      case "cut":
        return this.#cut(detail);
      default:
        return this.#reject("outcome_unknown", detail, "full");
    }
  }

  #onLimit(): void {
    if (this.#isOver) return;
    const detail = "the time for the request is over";
    if (this.#response.headersSent) {
      this.#limit = this.#context.timers.after(
        STREAM_GRACE_MILLISECONDS,
        "stream limit",
        () => this.#cut(detail),
      );
      return;
    }
    const wasSent = this.#attempt?.exchange.wasSent() ?? false;
    this.#attempt?.cancel("timeout");
    const mayHaveRun = wasSent || this.#runs > 0;
    const kind = mayHaveRun ? "answer_timeout" : "overloaded";
    this.#reject(kind, detail, "full");
  }

  /** The caller closed its connection before the request was over. */
  #onClose(): void {
    if (this.#isOver) return;
    this.#attempt?.cancel("cancelled");
    this.#finish("request.cancelled", "cancelled", {});
  }

  #cut(detail: string): void {
    if (this.#isOver) return;
    this.#attempt?.cancel("cut");
    this.#finish("request.failed", "answer_truncated", { detail });
    if (this.#relay) this.#relay.cut();
    else this.#response.destroy();
  }

  #reject(kind: ErrorKind, detail: string, cause: RejectionCause): void {
    if (this.#isOver) return;
    if (this.#response.headersSent) return this.#cut(detail);
    const answer = sendRejection(this.#response, createError(kind, detail), {
      cause,
      remainingMilliseconds: this.#remaining(),
      random: this.#context.random,
      isClosing: this.#context.isStopping() || !this.#request.complete,
    });
    const event = answer.runState === "not_run"
      ? "request.rejected"
      : "request.failed";
    this.#finish(event, kind, { detail, status: answer.status });
  }

  #finish(end: RequestEnd, outcome: string, fields: RequestFields): void {
    this.#isOver = true;
    this.#limit?.cancel();
    this.#log.ended(end, this.#facts(), outcome, fields);
    this.#context.onOver();
  }
}

/** Serves a request that passed the checks. */
export function passThrough(
  context: PassThroughContext,
  request: IncomingMessage,
  response: ServerResponse,
  checked: CheckedRequest,
): void {
  new _PassThrough(context, request, response, checked).start();
}
