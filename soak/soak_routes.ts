/** Routes that callers of the soak use, and what is promised on them. */
import type { SoakColdService, SoakRoute } from "../platform/soak_fleet.ts";

/** Timeout of the routes that name none. */
export const ROUTE_TIMEOUT_MILLISECONDS = 2_500;
/** Deadline of an attempt, after which the caller closes its connection. */
export const DEADLINE_MILLISECONDS = 3_000;
/** Both exceed the grace time of a planned stop, as do the longest streams. */
const LONG_TIMEOUT_MILLISECONDS = 15_000;
const LONG_DEADLINE_MILLISECONDS = 15_500;

/** Routes whose requests are served within a fraction of a second. */
export const SHORT_ROUTES: readonly SoakRoute[] = [
  { name: "safe", kind: "idempotent", maximumBackendServers: 2 },
  { name: "once", kind: "non_idempotent", maximumBackendServers: 1 },
  { name: "stream", kind: "streaming", maximumBackendServers: 2 },
];

/** Routes of streams that may last longer than the grace time. */
export const LONG_ROUTES: readonly SoakRoute[] = [
  {
    name: "long",
    kind: "streaming",
    maximumBackendServers: 2,
    timeoutMilliseconds: LONG_TIMEOUT_MILLISECONDS,
  },
  {
    name: "long-once",
    kind: "streaming",
    maximumBackendServers: 1,
    timeoutMilliseconds: LONG_TIMEOUT_MILLISECONDS,
    isResumable: false,
  },
];

/** A service of its own, whose servers take few requests after their start. */
export const COLD_SERVICE: SoakColdService = {
  name: "cold-pool",
  requestsPerSecond: 9.3,
  coldSeconds: 4,
};

/** Route to the service whose servers restart cold. */
export const COLD_ROUTE: SoakRoute = {
  name: "cold",
  kind: "idempotent",
  maximumBackendServers: 2,
  service: COLD_SERVICE.name,
};

/** Whether a request may run at most once. */
export function mustRunOnce({ kind, isResumable }: SoakRoute): boolean {
  return kind === "non_idempotent" || isResumable === false;
}

/** Time that the routers have for a request. */
export function timeoutOf({ timeoutMilliseconds }: SoakRoute): number {
  return timeoutMilliseconds ?? ROUTE_TIMEOUT_MILLISECONDS;
}

/** Time after which callers give up an attempt. */
export function deadlineOf({ timeoutMilliseconds }: SoakRoute): number {
  return timeoutMilliseconds === undefined
    ? DEADLINE_MILLISECONDS
    : LONG_DEADLINE_MILLISECONDS;
}
