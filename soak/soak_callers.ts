/** Callers of the soak: they ask for addresses, keep connections and repeat as allowed. */
import { Agent, type IncomingMessage, request as send } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  entryPath,
  readEntryResponse,
  type SoakRoute,
} from "../platform/soak_fleet.ts";
import type { RandomSource } from "../src/core/random.ts";
import type { GatewayHeaderNames } from "../src/gateway_protocol.ts";
import type { SoakRouter } from "./soak_routers.ts";

/** Name of the host that callers ask for. */
export const HOST_NAME = "shop.example";
/** How long a caller waits for one attempt. */
export const DEADLINE_MILLISECONDS = 3_000;
const PAUSE_MILLISECONDS = 60;
const KEPT_ADDRESS_MILLISECONDS = 2_000;
const ENTRY_LIMIT_MILLISECONDS = 1_000;
const BODY_BYTES = 200;

/** How an attempt ended, as its caller saw it. */
export interface Attempt {
  readonly requestId: string;
  readonly route: SoakRoute;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly key: string;
  /** Host of the router that was asked. */
  readonly router: string;
  readonly sentAt: number;
  endedAt: number;
  /** Undefined if no head of an answer came. */
  status: number | undefined;
  isSigned: boolean;
  answeredId: string | undefined;
  text: string;
  /** Whether the answer ended as complete. */
  isComplete: boolean;
  /** Whether the connection was refused before anything could be sent. */
  wasRefused: boolean;
}

/** What callers share. */
export interface CallerContext {
  readonly names: GatewayHeaderNames;
  readonly random: RandomSource;
  readonly now: () => number;
  readonly routers: readonly SoakRouter[];
  readonly routes: readonly SoakRoute[];
  readonly keys: () => readonly string[];
  readonly attempts: Attempt[];
}

const NOT_RUN_STATUSES = [408, 421, 429, 503];

/** Whether an answer promises that the request has not run. */
export function guaranteesNotRun(status: number | undefined): boolean {
  return status !== undefined && NOT_RUN_STATUSES.includes(status);
}

/** One caller that sends a request after the other until stopped. */
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

  /** Sends requests until stopped; resolves after the last one. */
  async run(): Promise<void> {
    const { random, routes } = this.#context;
    while (!this.#isStopped) {
      const route = routes[random.integer(routes.length)];
      if (route) await this.#serve(route);
      await sleep(random.next() * PAUSE_MILLISECONDS);
    }
    this.#agent.destroy();
  }

  async #serve(route: SoakRoute): Promise<void> {
    const router = await this.#chooseRouter();
    if (!router) return void await sleep(PAUSE_MILLISECONDS);
    const attempt = await this.#attempt(route, router);
    const isRepeatable = route.kind === "idempotent";
    const failed = !attempt.isComplete || attempt.status === 502;
    const mayRepeat = guaranteesNotRun(attempt.status) ||
      attempt.wasRefused || (isRepeatable && failed);
    if (!mayRepeat) return;
    const other = await this.#chooseRouter(router);
    if (other) await this.#attempt(route, other);
  }

  async #chooseRouter(except?: SoakRouter): Promise<SoakRouter | undefined> {
    const { random, routers, now } = this.#context;
    const isOld = now() - this.#addressesAt > KEPT_ADDRESS_MILLISECONDS;
    if (isOld || this.#addresses.length === 0) await this.#askForAddresses();
    const usable = routers.filter((router) =>
      this.#addresses.includes(router.settings.callers) && router !== except
    );
    return usable[random.integer(Math.max(1, usable.length))];
  }

  async #askForAddresses(): Promise<void> {
    const { random, routers, now } = this.#context;
    const router = routers[random.integer(routers.length)];
    if (!router) return;
    const path = entryPath(this.#dataCentre);
    const text = await fetch(`http://${router.settings.entry}${path}`, {
      signal: AbortSignal.timeout(ENTRY_LIMIT_MILLISECONDS),
    }).then(
      (answer) => answer.status === 200 ? answer.text() : undefined,
      () => undefined,
    );
    // Without an answer the caller keeps the addresses that it has.
    if (text === undefined) return;
    this.#addresses = readEntryResponse(text);
    this.#addressesAt = now();
  }

  #attempt(route: SoakRoute, router: SoakRouter): Promise<Attempt> {
    const { names, random, now, keys, attempts } = this.#context;
    const number = this.#sent++;
    const known = keys();
    const attempt: Attempt = {
      requestId: `soak-${this.#number}-${number}`,
      route,
      method: "POST",
      path: `/${route.name}/${this.#number}/${number}?x=%20${number}`,
      body: "b".repeat(random.integer(BODY_BYTES)),
      key: known[random.integer(known.length)] ?? "",
      router: router.settings.host,
      sentAt: now(),
      endedAt: Infinity,
      status: undefined,
      isSigned: false,
      answeredId: undefined,
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
      const outgoing = send({
        agent: this.#agent,
        host,
        port: Number(port),
        method: attempt.method,
        path: attempt.path,
        headers: {
          host: HOST_NAME,
          authorization: `Bearer ${attempt.key}`,
          [names.requestId]: attempt.requestId,
          [names.deadline]: String(DEADLINE_MILLISECONDS),
          "content-length": Buffer.byteLength(attempt.body),
        },
      }, (answer) => this.#read(answer, attempt, end));
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

  #read(answer: IncomingMessage, attempt: Attempt, end: () => void): void {
    const { names } = this.#context;
    attempt.status = answer.statusCode;
    attempt.isSigned = answer.headers[names.signature] !== undefined;
    const id = answer.headers[names.requestId];
    attempt.answeredId = typeof id === "string" ? id : undefined;
    answer.on("data", (chunk) => (attempt.text += String(chunk)));
    answer.on("error", end);
    answer.on("close", () => {
      attempt.isComplete = answer.complete;
      end();
    });
  }
}
