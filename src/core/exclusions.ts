/**
 * Backend servers that this router could not reach a moment ago. An exclusion
 * ends by itself: by then the server's steward has reported it as down if it is,
 * and a server that was only away for a moment is used again.
 */
import type { BackendServerId } from "./ids.ts";

/** The steward needs two failed observations, a second apart, to report a server. */
export const EXCLUSION_MILLISECONDS = 2_500;

/** Servers that are left out for a short time. */
export interface Exclusions {
  exclude(backendServer: BackendServerId, now: number): void;
  isExcluded(backendServer: BackendServerId, now: number): boolean;
}

/** Creates an empty list. */
export function createExclusions(): Exclusions {
  const excludedUntil = new Map<BackendServerId, number>();
  return {
    exclude(backendServer, now) {
      excludedUntil.set(backendServer, now + EXCLUSION_MILLISECONDS);
    },
    isExcluded(backendServer, now) {
      const until = excludedUntil.get(backendServer);
      if (until === undefined) return false;
      if (now < until) return true;
      excludedUntil.delete(backendServer);
      return false;
    },
  };
}
