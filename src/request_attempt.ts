/**
 * The attempt of a request at one backend server: it counts as load while it
 * lasts, and a server that stays silent for too long becomes suspect.
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

/** Statuses from here on are failures of the server. */
export const SERVER_ERROR = 500;

/** The parts that attempts share. */
export interface AttemptContext {
  readonly connections: BackendConnections;
  readonly protocol: GatewayProtocol;
  readonly load: FleetLoad;
  readonly outcomes: ServerOutcomes;
  readonly timers: TimerService;
  readonly metrics: GatewayMetrics;
}

/** What is sent, and who hears of the result. */
export interface AttemptOptions extends
  Pick<
    ExchangeOptions,
    "server" | "requestId" | "method" | "path" | "headers" | "body"
  > {
  readonly listener: ExchangeListener & { onSilent(): void };
  /** A server without an answer for this long is suspect. */
  readonly silenceMilliseconds: number;
}

/** One attempt. */
export class RequestAttempt {
  readonly server: RegisteredServer;
  readonly exchange: Exchange;
  readonly #context: AttemptContext;
  readonly #silence: Subscription;
  #isOver = false;

  constructor(context: AttemptContext, options: AttemptOptions) {
    const { connections, protocol, load, timers } = context;
    const { listener, silenceMilliseconds, ...sent } = options;
    this.#context = context;
    this.server = options.server;
    load.requestStarted(options.server.id);
    this.#silence = timers.after(silenceMilliseconds, "silent server", () => {
      this.record(true);
      listener.onSilent();
    });
    this.exchange = startExchange({
      ...sent,
      connections,
      protocol,
      clock: timers.clock,
      listener: {
        onNotSent: (reason, detail) => listener.onNotSent(reason, detail),
        onNotRun: (status) => listener.onNotRun(status),
        onUnknown: (detail) => {
          this.record(true);
          listener.onUnknown(detail);
        },
        onResponse: (head) => this.#onAnswer(head, listener),
      },
    });
  }

  /** Counts an outcome at the server. */
  record(isFailure: boolean): void {
    const { outcomes, timers } = this.#context;
    const now = timers.clock.monotonicMilliseconds();
    outcomes.record(this.server.id, isFailure, now);
  }

  /** Ends the attempt and what is left of its exchange. */
  cancel(result: string): void {
    if (this.#isOver) return;
    this.leave(result);
    this.exchange.cancel();
  }

  /** Ends the attempt; the rest of an answer is read and dropped. */
  leave(result: string): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#silence.cancel();
    this.#context.load.requestEnded(this.server.id);
    this.#context.metrics.attempts.inc({ result });
  }

  #onAnswer(head: ResponseHead, listener: ExchangeListener): ResponseSink {
    this.#silence.cancel();
    this.record(head.status >= SERVER_ERROR);
    return listener.onResponse(head);
  }
}
