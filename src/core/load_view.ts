/**
 * What a routing decision sees of the load: tokens per backend server and the
 * mean of its pool, as of the last load summary. The figures lag by about a
 * second, so they rank candidates and never grant a request.
 */
import type { BackendServerId } from "./ids.ts";

/** The lagged load of backend servers. */
export abstract class LoadView {
  /** Returns the load of a server as a multiple of its pool's mean (1 = mean). */
  abstract relativeLoad(backendServer: BackendServerId): number;
  /** Returns the load of a server in tokens. */
  abstract tokens(backendServer: BackendServerId): number;
  /** Returns the mean load of a pool's live servers in tokens. */
  abstract meanTokens(pool: number): number;
}
