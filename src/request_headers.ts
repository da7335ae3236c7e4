/** Reads what callers put into headers and paths, and picks what travels on. */
import type { IncomingHttpHeaders } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { type ApplicationError, createError } from "./core/errors.ts";
import { PRIORITIES, type Priority } from "./core/fleet_schema.ts";
import { brandId, type ChatId } from "./core/ids.ts";
import type { ServiceResponse } from "./service_call.ts";

/** Deadline of a request that names none, in milliseconds. */
export const DEFAULT_DEADLINE_MILLISECONDS = 60_000;
const MAXIMUM_DEADLINE_MILLISECONDS = 600_000;
const MAXIMUM_CHAT_ID_CHARACTERS = 128;

/** Headers that belong to one connection or to this system. */
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
const OWN_HEADER_PREFIX = "x-sapphirecart-";

/** Returns the end-to-end headers of a request. */
export function readForwardedHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (DROPPED_HEADERS.has(name) || name.startsWith(OWN_HEADER_PREFIX)) {
      continue;
    }
    if (typeof value === "string") forwarded[name] = value;
  }
  return forwarded;
}

/** Returns the headers of an answer for the caller. */
export function createResponseHeaders(
  answer: ServiceResponse,
): Record<string, string> {
  return {
    ...readForwardedHeaders(answer.headers),
    "x-sapphirecart-backend-server": answer.backendServer,
  };
}

/** Returns the chat id; an absent or oversized one counts as none. */
export function readChatId(headers: IncomingHttpHeaders): ChatId | undefined {
  const value = headers["x-sapphirecart-chat"];
  if (typeof value !== "string" || value.length > MAXIMUM_CHAT_ID_CHARACTERS) {
    return undefined;
  }
  return brandId<ChatId>(value);
}

/** Returns the requested priority, never above the workspace's own. */
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
 * the call that is classified as idempotent is the call that is sent.
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
    return err(createError("malformed_request", "not a path", ["path"]));
  }
  return err(
    createError("malformed_request", "the path leaves the service", ["path"]),
  );
}
