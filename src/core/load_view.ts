/**
 * The load as seen by a routing decision: tokens per backend server and the
 * mean of its pool, from the last load summary. The values lag by about a
 * second, so they are used to rank candidates, never to admit a request.
 */
import type { BackendServerId } from "./ids.ts";

/** The load of backend servers, from the last summary. */
export abstract class LoadView {
  /** Returns the load of a server as a multiple of its pool's mean (1 = mean). */
  abstract relativeLoad(backendServer: BackendServerId): number;
  /** Returns the load of a server in tokens. */
  abstract tokens(backendServer: BackendServerId): number;
  /** Returns the mean load of a pool's live servers in tokens. */
  abstract meanTokens(pool: number): number;
}
