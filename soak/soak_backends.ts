/**
 * Backend servers that run in the soak's own process. They record each request
 * that they run, and the guarantees are checked against these records.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { GatewayHeaderNames } from "../src/gateway_protocol.ts";
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";
import { readStreamPace } from "./long_requests.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";
import { MALFORMED_HEADS } from "./malformed_heads.ts";

/** Number of events in each streamed response. */
export const STREAM_EVENTS = 8;
const EVENT_PAUSE_MILLISECONDS = 15;
const LONGEST_WORK_MILLISECONDS = 60;
const SLOTS_PER_SERVER = 16;
const MALFORMED_SEED = 1;
/** No caller whose requests are checked sends as much. */
const MAXIMUM_KEPT_CHARACTERS = 65_536;

/** Fault that a backend server injects into its responses. */
export type BackendFault = "none" | "errors" | "loses_answers" | "mute";

/** Ratio of requests that a fault affects. */
const FAULT_RATIO = 0.4;

/** Record of a request that a server ran. */
export interface Run {
  readonly requestId: string;
  readonly server: string;
  readonly at: number;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly workspace: string | undefined;
  readonly hasKey: boolean;
  /** When the server ended its work, or its connection was closed. */
  endedAt: number;
  /** Whether the server broke off its response. */
  wasBrokenOff: boolean;
}

/** A request whose head reached a server, whether or not the server ran it. */
export interface Arrival {
  readonly requestId: string;
  readonly server: string;
  readonly dataCentre: string;
  readonly at: number;
  /** Whether it was meant for another server, and answered with 421. */
  readonly wasMisdirected: boolean;
}

/** What a server said about itself in the response to a request. */
export interface Notice {
  readonly requestId: string;
  readonly server: string;
  readonly at: number;
  /** End of the pause that the server asked for; undefined if it is leaving. */
  readonly pausedUntil: number | undefined;
}

/** A rate limit that a server named in the response to a request. */
export interface NamedRateLimit {
  readonly requestId: string;
  readonly server: string;
  readonly at: number;
  readonly requestsPerSecond: number;
}

/** Header names, clock, random source and records that all servers share. */
export interface BackendContext {
  readonly headerNames: GatewayHeaderNames;
  readonly random: RandomSource;
  readonly now: () => number;
  readonly arrivals: Arrival[];
  readonly runs: Run[];
  readonly notices: Notice[];
  readonly rateLimits: NamedRateLimit[];
}

/** Returns the text of an event, which is the same on every server. */
export function eventText(path: string, number: number): string {
  const padding = ".".repeat(readStreamPace(path)?.eventBytes ?? 0);
  return `id: ${number}\ndata: ${path} ${number}${padding}\n\n`;
}

/** Whether a path belongs to a route of streams. */
export function isStreamPath(path: string): boolean {
  return path.startsWith("/stream/") || path.startsWith("/long");
}

/** Returns the complete body of a response. */
export function responseText(path: string, body: string): string {
  return `ran ${path} with ${body.length} bytes`;
}

/** A backend server; each start is a new incarnation with a new id. */
export class SoakBackend {
  readonly dataCentre: string;
  readonly slots = SLOTS_PER_SERVER;
  readonly proxy: LoopbackProxy;
  readonly #context: BackendContext;
  #server: Server | undefined;
  #serverAddress = "127.0.0.1:1";
  #name: string;
  /** A source of its own keeps the other faults of a seed as they are. */
  readonly #malformed: RandomSource;
  #incarnation = 0;
  #inFlight = 0;
  /** Requests of the current incarnation whose responses have not ended. */
  #responding = new Set<ServerResponse>();
  address = "";
  fault: BackendFault = "none";
  /** Whether some responses have heads that no HTTP client accepts. */
  isMalformed = false;
  isDraining = false;
  /** Whether responses say that the server is leaving. */
  isLeaving = false;
  /** Requests per second that the server names as its limit, if it does. */
  requestsPerSecond: number | undefined;
  /** Until when the server rejects requests and asks for a pause. */
  pausedUntil = 0;
  drainedAt = Infinity;

