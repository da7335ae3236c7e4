/** Callers of the soak: look up addresses, reuse connections and retry if safe. */
import { Agent, type IncomingMessage, request as sendRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  entryPath,
  readEntryResponse,
  type SoakRoute,
} from "../platform/soak_fleet.ts";
import type { RandomSource } from "../src/core/random.ts";
import type { GatewayHeaderNames } from "../src/gateway_protocol.ts";
import type { SoakRouter } from "./soak_routers.ts";

/** Host name that callers send requests to. */
export const HOST_NAME = "shop.example";
/** Deadline of one attempt; the caller waits no longer than this. */
export const DEADLINE_MILLISECONDS = 3_000;
const PAUSE_MILLISECONDS = 60;
const ADDRESS_CACHE_MILLISECONDS = 2_000;
const ENTRY_TIMEOUT_MILLISECONDS = 1_000;
const MAXIMUM_BODY_BYTES = 200;

/** One attempt of a request and its outcome, as the caller saw it. */
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
  endedAt: number;
  /** Undefined if no response head arrived. */
  status: number | undefined;
  isSigned: boolean;
  responseId: string | undefined;
  text: string;
  /** Whether the response ended as complete. */
  isComplete: boolean;
  /** Whether the connection was refused before anything could be sent. */
  wasRefused: boolean;
}

/** Dependencies and records that all callers share. */
export interface CallerContext {
  readonly headerNames: GatewayHeaderNames;
  readonly random: RandomSource;
  readonly now: () => number;
  readonly routers: readonly SoakRouter[];
  readonly routes: readonly SoakRoute[];
  readonly keys: () => readonly string[];
  readonly attempts: Attempt[];
}

const NOT_RUN_STATUSES = [408, 421, 429, 503];

/** Whether a response status guarantees that the request has not run. */
export function guaranteesNotRun(status: number | undefined): boolean {
  return status !== undefined && NOT_RUN_STATUSES.includes(status);
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

  constructor(context: CallerContext, number: number, dataCentre: string) {
    this.#context = context;
    this.#number = number;
    this.#dataCentre = dataCentre;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Sends requests until stopped; resolves once the last one has ended. */
  async run(): Promise<void> {
    const { random, routes } = this.#context;
    while (!this.#isStopped) {
      const route = routes[random.integer(routes.length)];
      if (route) await this.#sendWithRetry(route);
      await sleep(random.next() * PAUSE_MILLISECONDS);
    }
    this.#agent.destroy();
  }

  async #sendWithRetry(route: SoakRoute): Promise<void> {
    const router = await this.#chooseRouter();
    if (!router) return void await sleep(PAUSE_MILLISECONDS);
    const attempt = await this.#attempt(route, router);
    const isIdempotent = route.kind === "idempotent";
    const hasFailed = !attempt.isComplete || attempt.status === 502;
    const mayRetry = guaranteesNotRun(attempt.status) ||
      attempt.wasRefused || (isIdempotent && hasFailed);
    if (!mayRetry) return;
    const other = await this.#chooseRouter(router);
    if (other) await this.#attempt(route, other);
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

  #attempt(route: SoakRoute, router: SoakRouter): Promise<Attempt> {
    const { headerNames, random, now, keys, attempts } = this.#context;
    const number = this.#sent++;
    const usableKeys = keys();
    const attempt: Attempt = {
      requestId: `soak-${this.#number}-${number}`,
      route,
      method: "POST",
      path: `/${route.name}/${this.#number}/${number}?x=%20${number}`,
      body: "b".repeat(random.integer(MAXIMUM_BODY_BYTES)),
      key: usableKeys[random.integer(usableKeys.length)] ?? "",
      router: router.settings.host,
      sentAt: now(),
      endedAt: Infinity,
      status: undefined,
      isSigned: false,
      responseId: undefined,
      text: "",
      isComplete: false,
      wasRefused: false,
    };
    attempts.push(attempt);
    const [host = "", port = ""] = router.proxyAddress.split(":");
    return new Promise((resolve) => {
      function end(): void {
        clearTimeout(timer);
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
          [headerNames.deadline]: String(DEADLINE_MILLISECONDS),
          "content-length": Buffer.byteLength(attempt.body),
        },
      }, (response) => this.#read(response, attempt, end));
      const timer = setTimeout(
        () => outgoing.destroy(),
        DEADLINE_MILLISECONDS,
      );
      outgoing.on("error", (error: NodeJS.ErrnoException) => {
        attempt.wasRefused = error.code === "ECONNREFUSED";
        end();
      });
      outgoing.end(attempt.body);
    });
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
