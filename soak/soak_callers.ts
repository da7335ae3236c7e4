/** Callers that look up addresses, reuse connections and retry if safe. */
import { Agent, type IncomingMessage, request as sendRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  entryPath,
  readEntryResponse,
  type SoakRoute,
} from "../platform/soak_fleet.ts";
import type { RandomSource } from "../src/core/random.ts";
import type { GatewayHeaderNames } from "../src/gateway_protocol.ts";
import { guaranteesNotRun } from "../stand_ins/request_guarantees.ts";
import { drawLongRequest, type RequestPace } from "./long_requests.ts";
import { sendBody } from "./sent_body.ts";
import type { SoakRouter } from "./soak_routers.ts";
import { deadlineOf } from "./soak_routes.ts";

/** Host name that callers send requests to. */
export const HOST_NAME = "shop.example";
const MAXIMUM_PAUSE_MILLISECONDS = 60;
const ADDRESS_CACHE_MILLISECONDS = 2_000;
const ENTRY_TIMEOUT_MILLISECONDS = 1_000;
const MAXIMUM_BODY_BYTES = 200;
/** Pause of a slow reader after each part of a response. */
const READ_PAUSE_MILLISECONDS = 20;

/** An attempt and its outcome as the caller saw it. */
export interface Attempt {
  readonly requestId: string;
  readonly route: SoakRoute;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly key: string;
  /** Host of the router that received the attempt. */
  readonly router: string;
  readonly sentAt: number;
  /** When the last byte of the body was sent; infinite if it never was. */
  bodySentAt: number;
  endedAt: number;
  /** Whether the attempt's connection reached the router behind its proxy. */
  hasReachedRouter: boolean;
  /** Undefined if no response head arrived. */
  status: number | undefined;
  isSigned: boolean;
  responseId: string | undefined;
  text: string;
  /** Whether the whole response arrived. */
  isComplete: boolean;
  /** Whether the connection was refused before anything could be sent. */
  wasRefused: boolean;
}

/** Routers, routes, keys and recorded attempts that all callers share. */
export interface CallerContext {
  readonly headerNames: GatewayHeaderNames;
  readonly random: RandomSource;
  readonly now: () => number;
  readonly routers: readonly SoakRouter[];
  readonly routes: readonly SoakRoute[];
  readonly keys: () => readonly string[];
  readonly attempts: Attempt[];
  /** Whether callers stay with a router until a request fails there. */
  readonly keepsConnections: boolean;
}

/** Creates an attempt of which nothing is known but what is sent. */
export function createAttempt(
  sent: Pick<
    Attempt,
    "requestId" | "route" | "path" | "body" | "key" | "router" | "sentAt"
  >,
): Attempt {
  return {
    ...sent,
    method: "POST",
    bodySentAt: Infinity,
    endedAt: Infinity,
    hasReachedRouter: false,
    status: undefined,
    isSigned: false,
    responseId: undefined,
    text: "",
    isComplete: false,
    wasRefused: false,
  };
}

/** Pauses a response after each part that arrives. */
function _readSlowly(response: IncomingMessage): void {
  response.on("data", () => {
    response.pause();
    setTimeout(() => response.resume(), READ_PAUSE_MILLISECONDS);
  });
}

/** A caller that sends one request at a time until it is stopped. */
export class SoakCaller {
  readonly #context: CallerContext;
  readonly #number: number;
  readonly #dataCentre: string;
  readonly #agent = new Agent({ keepAlive: true });
  #sent = 0;
  #addresses: readonly string[] = [];
  #addressesAt = -Infinity;
  #isStopped = false;
  /** Router whose open connection the caller keeps using. */
  #kept: SoakRouter | undefined;

  constructor(context: CallerContext, number: number, dataCentre: string) {
    this.#context = context;
    this.#number = number;
    this.#dataCentre = dataCentre;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Sends requests until stopped; resolves once the last request has ended. */
  async run(): Promise<void> {
    const { random, routes } = this.#context;
    while (!this.#isStopped) {
      const route = routes[random.integer(routes.length)];
      if (route) await this.#sendWithRetry(route);
      await sleep(random.next() * MAXIMUM_PAUSE_MILLISECONDS);
    }
    this.#agent.destroy();
  }

  async #sendWithRetry(route: SoakRoute): Promise<void> {
    const router = this.#kept ?? await this.#chooseRouter();
    if (!router) return void await sleep(MAXIMUM_PAUSE_MILLISECONDS);
    const attempt = await this.#sendAttempt(route, router);
    const { keepsConnections } = this.#context;
    this.#kept = keepsConnections && attempt.isComplete ? router : undefined;
    const isIdempotent = route.kind === "idempotent";
    const hasFailed = !attempt.isComplete || attempt.status === 502;
    const mayRetry = guaranteesNotRun(attempt.status) ||
      attempt.wasRefused || (isIdempotent && hasFailed);
    if (!mayRetry) return;
    const other = await this.#chooseRouter(router);
    if (other) await this.#sendAttempt(route, other);
  }

