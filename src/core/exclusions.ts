/**
 * Backend servers that this router recently failed to reach. An exclusion
 * expires: by then the server's owner has reported the server as down if it is,
 * and a server that was unreachable only briefly is used again.
 */
import type { BackendServerId } from "./ids.ts";

/**
 * Duration of an exclusion: the server's owner needs two failed observations, a
 * second apart, to report it as down.
 */
export const EXCLUSION_MILLISECONDS = 2_500;

/** Servers that are temporarily excluded. */
export interface Exclusions {
  exclude(backendServer: BackendServerId, now: number): void;
  isExcluded(backendServer: BackendServerId, now: number): boolean;
}

/** Creates an empty set of exclusions. */
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
