/**
 * Callers of the failure run of planned stops. Most keep their connection until the
 * router closes it; they avoid a router that failed them when they open another one.
 */
import { Agent, type IncomingMessage, request as sendRequest } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { SOAK_HEADER_NAMES as NAMES } from "../platform/soak_fleet.ts";
import type { RandomSource } from "../src/core/random.ts";
import { guaranteesNotRun } from "../stand_ins/request_guarantees.ts";
import {
  chooseRequest,
  type PlannedRequest,
  STOP_HOST_NAME,
} from "./stop_requests.ts";
import type { StopRouter } from "./stop_routers.ts";

/** API key of all callers. */
export const STOP_KEY = "key";

const LONGEST_PAUSE_MILLISECONDS = 600;
/** The caller disconnects this long after the deadline that it sent. */
const AFTER_DEADLINE_MILLISECONDS = 500;
const SLOW_READ_MILLISECONDS = 8;
/** Highest share of the remaining time that a caller waits before a retry. */
const LONGEST_WAIT_RATIO = 1 / 3;
const BODY_CHUNKS = 12;
const BODY_BYTE = "b";
const MILLISECONDS_PER_SECOND = 1_000;

/** One attempt of a caller, with its times since the Unix epoch. */
export interface StopAttempt {
  readonly requestId: string;
  readonly caller: number;
  readonly planned: PlannedRequest;
  readonly router: string;
  readonly isRetry: boolean;
  headAt: number;
  lastByteAt: number | undefined;
  endedAt: number;
  status: number | undefined;
  isComplete: boolean;
  /** Bytes of the response's body that arrived. */
  responseBytes: number;
  retryAfterSeconds: number | undefined;
  /** Error of the connection, such as `ECONNRESET`. */
  error: string | undefined;
}

/** What all callers of a run share. */
export interface StopCallerContext {
  readonly routers: readonly StopRouter[];
  readonly attempts: StopAttempt[];
}

function _hasFailed(attempt: StopAttempt): boolean {
  return !attempt.isComplete || (attempt.status ?? 0) >= 500;
}

/** A caller that sends one request at a time until it is stopped. */
export class StopCaller {
  readonly #context: StopCallerContext;
  readonly #random: RandomSource;
  readonly #number: number;
  readonly #readsSlowly: boolean;
  readonly #keepsConnection: boolean;
  readonly #home: StopRouter;
  readonly #failedRouters = new Set<string>();
  readonly #knownSockets = new WeakSet<Socket>();
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  #router: StopRouter | undefined;
  #goesHome = true;
  #sent = 0;
  #isStopped = false;

