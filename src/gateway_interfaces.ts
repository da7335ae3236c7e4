/**
 * The small interfaces beside the caller port: readiness, entry addresses,
 * metrics and the state dump.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  chooseEntryAddresses,
  type EntryRouter,
} from "./core/entry_addresses.ts";
import type { EntryFormat } from "./entry_format.ts";
import type { ListenAddress } from "./listen_address.ts";

const NO_CONTENT = "";

/** What the interfaces answer with. */
export interface GatewayInterfacesOptions {
  readonly isServing: () => boolean;
  readonly routers: () => readonly EntryRouter[];
  readonly entryFormat: EntryFormat;
  /** How long callers may keep entry addresses, in milliseconds. */
  readonly keepMilliseconds: number;
  readonly metricsText: () => Promise<string>;
  readonly describe: () => unknown;
}

/** Opens a server and resolves once it accepts connections. */
export function listen(server: Server, address: ListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

function _send(
  response: ServerResponse,
  status: number,
  body: string,
  type = "application/json",
): void {
  response.writeHead(status, {
    "content-type": type,
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

function _sendEntry(
  request: IncomingMessage,
  response: ServerResponse,
  options: GatewayInterfacesOptions,
): void {
  const question = options.entryFormat.readRequest(request.url ?? "/");
  if (!question) return _send(response, 404, NO_CONTENT);
  const addresses = chooseEntryAddresses(
    options.routers(),
    question.dataCentre,
  );
  if (addresses.length === 0) return _send(response, 503, NO_CONTENT);
  const { keepMilliseconds, entryFormat } = options;
  _send(
    response,
    200,
    entryFormat.writeResponse({ addresses, keepMilliseconds }),
  );
}

async function _sendOwn(
  request: IncomingMessage,
  response: ServerResponse,
  options: GatewayInterfacesOptions,
): Promise<void> {
  switch (request.url) {
    case "/ready":
      return _send(response, options.isServing() ? 200 : 503, NO_CONTENT);
    case "/metrics":
      return _send(
        response,
        200,
        await options.metricsText(),
        "text/plain; version=0.0.4",
      );
    case "/state":
      return _send(response, 200, JSON.stringify(options.describe()));
    default:
      return _send(response, 404, NO_CONTENT);
  }
}

/** Creates the server that tells callers which routers to use. */
export function createEntryServer(options: GatewayInterfacesOptions): Server {
  return createServer((request, response) =>
    _sendEntry(request, response, options)
  );
}

/** Creates the server for readiness, metrics and the state dump. */
export function createStatusServer(options: GatewayInterfacesOptions): Server {
  return createServer((request, response) => {
    _sendOwn(request, response, options).catch((cause: Error) =>
      _send(response, 500, cause.message, "text/plain")
    );
  });
}
