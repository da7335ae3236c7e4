/** What a soak run observes and the checks of its guarantees read. */
import type { ColdSpan } from "./cold_service.ts";
import { Disturbances } from "./disturbances.ts";
import type { EvacuationSpan } from "./evacuations.ts";
import type { MemoryPeaks } from "./memory_peaks.ts";
import type { Arrival, NamedRateLimit, Notice, Run } from "./soak_backends.ts";
import type { Attempt } from "./soak_callers.ts";
import type { Stall } from "./stalls.ts";
import type { StopSignal } from "./stop_guarantees.ts";

/** The runs of each request, by its id. */
export type RunsById = ReadonlyMap<string, readonly Run[]>;

/** A request of a greedy client, which never ends and must not run. */
export interface GreedyRequest {
  readonly requestId: string;
  readonly router: string;
  readonly sentAt: number;
}

/** Observations of one soak run. */
export interface SoakRecord {
  readonly attempts: readonly Attempt[];
  readonly greedyRequests: readonly GreedyRequest[];
  /** Requests that reached servers, in the order of their arrival. */
  readonly arrivals: readonly Arrival[];
  readonly runs: readonly Run[];
  /** Times in which servers of the cold service were cold. */
  readonly coldSpans: readonly ColdSpan[];
  readonly evacuations: readonly EvacuationSpan[];
  /** Empty in runs that state no memory in the settings. */
  readonly memoryPeaks: MemoryPeaks;
  readonly notices: readonly Notice[];
  readonly rateLimits: readonly NamedRateLimit[];
  readonly disturbances: Disturbances;
  /** Time at which each key was revoked. */
  readonly revokedKeys: ReadonlyMap<string, number>;
  /** Time at which each incarnation of a server began to drain, by its id. */
  readonly drainedServers: ReadonlyMap<string, number>;
  /** First stop signals of planned stops. */
  readonly stops: readonly StopSignal[];
  readonly unexpectedExits: readonly string[];
  /** Times in which the soak itself stood still. */
  readonly stalls: readonly Stall[];
}

/** Creates a record without observations but those given, for tests of the checks. */
export function createSoakRecord(parts: Partial<SoakRecord>): SoakRecord {
  return {
    attempts: [],
    greedyRequests: [],
    arrivals: [],
    runs: [],
    coldSpans: [],
    evacuations: [],
    memoryPeaks: new Map(),
    notices: [],
    rateLimits: [],
    disturbances: new Disturbances(),
    revokedKeys: new Map(),
    drainedServers: new Map(),
    stops: [],
    unexpectedExits: [],
    stalls: [],
    ...parts,
  };
}

/** Groups runs by the request that they belong to. */
export function groupRunsById(runs: readonly Run[]): RunsById {
  const byId = new Map<string, Run[]>();
  for (const run of runs) {
    const list = byId.get(run.requestId) ?? [];
    byId.set(run.requestId, list);
    list.push(run);
  }
  return byId;
}