  constructor(
    context: StopCallerContext,
    options: {
      readonly number: number;
      readonly home: StopRouter;
      readonly readsSlowly: boolean;
      /** Otherwise each request gets a new connection, to any router. */
      readonly keepsConnection: boolean;
      readonly random: RandomSource;
    },
  ) {
    this.#context = context;
    this.#number = options.number;
    this.#home = options.home;
    this.#readsSlowly = options.readsSlowly;
    this.#keepsConnection = options.keepsConnection;
    this.#random = options.random;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** A router that has started again may be tried again; its own callers return. */
  onStarted(router: StopRouter): void {
    this.#failedRouters.delete(router.name);
    if (router === this.#home && this.#router !== router) this.#goesHome = true;
  }

  /** Sends requests until stopped; resolves once the last request has ended. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await sleep(1 + this.#random.next() * LONGEST_PAUSE_MILLISECONDS);
      const planned = chooseRequest(this.#random, this.#readsSlowly);
      await this.#sendWithRetry(planned);
      if (!this.#keepsConnection) this.#closeConnection();
    }
    this.#agent.destroy();
  }

  async #sendWithRetry(planned: PlannedRequest): Promise<void> {
    const attempt = await this.#send(planned, false);
    const mayRetry = guaranteesNotRun(attempt.status) ||
      attempt.error === "ECONNREFUSED" ||
      (planned.route.isIdempotent && _hasFailed(attempt));
    if (!mayRetry) return;
    const elapsed = attempt.endedAt - attempt.headAt;
    const remaining = planned.route.timeoutMilliseconds - elapsed;
    const wait = (attempt.retryAfterSeconds ?? 0) * MILLISECONDS_PER_SECOND;
    if (remaining <= 0 || wait > remaining * LONGEST_WAIT_RATIO) return;
    await sleep(wait);
    this.#closeConnection();
    await this.#send(planned, true);
  }

  #closeConnection(): void {
    this.#agent.destroy();
    this.#agent = new Agent({ keepAlive: true, maxSockets: 1 });
    this.#router = undefined;
  }

  #chooseRouter(): StopRouter {
    const { routers } = this.#context;
    const usable = routers.filter(({ name }) => !this.#failedRouters.has(name));
    const candidates = usable.length > 0 ? usable : routers;
    return candidates[this.#random.integer(candidates.length)] as StopRouter;
  }

  /** Returns the router of the open connection, or that of the next one. */
  #nextRouter(): StopRouter {
    if (this.#goesHome) {
      this.#goesHome = false;
      this.#closeConnection();
      this.#router = this.#home;
    }
    this.#router ??= this.#chooseRouter();
    return this.#router;
  }

  #watchConnection(socket: Socket, router: StopRouter): void {
    if (this.#knownSockets.has(socket)) return;
    this.#knownSockets.add(socket);
    socket.once("close", () => {
      if (this.#router === router) this.#router = undefined;
    });
  }

  async #send(planned: PlannedRequest, isRetry: boolean): Promise<StopAttempt> {
    const router = this.#nextRouter();
    const attempt: StopAttempt = {
      requestId: `c${this.#number}-${this.#sent++}`,
      caller: this.#number,
      planned,
      router: router.name,
      isRetry,
      headAt: Date.now(),
      lastByteAt: undefined,
      endedAt: Infinity,
      status: undefined,
      isComplete: false,
      responseBytes: 0,
      retryAfterSeconds: undefined,
      error: undefined,
    };
    this.#context.attempts.push(attempt);
    await this.#exchange(attempt, router);
    attempt.endedAt = Date.now();
    if (!attempt.isComplete) this.#failedRouters.add(router.name);
    return attempt;
  }

  #exchange(attempt: StopAttempt, router: StopRouter): Promise<void> {
    const { planned } = attempt;
    const { timeoutMilliseconds } = planned.route;
    const [host = "", port = ""] = router.settings.callers.split(":");
    return new Promise((resolve) => {
      const outgoing = sendRequest({
        agent: this.#agent,
        host,
        port: Number(port),
        method: "POST",
        path: planned.path,
        headers: {
          host: STOP_HOST_NAME,
          authorization: `Bearer ${STOP_KEY}`,
          [NAMES.requestId]: attempt.requestId,
          [NAMES.deadline]: String(timeoutMilliseconds),
          ...(planned.isChunked
            ? { "transfer-encoding": "chunked" }
            : { "content-length": planned.bodyBytes }),
        },
      }, (response) => void this.#read(response, attempt).then(end));
      const timer = setTimeout(
        () => outgoing.destroy(new Error("deadline")),
        timeoutMilliseconds + AFTER_DEADLINE_MILLISECONDS,
      );

      function end(): void {
        clearTimeout(timer);
        // The rest of a body whose response is complete is not sent.
        if (!outgoing.writableFinished) outgoing.destroy();
        resolve();
      }

      outgoing.once("socket", (socket) => {
        this.#watchConnection(socket, router);
        attempt.headAt = Date.now();
        if (!socket.connecting) return;
        socket.once("connect", () => (attempt.headAt = Date.now()));
      });
      outgoing.once("finish", () => (attempt.lastByteAt = Date.now()));
      outgoing.on("error", (error: NodeJS.ErrnoException) => {
        attempt.error ??= error.code ?? error.message;
        // Once a head has arrived, the response ends as well.
        if (attempt.status === undefined) end();
      });
      void this.#writeBody(outgoing, planned);
    });
  }

  async #writeBody(
    outgoing: ReturnType<typeof sendRequest>,
    { bodyBytes, bodyMilliseconds }: PlannedRequest,
  ): Promise<void> {
    outgoing.flushHeaders();
    if (bodyMilliseconds === 0) {
      outgoing.end(BODY_BYTE.repeat(bodyBytes));
      return;
    }
    const chunk = BODY_BYTE.repeat(bodyBytes / BODY_CHUNKS);
    for (let number = 1; number <= BODY_CHUNKS; number++) {
      await sleep(bodyMilliseconds / BODY_CHUNKS);
      if (outgoing.destroyed) return;
      if (number < BODY_CHUNKS) outgoing.write(chunk);
      else outgoing.end(chunk);
    }
  }

  async #read(response: IncomingMessage, attempt: StopAttempt): Promise<void> {
    attempt.status = response.statusCode;
    const retryAfter = response.headers["retry-after"];
    if (retryAfter) attempt.retryAfterSeconds = Number(retryAfter);
    try {
      for await (const chunk of response) {
        attempt.responseBytes += (chunk as Buffer).length;
        if (this.#readsSlowly) await sleep(SLOW_READ_MILLISECONDS);
      }
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      attempt.error ??= code ?? message;
    }
    attempt.isComplete = response.complete && attempt.error === undefined;
  }
}