  constructor(context: BackendContext, name: string, dataCentre: string) {
    this.#context = context;
    this.#name = name;
    this.#malformed = createSeededRandom(MALFORMED_SEED);
    this.dataCentre = dataCentre;
    this.proxy = new LoopbackProxy(() => this.#serverAddress);
  }

  get id(): string {
    return `${this.#name}-${this.#incarnation}`;
  }

  /** Starts a new incarnation of the server, under a new id by default. */
  async start(options: { readonly keepsId?: boolean } = {}): Promise<void> {
    if (this.address === "") this.address = await this.proxy.start();
    if (!options.keepsId) this.#incarnation++;
    this.#responding = new Set();
    this.isDraining = false;
    this.isLeaving = false;
    this.requestsPerSecond = undefined;
    this.pausedUntil = 0;
    this.drainedAt = Infinity;
    this.fault = "none";
    this.isMalformed = false;
    const server = createServer((request, response) => {
      // The handler rejects if the connection breaks while it reads the body.
      this.#handle(request, response, this.id).catch(() => response.destroy());
    });
    this.#server = server;
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    this.#serverAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Whether the server still works on a request. */
  get isBusy(): boolean {
    return this.#responding.size > 0;
  }

  /** Closes the server and all its connections at once. */
  crash(): void {
    for (const response of this.#responding) response.destroy();
    this.#responding.clear();
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#server = undefined;
  }

  stop(): void {
    this.crash();
    this.proxy.stop();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
  ): Promise<void> {
    const { headerNames, random, runs, now } = this.#context;
    const requestId = String(request.headers[headerNames.requestId]);
    const wasMisdirected = request.headers[headerNames.expectedServer] !== id;
    const { dataCentre } = this;
    this.#context.arrivals.push({
      requestId,
      server: id,
      dataCentre,
      at: now(),
      wasMisdirected,
    });
    let body = "";
    for await (const chunk of request) {
      if (body.length < MAXIMUM_KEPT_CHARACTERS) body += String(chunk);
    }
    const refusal = {
      [headerNames.notRun]: "1",
      [headerNames.requestId]: requestId,
    };
    if (wasMisdirected) {
      response.writeHead(421, refusal).end();
      return;
    }
    const pauseMilliseconds = this.pausedUntil - now();
    if (pauseMilliseconds > 0) {
      this.#recordNotice(requestId, this.pausedUntil);
      const seconds = (pauseMilliseconds / 1_000).toFixed(3);
      response.writeHead(503, { ...refusal, "retry-after": seconds }).end();
      return;
    }
    if (this.#inFlight >= this.slots) {
      response.writeHead(503, refusal).end();
      return;
    }
    const path = request.url ?? "";
    const workspace = request.headers[headerNames.workspace];
    const run: Run = {
      requestId,
      server: id,
      at: now(),
      method: request.method ?? "",
      path,
      body,
      workspace: typeof workspace === "string" ? workspace : undefined,
      hasKey: request.headers.authorization !== undefined,
      endedAt: Infinity,
      wasBrokenOff: false,
    };
    runs.push(run);
    this.#follow(response, run);
    const fault = random.next() < FAULT_RATIO ? this.fault : "none";
    this.#inFlight++;
    await sleep(random.next() * LONGEST_WORK_MILLISECONDS);
    this.#inFlight--;
    if (this.isMalformed && this.#malformed.next() < FAULT_RATIO) {
      this.#respondMalformed(response, requestId);
      return;
    }
    await this.#respond(request, response, { requestId, path, body, fault });
  }

  #respondMalformed(response: ServerResponse, requestId: string): void {
    const { headerNames } = this.#context;
    this.#responding.delete(response);
    const head = MALFORMED_HEADS[
      this.#malformed.integer(MALFORMED_HEADS.length)
    ];
    response.socket?.end(
      `${head}${headerNames.requestId}: ${requestId}\r\n` +
        `${headerNames.signature}: signed-${requestId}\r\n\r\n`,
    );
  }

  /** Records when a run ends, and whether the server itself broke it off. */
  #follow(response: ServerResponse, run: Run): void {
    const responding = this.#responding;
    responding.add(response);
    const end = () => {
      run.endedAt = Math.min(run.endedAt, this.#context.now());
      responding.delete(response);
    };
    response.on("finish", end);
    response.on("close", () => {
      // A response that its server destroys is removed or marked before.
      run.wasBrokenOff ||= !response.writableFinished &&
        !responding.has(response);
      end();
    });
  }

  #recordNotice(requestId: string, pausedUntil: number | undefined): void {
    const { notices, now } = this.#context;
    notices.push({ requestId, server: this.id, at: now(), pausedUntil });
  }

  /** Returns the header that names the server's limit, if it has one. */
  #nameRateLimit(requestId: string): Record<string, string> {
    const { requestsPerSecond } = this;
    if (requestsPerSecond === undefined) return {};
    const { headerNames, rateLimits, now } = this.#context;
    const server = this.id;
    rateLimits.push({ requestId, server, at: now(), requestsPerSecond });
    return { [headerNames.rateLimit]: String(requestsPerSecond) };
  }

  async #respond(
    request: IncomingMessage,
    response: ServerResponse,
    run: {
      readonly requestId: string;
      readonly path: string;
      readonly body: string;
      readonly fault: BackendFault;
    },
  ): Promise<void> {
    const { headerNames } = this.#context;
    const { requestId, path, body, fault } = run;
    if (fault === "mute") return;
    if (fault === "loses_answers") {
      this.#responding.delete(response);
      return void response.destroy();
    }
    if (this.isLeaving) this.#recordNotice(requestId, undefined);
    const headers = {
      [headerNames.requestId]: requestId,
      [headerNames.signature]: `signed-${requestId}`,
      ...(this.isLeaving ? { [headerNames.leaving]: "1" } : {}),
      ...this.#nameRateLimit(requestId),
    };
    if (fault === "errors") {
      response.writeHead(500, headers).end("error");
    } else if (isStreamPath(path)) {
      response.writeHead(200, {
        ...headers,
        "content-type": "text/event-stream",
      });
      const pace = readStreamPace(path);
      const pause = pace
        ? pace.milliseconds / STREAM_EVENTS
        : EVENT_PAUSE_MILLISECONDS;
      const first = Number(request.headers["last-event-id"] ?? 0) + 1;
      for (let number = first; number <= STREAM_EVENTS; number++) {
        if (response.destroyed) return;
        response.write(eventText(path, number));
        await sleep(pause);
      }
      response.end();
    } else {
      response.writeHead(200, headers).end(responseText(path, body));
    }
  }
}
