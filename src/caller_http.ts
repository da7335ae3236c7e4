/** HTTP of the caller library: whole answers, JSON look-ups and open streams. */
import { err, ok, type Result } from "neverthrow";
import { readWhole as readBackendAnswer } from "./backend_response.ts";
import type { BackendTransport, UnreadResponse } from "./backend_transport.ts";
import {
  type ApplicationError,
  createError,
  ERROR_RESPONSES,
  type ErrorKind,
} from "./core/errors.ts";
import { brandId, type SocketAddress } from "./core/ids.ts";
import type { TimerService } from "./timer_service.ts";

const LOOK_UP_TIMEOUT_MILLISECONDS = 2_000;
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

/** A whole answer of a router. */
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
  readonly deadline: number;
}

/** What the HTTP part needs. */
export interface CallerHttpOptions {
  readonly transport: BackendTransport;
  readonly timers: TimerService;
  readonly workspaceKey: string;
}

/** HTTP to routers with the workspace's key. */
export interface CallerHttp {
  /** Opens an answer without reading its body. */
  open(
    address: string,
    request: CallerRequest,
  ): Promise<Result<UnreadResponse, ApplicationError>>;
  /** Sends a request once and reads the whole answer. */
  send(
    address: string,
    request: CallerRequest,
  ): Promise<Result<CallerResponse, ApplicationError>>;
  /** Reads JSON; undefined if there was no good answer. */
  getJson(address: string, path: string): Promise<unknown>;
}

/** Reads an answer to its end, or fails with `outcome_unknown`. */
export async function readWhole(
  opened: UnreadResponse,
): Promise<Result<CallerResponse, ApplicationError>> {
  const answer = await readBackendAnswer(opened, MAXIMUM_ANSWER_BYTES);
  if (answer.isErr()) return err(answer.error);
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(opened.headers)) {
    if (typeof value === "string") headers[name] = value;
  }
  return ok({ status: opened.status, headers, body: answer.value.body });
}

/**
 * Returns the router's own error, or undefined for an answer of the backend
 * server, which carries the name of that server and passes through unread.
 */
export function readFailure(
  answer: CallerResponse,
): ApplicationError | undefined {
  if (answer.status < 400 || answer.headers["x-sapphirecart-backend-server"]) {
    return undefined;
  }
  try {
    const body = JSON.parse(answer.body.toString("utf8")) as {
      error?: { code?: string; detail?: string; path?: string[] };
    };
    const code = body.error?.code ?? "";
    if (code in ERROR_RESPONSES) {
      return createError(
        code as ErrorKind,
        body.error?.detail ?? "",
        body.error?.path ?? [],
      );
    }
  } catch {
    // Falls through: an unreadable error says nothing about the work.
  }
  return createError("outcome_unknown", `status ${answer.status}`);
}

/** Creates the HTTP part of a caller. */
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
    return opened.isErr() ? err(opened.error) : readWhole(opened.value);
  }

  return {
    open,
    send,
    async getJson(address, path) {
      const deadline = timers.clock.monotonicMilliseconds() +
        LOOK_UP_TIMEOUT_MILLISECONDS;
      const answer = await send(address, {
        method: "GET",
        path,
        headers: {},
        body: undefined,
        deadline,
      });
      if (answer.isErr() || answer.value.status !== 200) return undefined;
      try {
        return JSON.parse(answer.value.body.toString("utf8")) as unknown;
      } catch {
        return undefined;
      }
    },
  };
}
