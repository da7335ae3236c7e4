/** HTTP client of the caller library: complete responses, JSON and streams. */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  parseJson,
  readResponse as readBackendResponse,
} from "./backend_response.ts";
import type { BackendTransport, UnreadResponse } from "./backend_transport.ts";
import {
  type ApplicationError,
  createError,
  ERROR_RESPONSES,
  type ErrorKind,
} from "./core/errors.ts";
import { brandId, type SocketAddress } from "./core/ids.ts";
import type { TimerService } from "./timer_service.ts";

const JSON_TIMEOUT_MILLISECONDS = 2_000;
const MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;

/** A complete response of a router. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** A request to a router. */
export interface CallerRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Uint8Array | undefined;
  /** On the monotonic clock, in milliseconds. */
  readonly deadline: number;
}

/** Options of `createCallerHttp`. */
export interface CallerHttpOptions {
  readonly transport: BackendTransport;
  readonly timers: TimerService;
  readonly workspaceKey: string;
}

/** Sends HTTP requests to routers, authenticated with the workspace's key. */
export interface CallerHttp {
  /** Sends a request; resolves when the response headers arrive. */
  open(
    address: string,
    request: CallerRequest,
  ): Promise<Result<UnreadResponse, ApplicationError>>;
  /** Sends a request once and reads the complete response. */
  send(
    address: string,
    request: CallerRequest,
  ): Promise<Result<CallerResponse, ApplicationError>>;
  /** Gets JSON; undefined unless the response is valid JSON with status 200. */
  getJson(address: string, path: string): Promise<unknown>;
}

/** Reads a response to its end, or fails with `outcome_unknown`. */
export async function readResponse(
  unread: UnreadResponse,
): Promise<Result<CallerResponse, ApplicationError>> {
  const response = await readBackendResponse(unread, MAXIMUM_RESPONSE_BYTES);
  if (response.isErr()) return err(response.error);
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(unread.headers)) {
    if (typeof value === "string") headers[name] = value;
  }
  return ok({ status: unread.status, headers, body: response.value.body });
}

const _errorBodySchema = z.object({
  error: z.object({
    code: z.string().refine(_isErrorKind),
    detail: z.string().default(""),
    path: z.array(z.string()).default([]),
  }),
});

function _isErrorKind(code: string): code is ErrorKind {
  return Object.hasOwn(ERROR_RESPONSES, code);
}

/** Returns the error that a router describes in a body; undefined if it is none. */
export function parseErrorBody(
  body: Buffer | string,
): ApplicationError | undefined {
  const parsed = _errorBodySchema.safeParse(parseJson(body));
  if (!parsed.success) return undefined;
  const { code, detail, path } = parsed.data.error;
  return createError(code, detail, path);
}

/**
 * Returns the router's own error, or undefined for a success or a backend
 * server's response, which names the server in a header and whose body is not
 * interpreted.
 */
export function parseRouterError(
  response: CallerResponse,
): ApplicationError | undefined {
  if (
    response.status < 400 || response.headers["x-sapphirecart-backend-server"]
  ) {
    return undefined;
  }
  // An unreadable error body doesn't tell whether the request ran.
  return parseErrorBody(response.body) ?? createError(
    "outcome_unknown",
    `the router returned status ${response.status}`,
  );
}

/** Creates the HTTP client of a caller. */
export function createCallerHttp(options: CallerHttpOptions): CallerHttp {
  const { transport, timers } = options;

  function open(address: string, request: CallerRequest) {
    const remaining = request.deadline - timers.clock.monotonicMilliseconds();
    return transport.open({
      address: brandId<SocketAddress>(address),
      method: request.method,
      path: request.path,
      headers: {
        authorization: `Bearer ${options.workspaceKey}`,
        "x-sapphirecart-deadline-milliseconds": String(
          Math.max(1, Math.floor(remaining)),
        ),
        ...request.headers,
      },
      ...(request.body === undefined ? {} : { body: request.body }),
      idempotent: false,
      deadline: request.deadline,
    });
  }

  async function send(address: string, request: CallerRequest) {
    const opened = await open(address, request);
    return opened.isErr() ? err(opened.error) : readResponse(opened.value);
  }

  return {
    open,
    send,
    async getJson(address, path) {
      const deadline = timers.clock.monotonicMilliseconds() +
        JSON_TIMEOUT_MILLISECONDS;
      const response = await send(address, {
        method: "GET",
        path,
        headers: {},
        body: undefined,
        deadline,
      });
      if (response.isErr() || response.value.status !== 200) return undefined;
      return parseJson(response.value.body);
    },
  };
}
