/** Parses callers' headers and paths, and selects the headers to forward. */
import type { IncomingHttpHeaders } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { type ApplicationError, createError } from "./core/errors.ts";
import { PRIORITIES, type Priority } from "./core/fleet_schema.ts";
import { brandId, type ChatId } from "./core/ids.ts";
import type { ServiceResponse } from "./service_call.ts";

/** Time allowed for a request without a deadline. */
export const DEFAULT_DEADLINE_MILLISECONDS = 60_000;
const MAXIMUM_DEADLINE_MILLISECONDS = 600_000;
const MAXIMUM_CHAT_ID_CHARACTERS = 128;

/** Hop-by-hop headers and others that this system sets itself. */
const DROPPED_HEADERS = new Set([
  "authorization",
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);
const INTERNAL_HEADER_PREFIX = "x-sapphirecart-";

/** Returns the headers that are forwarded. */
export function readForwardedHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (DROPPED_HEADERS.has(name) || name.startsWith(INTERNAL_HEADER_PREFIX)) {
      continue;
    }
    if (typeof value === "string") forwarded[name] = value;
  }
  return forwarded;
}

/** Returns the headers of a response to the caller. */
export function createResponseHeaders(
  response: ServiceResponse,
): Record<string, string> {
  return {
    ...readForwardedHeaders(response.headers),
    "x-sapphirecart-backend-server": response.backendServer,
  };
}

/** Returns the chat id; undefined if it is missing or too long. */
export function readChatId(headers: IncomingHttpHeaders): ChatId | undefined {
  const value = headers["x-sapphirecart-chat"];
  if (typeof value !== "string" || value.length > MAXIMUM_CHAT_ID_CHARACTERS) {
    return undefined;
  }
  return brandId<ChatId>(value);
}

/** Returns the requested priority, capped at the workspace's priority. */
export function readPriority(
  headers: IncomingHttpHeaders,
  workspace: Priority,
): Priority {
  const requested = PRIORITIES.findIndex((name) =>
    name === headers["x-sapphirecart-priority"]
  );
  const allowed = PRIORITIES.indexOf(workspace);
  return PRIORITIES[Math.max(requested, allowed)] ?? workspace;
}

/** Returns the deadline on the monotonic clock. */
export function readDeadline(
  headers: IncomingHttpHeaders,
  nowMilliseconds: number,
): number {
  const remaining = Number(headers["x-sapphirecart-deadline-milliseconds"]);
  const valid = Number.isFinite(remaining) && remaining > 0;
  const allowed = valid ? remaining : DEFAULT_DEADLINE_MILLISECONDS;
  return nowMilliseconds + Math.min(allowed, MAXIMUM_DEADLINE_MILLISECONDS);
}

/**
 * Returns the path on the backend server with dot segments resolved, so that
 * the path checked for idempotency is the path that is sent.
 */
export function readServicePath(
  service: string,
  url: string,
): Result<string, ApplicationError> {
  const prefix = `/v1/services/${service}`;
  try {
    const { pathname, search } = new URL(url, "http://router");
    if (pathname.startsWith(`${prefix}/`)) {
      return ok(pathname.slice(prefix.length) + search);
    }
  } catch {
    return err(
      createError("malformed_request", "the path is invalid", ["path"]),
    );
  }
  return err(
    createError("malformed_request", "the path is outside the service", [
      "path",
    ]),
  );
}
