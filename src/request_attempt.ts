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
import type { FleetLoad } from "./core/fleet_load.ts";
import type { RegisteredServer } from "./core/server_registry.ts";
import type { ServerOutcomes } from "./core/server_outcomes.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayProtocol } from "./gateway_protocol.ts";
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
  readonly timers: TimerService;
  readonly metrics: GatewayMetrics;
}

/** The request to send and the listener for its result. */
export interface AttemptOptions extends
  Pick<
    ExchangeOptions,
    "server" | "requestId" | "method" | "path" | "headers" | "body"
  > {
  readonly listener: ExchangeListener & { onSilent(): void };
  /** A server that does not respond within this time is recorded as failing. */
  readonly silenceMilliseconds: number;
}

/** An attempt at a backend server. */
export class RequestAttempt {
  readonly server: RegisteredServer;
  readonly exchange: Exchange;
  readonly #context: AttemptContext;
  readonly #responseTimer: Subscription;
  #isFinished = false;

  constructor(context: AttemptContext, options: AttemptOptions) {
    const { connections, protocol, load, timers } = context;
    const { listener, silenceMilliseconds, ...sent } = options;
    this.#context = context;
    this.server = options.server;
    load.requestStarted(options.server.id);
    this.#responseTimer = timers.after(
      silenceMilliseconds,
      "silent server",
      () => {
        this.recordOutcome(true);
        listener.onSilent();
      },
    );
    this.exchange = startExchange({
      ...sent,
      connections,
      protocol,
      clock: timers.clock,
      listener: {
        onNotSent: (reason, detail) => listener.onNotSent(reason, detail),
        onNotRun: (status) => listener.onNotRun(status),
        onOutcomeUnknown: (detail) => {
          this.recordOutcome(true);
          listener.onOutcomeUnknown(detail);
        },
        onResponse: (head) => this.#onResponse(head, listener),
      },
    });
  }

  /** Records an outcome of the server. */
  recordOutcome(isFailure: boolean): void {
    const { outcomes, timers } = this.#context;
    const now = timers.clock.monotonicMilliseconds();
    outcomes.record(this.server.id, isFailure, now);
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
    this.#responseTimer.cancel();
    this.#context.load.requestEnded(this.server.id);
    this.#context.metrics.attempts.inc({ result });
  }

  #onResponse(head: ResponseHead, listener: ExchangeListener): ResponseSink {
    this.#responseTimer.cancel();
    this.recordOutcome(head.status >= SERVER_ERROR_STATUS);
    return listener.onResponse(head);
  }
}
