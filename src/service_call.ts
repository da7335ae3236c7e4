/** Calls to plain services and their responses, within and between routers. */
import type { Priority } from "./core/fleet_schema.ts";
import type { RequestId, WorkspaceId } from "./core/ids.ts";

/** A call to a plain service. */
export interface ServiceCall {
  readonly id: RequestId;
  readonly workspace: WorkspaceId;
  readonly service: string;
  readonly method: string;
  /** Path and query on the backend server, beginning with a slash. */
  readonly path: string;
  /** End-to-end headers, without authorization and connection headers. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly priority: Priority;
  /** Deadline on this router's monotonic clock. */
  readonly deadlineMilliseconds: number;
}

/** The complete response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly backendServer: string;
}

/**
 * Whether a call matches one of the service's patterns of idempotent calls, of
 * the form `METHOD /path`, where a trailing `*` matches any rest of the path.
 */
export function isIdempotentCall(
  idempotentCalls: readonly string[],
  method: string,
  path: string,
): boolean {
  const pathOnly = path.split("?")[0] ?? path;
  return idempotentCalls.some((pattern) => {
    const [patternMethod = "", patternPath = ""] = pattern.split(" ");
    if (patternMethod !== method) return false;
    if (patternPath.endsWith("*")) {
      return pathOnly.startsWith(patternPath.slice(0, -1));
    }
    return pathOnly === patternPath;
  });
}
