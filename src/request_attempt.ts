/**
 * An attempt to run a request on one backend server. It counts as load while it
 * lasts, and a server that does not respond in time is recorded as failing.
 */
import type { BackendConnections } from "./backend_connections.ts";
import {
  type Exchange,
  type ExchangeListener,
  type ExchangeOptions,
  type ResponseHead,
  type ResponseSink,
  startExchange,
} from "./backend_exchange.ts";
import type { PartKey } from "./core/prompt_directory.ts";
import type { CrashDetection } from "./crash_detection.ts";
import type { FleetLoad } from "./core/load_control/fleet_load.ts";
import type { PromptReads } from "./core/load_control/prompt_reads.ts";
import type {
  RequestDemand,
  ServerCapacity,
} from "./core/load_control/server_capacity.ts";
import type { ServerLoadNotices } from "./core/load_control/server_load_notices.ts";
import type { RegisteredServer } from "./core/server_registry.ts";
import type { ServerNotices } from "./core/server_notices.ts";
import type { ServerRateLimits } from "./core/load_control/server_rate_limits.ts";
import type { ServerOutcomes } from "./core/server_outcomes.ts";
import type { ServerWarmUp } from "./core/load_control/server_warm_up.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayProtocol, ResponseMetadata } from "./gateway_protocol.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

/** Lowest status that counts as a failure of the server. */
export const SERVER_ERROR_STATUS = 500;

/** A discarded response that takes longer is cut off. */
const DISCARD_TIMEOUT_MILLISECONDS = 1_000;

/** Dependencies shared by all attempts. */
export interface AttemptContext {
  readonly connections: BackendConnections;
  readonly protocol: GatewayProtocol;
  readonly load: FleetLoad;
  readonly outcomes: ServerOutcomes;
  readonly notices: ServerNotices;
  readonly rateLimits: ServerRateLimits;
  readonly warmUp: ServerWarmUp;
  readonly loadNotices: ServerLoadNotices;
  readonly promptReads: PromptReads;
  readonly capacity: ServerCapacity;
  readonly log: DecisionLog;
  readonly timers: TimerService;
  readonly crashDetection: CrashDetection;
  readonly metrics: GatewayMetrics;
}

/** The request to send and the listener for its result. */
export interface AttemptOptions extends
  Pick<
    ExchangeOptions,
    "server" | "requestId" | "method" | "path" | "headers" | "body"
  > {
  readonly listener: Omit<ExchangeListener, "onNotices"> & {
    onSilent(): void;
  };
  readonly demand: RequestDemand;
  /** Prompt tokens that the server has to process. */
  readonly uncachedTokens: number;
  /** A server that does not respond within this time is recorded as failing. */
  readonly silenceMilliseconds: number;
}

/** An attempt at a backend server. */
export class RequestAttempt {
  readonly server: RegisteredServer;
  readonly exchange: Exchange;
  readonly #context: AttemptContext;
  readonly #responseTimer: Subscription;
  readonly #endTrial: ((hasResponse: boolean) => void) | undefined;
  /** Ends the count of the prompt that the server has to process. */
  readonly #endRead: () => void;
  /** Ends the count of the memory that the request holds. */
  readonly #endHolding: () => void;
  #hasResponse = false;
  #isFinished = false;