  async #chooseRouter(excluded?: SoakRouter): Promise<SoakRouter | undefined> {
    const { random, routers, now } = this.#context;
    const isStale = now() - this.#addressesAt > ADDRESS_CACHE_MILLISECONDS;
    if (isStale || this.#addresses.length === 0) await this.#fetchAddresses();
    const usable = routers.filter((router) =>
      this.#addresses.includes(router.settings.callers) && router !== excluded
    );
    return usable[random.integer(Math.max(1, usable.length))];
  }

  async #fetchAddresses(): Promise<void> {
    const { random, routers, now } = this.#context;
    const router = routers[random.integer(routers.length)];
    if (!router) return;
    const path = entryPath(this.#dataCentre);
    const text = await fetch(`http://${router.settings.entry}${path}`, {
      signal: AbortSignal.timeout(ENTRY_TIMEOUT_MILLISECONDS),
    }).then(
      (response) => response.status === 200 ? response.text() : undefined,
      () => undefined,
    );
    // Without a response the caller keeps its current addresses.
    if (text === undefined) return;
    this.#addresses = readEntryResponse(text);
    this.#addressesAt = now();
  }

  #sendAttempt(route: SoakRoute, router: SoakRouter): Promise<Attempt> {
    const { headerNames, random, now, keys, attempts } = this.#context;
    const number = this.#sent++;
    const usableKeys = keys();
    const pace = this.#drawPace(route);
    const attempt = createAttempt({
      requestId: `soak-${this.#number}-${number}`,
      route,
      path:
        `/${route.name}/${this.#number}/${number}?x=%20${number}${pace.query}`,
      body: pace.body,
      key: usableKeys[random.integer(usableKeys.length)] ?? "",
      router: router.settings.host,
      sentAt: now(),
    });
    attempts.push(attempt);
    const [host = "", port = ""] = router.proxyAddress.split(":");
    return new Promise((resolve) => {
      let localPort = 0;
      function end(): void {
        clearTimeout(timer);
        attempt.hasReachedRouter = router.proxy.hasReachedTarget(localPort);
        attempt.endedAt = Math.min(attempt.endedAt, now());
        resolve(attempt);
      }
      const outgoing = sendRequest({
        agent: this.#agent,
        host,
        port: Number(port),
        method: attempt.method,
        path: attempt.path,
        headers: {
          host: HOST_NAME,
          authorization: `Bearer ${attempt.key}`,
          [headerNames.requestId]: attempt.requestId,
          [headerNames.deadline]: String(deadlineOf(route)),
          // A body without a length is sent chunked.
          ...(pace.bodyParts > 1
            ? {}
            : { "content-length": Buffer.byteLength(attempt.body) }),
        },
      }, (response) => {
        if (pace.isReadSlowly) _readSlowly(response);
        this.#read(response, attempt, end);
      });
      const timer = setTimeout(() => outgoing.destroy(), deadlineOf(route));
      outgoing.on("socket", (socket) => {
        function readPort(): void {
          localPort = socket.localPort ?? 0;
        }
        if (socket.connecting) socket.once("connect", readPort);
        else readPort();
      });
      outgoing.on("error", (error: NodeJS.ErrnoException) => {
        attempt.wasRefused = error.code === "ECONNREFUSED";
        end();
      });
      void sendBody(outgoing, {
        body: pace.body,
        parts: pace.bodyParts,
        milliseconds: pace.bodyMilliseconds,
      }).then((isSent) => {
        if (isSent) attempt.bodySentAt = now();
      });
    });
  }

  #drawPace({ timeoutMilliseconds }: SoakRoute): RequestPace {
    const { random } = this.#context;
    if (timeoutMilliseconds !== undefined) return drawLongRequest(random);
    return {
      query: "",
      body: "b".repeat(random.integer(MAXIMUM_BODY_BYTES)),
      bodyParts: 1,
      bodyMilliseconds: 0,
      isReadSlowly: false,
    };
  }

  #read(response: IncomingMessage, attempt: Attempt, end: () => void): void {
    const { headerNames } = this.#context;
    attempt.status = response.statusCode;
    attempt.isSigned = response.headers[headerNames.signature] !== undefined;
    const id = response.headers[headerNames.requestId];
    attempt.responseId = typeof id === "string" ? id : undefined;
    response.on("data", (chunk) => (attempt.text += String(chunk)));
    response.on("error", end);
    response.on("close", () => {
      attempt.isComplete = response.complete;
      end();
    });
  }
}
