/**
 * Backend servers of the soak, in its own process. They record what they ran,
 * which is the truth that the promises are checked against.
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
import type { RandomSource } from "../src/core/random.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";

/** Events of one stream. */
export const STREAM_EVENTS = 8;
const EVENT_PAUSE_MILLISECONDS = 15;
const LONGEST_WORK_MILLISECONDS = 60;
const SLOTS = 16;

/** How a server behaves. */
export type BackendFault = "none" | "errors" | "loses_answers" | "mute";

/** Share of requests that a fault meets. */
const FAULT_SHARE = 0.4;

/** A request that a server ran. */
export interface Run {
  readonly requestId: string;
  readonly server: string;
  readonly at: number;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly workspace: string | undefined;
  readonly hasKey: boolean;
}

/** What servers share. */
export interface BackendContext {
  readonly names: GatewayHeaderNames;
  readonly random: RandomSource;
  readonly now: () => number;
  readonly runs: Run[];
}

/** The event with a number; the same from every server. */
export function eventText(path: string, number: number): string {
  return `id: ${number}\ndata: ${path} ${number}\n\n`;
}

/** The whole answer to a request. */
export function responseText(path: string, body: string): string {
  return `ran ${path} with ${body.length} bytes`;
}

/** One server; each start is a new incarnation with a new id. */
export class SoakBackend {
  readonly dataCentre: string;
  readonly slots = SLOTS;
  readonly proxy: LoopbackProxy;
  readonly #context: BackendContext;
  #server: Server | undefined;
  #ownAddress = "127.0.0.1:1";
  #id: string;
  #lives = 0;
  #inFlight = 0;
  address = "";
  fault: BackendFault = "none";
  isDraining = false;
  drainedAt = Infinity;

  constructor(context: BackendContext, name: string, dataCentre: string) {
    this.#context = context;
    this.#id = name;
    this.dataCentre = dataCentre;
    this.proxy = new LoopbackProxy(() => this.#ownAddress);
  }

  get id(): string {
    return `${this.#id}-${this.#lives}`;
  }

  /** Starts another life of the server. */
  async start(): Promise<void> {
    if (this.address === "") this.address = await this.proxy.start();
    this.#lives++;
    this.isDraining = false;
    this.drainedAt = Infinity;
    this.fault = "none";
    const server = createServer((request, response) => {
      // A connection that breaks while a request is read ends its handler.
      this.#handle(request, response, this.id).catch(() => response.destroy());
    });
    this.#server = server;
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    this.#ownAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Ends the server with all its connections. */
  crash(): void {
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
    const { names, random, runs, now } = this.#context;
    let body = "";
    for await (const chunk of request) body += String(chunk);
    const requestId = String(request.headers[names.requestId]);
    if (request.headers[names.expectedServer] !== id) {
      response.writeHead(421, { [names.notRun]: "1" }).end();
      return;
    }
    if (this.#inFlight >= this.slots) {
      response.writeHead(503, { [names.notRun]: "1" }).end();
      return;
    }
    const path = request.url ?? "";
    const workspace = request.headers[names.workspace];
    runs.push({
      requestId,
      server: id,
      at: now(),
      method: request.method ?? "",
      path,
      body,
      workspace: typeof workspace === "string" ? workspace : undefined,
      hasKey: request.headers.authorization !== undefined,
    });
    const fault = random.next() < FAULT_SHARE ? this.fault : "none";
    this.#inFlight++;
    await sleep(random.next() * LONGEST_WORK_MILLISECONDS);
    this.#inFlight--;
    await this.#answer(request, response, { requestId, path, body, fault });
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
    run: {
      readonly requestId: string;
      readonly path: string;
      readonly body: string;
      readonly fault: BackendFault;
    },
  ): Promise<void> {
    const { names } = this.#context;
    const { requestId, path, body, fault } = run;
    if (fault === "mute") return;
    if (fault === "loses_answers") return void response.destroy();
    const headers = {
      [names.requestId]: requestId,
      [names.signature]: `signed-${requestId}`,
    };
    if (fault === "errors") {
      response.writeHead(500, headers).end("error");
    } else if (path.startsWith("/stream/")) {
      response.writeHead(200, {
        ...headers,
        "content-type": "text/event-stream",
      });
      const first = Number(request.headers["last-event-id"] ?? 0) + 1;
      for (let number = first; number <= STREAM_EVENTS; number++) {
        if (response.destroyed) return;
        response.write(eventText(path, number));
        await sleep(EVENT_PAUSE_MILLISECONDS);
      }
      response.end();
    } else {
      response.writeHead(200, headers).end(responseText(path, body));
    }
  }
}
