/** The end of a request: its rejection, its log line and what it leaves behind. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { callerConnectionOf } from "./caller_connection.ts";
import { createError, type ErrorKind } from "./core/errors.ts";
import type { PassThroughContext } from "./pass_through_context.ts";
import { type RetryOptions, sendRejection } from "./rejection.ts";
import { releaseRequestBody } from "./request_body.ts";
import type { CheckedRequest } from "./request_check.ts";
import type { RequestHistory } from "./request_history.ts";
import type { RequestEnd, RequestFields, RequestLog } from "./request_log.ts";
import { limitUnreadResponse } from "./request_timeout.ts";

/** The request that ends, and what its end concerns. */
export interface RequestEndingOptions {
  readonly context: PassThroughContext;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly checked: CheckedRequest;
  readonly history: RequestHistory;
  readonly log: RequestLog;
  /** Called once, after the end was logged. */
  readonly onFinished: () => void;
}

/** Ends one request, once. */
export class RequestEnding {
  readonly #options: RequestEndingOptions;
  #isFinished = false;

  constructor(options: RequestEndingOptions) {
    this.#options = options;
  }

  get isFinished(): boolean {
    return this.#isFinished;
  }

  /** Responds with an error of the gateway's own. */
  reject(
    kind: ErrorKind,
    detail: string,
    retry: RetryOptions,
  ): void {
    const { context, request, response, history } = this.#options;
    const rejection = sendRejection(response, createError(kind, detail), {
      ...retry,
      remainingMilliseconds: history.remainingMilliseconds(),
      random: context.random,
      isClosing: !request.complete || this.closesConnection(),
    });
    const event = rejection.runState === "not_run"
      ? "request.rejected"
      : "request.failed";
    this.finish(event, kind, { detail, status: rejection.status });
  }

  /**
   * Whether the connection ends with this response, since the router stops or is
   * overloaded. Ask once, when the head is sent.
   */
  closesConnection(): boolean {
    const { context, request, response } = this.#options;
    const connection = callerConnectionOf(request.socket);
    if (context.plannedStop.isStopping) {
      return connection.isLastResponse(response);
    }
    let isClosing = false;
    context.shedder.closeIfDue(() => {
      isClosing = response.shouldKeepAlive && request.complete &&
        connection.isLastResponse(response);
      // A request that arrives behind this response must not run.
      if (isClosing) connection.close(undefined);
      return isClosing;
    });
    return isClosing;
  }

  /** Logs the end. */
  finish(end: RequestEnd, outcome: string, fields: RequestFields): void {
    const { context, request, checked, history, log, onFinished } =
      this.#options;
    this.#isFinished = true;
    releaseRequestBody(request);
    const progress = history.progress();
    if (end === "request.ended") {
      const { name } = checked.route;
      context.plannedStop.recordServed(name, progress.milliseconds);
    }
    log.ended(end, progress, outcome, fields);
    if (end === "request.ended") this.#limitUnread();
    onFinished();
  }

  /** Gives up a caller that does not read the rest of its response in time. */
  #limitUnread(): void {
    const { context, response, checked, history } = this.#options;
    limitUnreadResponse({
      timers: context.timers,
      remainingMilliseconds: history.remainingMilliseconds(),
      response,
      onGivenUp: (unsentBytes) =>
        context.log.write("response.unread", {
          request: checked.requestId,
          route: checked.route.name,
          unsentBytes,
          detail: "the caller reads too slowly",
        }),
    });
  }
}
