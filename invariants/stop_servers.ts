/**
 * Backend servers of the failure run of planned stops. A request says in its query
 * how long it takes; the servers record when they worked on it.
 */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { SOAK_HEADER_NAMES as NAMES } from "../platform/soak_fleet.ts";

const EVENT_PERIOD_MILLISECONDS = 120;
const EVENT_TEXT = "x".repeat(400);

/** How a request is to be served. */
export interface ServerWork {
  readonly milliseconds: number;
  readonly responseBytes: number;
  /** Whether the server ends its response early. */
  readonly breaksOff: boolean;
}

/** Work on one request, as it goes on. */
export interface RecordedRun {
  readonly startedAt: number;
  endedAt: number | undefined;
  hasBrokenOff: boolean;
}

/** Returns the query by which a request tells the server its work. */
export function writeWorkQuery(work: ServerWork): string {
  const { milliseconds, responseBytes, breaksOff } = work;
  return `?milliseconds=${milliseconds}&bytes=${responseBytes}&breaks=${
    breaksOff ? 1 : 0
  }`;
}

function _readWork(url: URL): ServerWork {
  return {
    milliseconds: Number(url.searchParams.get("milliseconds")),
    responseBytes: Number(url.searchParams.get("bytes")),
    breaksOff: url.searchParams.get("breaks") === "1",
  };
}

/** A server that works as its requests say. */
export class StopServer {
  readonly id: string;
  readonly #runs: Map<string, RecordedRun[]>;
  readonly #server: Server;
  address = "";

  /** The runs of all servers share one map, by request id. */
  constructor(id: string, runs: Map<string, RecordedRun[]>) {
    this.id = id;
    this.#runs = runs;
    this.#server = createServer((request, response) => {
      // The handler rejects if the connection breaks while it reads the body.
      this.#handle(request, response).catch(() => response.destroy());
    });
  }

  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = String(request.headers[NAMES.requestId]);
    const headers = {
      [NAMES.requestId]: requestId,
      [NAMES.signature]: `signed-${requestId}`,
    };
    if (request.headers[NAMES.expectedServer] !== this.id) {
      response.writeHead(421, { ...headers, [NAMES.notRun]: "1" }).end();
      return;
    }
    const run = this.#record(requestId, response);
    request.resume();
    await once(request, "end");
    const url = new URL(request.url ?? "", "http://server");
    const work = _readWork(url);
    if (url.pathname.startsWith("/long") || url.pathname.startsWith("/short")) {
      await this.#stream(response, { work, headers, run });
    } else {
      await sleep(work.milliseconds);
      response.writeHead(200, headers);
      response.end(Buffer.alloc(work.responseBytes, "x"));
    }
  }

  #record(requestId: string, response: ServerResponse): RecordedRun {
    const run: RecordedRun = {
      startedAt: Date.now(),
      endedAt: undefined,
      hasBrokenOff: false,
    };
    this.#runs.set(requestId, [...this.#runs.get(requestId) ?? [], run]);
    response.once("close", () => (run.endedAt = Date.now()));
    return run;
  }

  async #stream(
    response: ServerResponse,
    { work, headers, run }: {
      readonly work: ServerWork;
      readonly headers: Readonly<Record<string, string>>;
      readonly run: RecordedRun;
    },
  ): Promise<void> {
    const events = Math.max(
      1,
      Math.round(work.milliseconds / EVENT_PERIOD_MILLISECONDS),
    );
    for (let number = 1; number <= events; number++) {
      await sleep(work.milliseconds / events);
      if (response.destroyed) return;
      if (!response.headersSent) {
        response.writeHead(200, {
          ...headers,
          "content-type": "text/event-stream",
        });
      }
      response.write(`id: ${number}\ndata: ${EVENT_TEXT}\n\n`);
      if (work.breaksOff && number * 2 >= events) {
        run.hasBrokenOff = true;
        response.destroy();
        return;
      }
    }
    response.end();
  }
}
