/** How the entry routers of the skew bench choose which stewards to ask. */
import type { BackendServerId } from "../src/core/ids.ts";
import type { RandomSource } from "../src/core/random.ts";
import { hash32, rankByRendezvous } from "../src/core/rendezvous.ts";
import type { SimulatedRequest } from "./skew_workload.ts";

const AFFINITY_SERVERS = 4;
const AFFINITY_CANDIDATES = 2;
const SAMPLED_SERVERS = 16;
const LEAST_LOADED_CANDIDATES = 3;

/** Chooses candidates: servers of the workspace first, then lightly loaded ones. */
export interface CandidateChoice {
  candidatesOf(
    request: SimulatedRequest,
    relativeLoads: ReadonlyMap<BackendServerId, number>,
  ): number[];
}

/** Creates the choice of candidates among named servers. */
export function createCandidateChoice(
  names: readonly BackendServerId[],
  random: RandomSource,
): CandidateChoice {
  const indices = names.map((_name, index) => index);
  const affinity = new Map<string, readonly number[]>();

  function preferredOf(workspace: string): readonly number[] {
    const known = affinity.get(workspace);
    if (known) return known;
    const preferred = rankByRendezvous(
      workspace,
      indices,
      (at) => names[at] ?? "",
    ).slice(0, AFFINITY_SERVERS);
    affinity.set(workspace, preferred);
    return preferred;
  }

  function candidatesOf(
    request: SimulatedRequest,
    relativeLoads: ReadonlyMap<BackendServerId, number>,
  ): number[] {
    const preferred = preferredOf(request.workspace);
    const own = hash32(request.chat) % preferred.length;
    const candidates = new Set<number>();
    for (let step = 0; step < AFFINITY_CANDIDATES; step++) {
      candidates.add(preferred[(own + step) % preferred.length] ?? 0);
    }
    const sampled = Array.from({ length: SAMPLED_SERVERS }, () => {
      const at = random.integer(names.length);
      return { at, load: relativeLoads.get(names[at] as BackendServerId) ?? 1 };
    }).sort((left, right) => left.load - right.load);
    const wanted = AFFINITY_CANDIDATES + LEAST_LOADED_CANDIDATES;
    for (const { at } of sampled) {
      if (candidates.size < wanted) candidates.add(at);
    }
    return [...candidates];
  }

  return { candidatesOf };
}