  constructor(context: AttemptContext, options: AttemptOptions) {
    const { connections, protocol, load, timers, notices } = context;
    const { rateLimits, warmUp } = context;
    const { listener, silenceMilliseconds, ...others } = options;
    const { uncachedTokens, demand, ...sent } = others;
    this.#context = context;
    this.server = options.server;
    load.requestStarted(options.server.id);
    this.#endRead = context.promptReads.start(
      options.server.id,
      uncachedTokens,
    );
    this.#endHolding = context.capacity.started(
      options.server,
      demand,
      () => this.#now(),
    );
    this.#endTrial = notices.recordSent(options.server, this.#now());
    rateLimits.recordSent(options.server, this.#now());
    warmUp.recordSent(options.server, this.#now());
    this.#responseTimer = timers.after(
      silenceMilliseconds,
      "silent server",
      () => {
        this.#recordNoResponse();
        listener.onSilent();
      },
    );
    this.exchange = startExchange({
      ...sent,
      connections,
      protocol,
      clock: timers.clock,
      listener: {
        onNotices: (metadata, isAnswer) => this.#onNotices(metadata, isAnswer),
        onNotSent: (reason, detail) => listener.onNotSent(reason, detail),
        onNotRun: (status) => listener.onNotRun(status),
        onOutcomeUnknown: (detail) => {
          this.#recordNoResponse();
          listener.onOutcomeUnknown(detail);
        },
        onResponse: (head) => this.#onResponse(head, listener),
      },
    });
  }

  /** Records an outcome of the server. */
  recordOutcome(isFailure: boolean): void {
    this.#context.outcomes.record(this.server.id, isFailure, this.#now());
  }

  /** Records that no connection to the server can be opened. */
  recordUnreachable(): void {
    this.#context.outcomes.recordUnreachable(this.server.id, this.#now());
  }

  /** Records that the server dropped the request, which a crash may explain. */
  recordDropped(sharedParts: readonly PartKey[]): void {
    this.#context.crashDetection.recordDropped(this.server, sharedParts);
  }

  /** Ends the attempt and cancels its exchange. */
  cancel(result: string): void {
    if (this.#isFinished) return;
    this.#finish(result);
    this.exchange.cancel();
  }

  /** Ends the attempt; the rest of a short response is read and discarded. */
  discard(result: string): void {
    if (this.#isFinished) return;
    this.#finish(result);
    this.exchange.discard();
    this.#context.timers.after(
      DISCARD_TIMEOUT_MILLISECONDS,
      "discarded response",
      () => this.exchange.cancel(),
    );
  }

  #finish(result: string): void {
    this.#isFinished = true;
    this.#endTrial?.(this.#hasResponse);
    this.#responseTimer.cancel();
    this.#endRead();
    this.#endHolding();
    this.#context.load.requestEnded(this.server.id);
    this.#context.metrics.attempts.inc({ result });
  }

  #recordNoResponse(): void {
    this.recordOutcome(true);
    this.#context.warmUp.recordNoResponse(this.server, this.#now());
  }

  #now(): number {
    return this.#context.timers.clock.monotonicMilliseconds();
  }

  #onNotices(metadata: ResponseMetadata, isAnswer: boolean): void {
    const { notices, rateLimits, loadNotices, metrics, log } = this.#context;
    const { isLeaving, pauseMilliseconds, rateLimit, load, malformed } =
      metadata;
    if (isAnswer || rateLimit.kind === "named") {
      rateLimits.recordResponse(this.server, rateLimit, this.#now());
    }
    if (isLeaving) {
      notices.recordLeaving(this.server, "response", this.#now());
    }
    if (pauseMilliseconds !== undefined) {
      notices.recordPause(this.server, pauseMilliseconds, this.#now());
    }
    if (load) loadNotices.record(this.server, load, this.#now());
    for (const header of malformed) {
      metrics.malformedHeaders.inc({ header });
      log.write("server.malformed_header", { server: this.server.id, header });
    }
  }

  #onResponse(
    head: ResponseHead,
    listener: AttemptOptions["listener"],
  ): ResponseSink {
    this.#responseTimer.cancel();
    this.#hasResponse = true;
    this.#endTrial?.(true);
    this.#context.warmUp.recordResponse(this.server, this.#now());
    this.recordOutcome(head.status >= SERVER_ERROR_STATUS);
    const sink = listener.onResponse(head);
    return {
      onData: (chunk) => {
        this.#endRead();
        sink.onData(chunk);
      },
      onEnd: (isComplete, detail) => sink.onEnd(isComplete, detail),
    };
  }
}
