/** What a soak run observes and the checks of its guarantees read. */
import type { Disturbances } from "./disturbances.ts";
import type { NamedRateLimit, Notice, Run } from "./soak_backends.ts";
import type { Attempt } from "./soak_callers.ts";

/** Observations of one soak run. */
export interface SoakRecord {
  readonly attempts: readonly Attempt[];
  readonly runs: readonly Run[];
  readonly notices: readonly Notice[];
  readonly rateLimits: readonly NamedRateLimit[];
  readonly disturbances: Disturbances;
  /** Time at which each key was revoked. */
  readonly revokedKeys: ReadonlyMap<string, number>;
  /** Time at which each incarnation of a server began to drain, by its id. */
  readonly drainedServers: ReadonlyMap<string, number>;
  readonly unexpectedExits: readonly string[];
}
