/** How entry routers of the skew bench choose where to request a slot. */
import type { BackendServerId } from "../src/core/ids.ts";
import type { RandomSource } from "../src/core/random.ts";
import { hash32 } from "../src/core/hash32.ts";
import { rankByRendezvous } from "../src/core/rendezvous.ts";
import type { SimulatedRequest } from "./skew_workload.ts";

const AFFINITY_SERVERS_PER_WORKSPACE = 4;
const AFFINITY_CANDIDATES = 2;
const SAMPLED_SERVERS = 16;
const LEAST_LOADED_CANDIDATES = 3;

/** Chooses the workspace's servers first, then lightly loaded servers. */
export interface CandidateChoice {
  candidatesOf(
    request: SimulatedRequest,
    relativeLoads: ReadonlyMap<BackendServerId, number>,
  ): number[];
}

/** Creates a candidate choice among the named servers. */
export function createCandidateChoice(
  names: readonly BackendServerId[],
  random: RandomSource,
): CandidateChoice {
  const indices = names.map((_name, index) => index);
  const affinity = new Map<string, readonly number[]>();

  function preferredOf(workspace: string): readonly number[] {
    const cached = affinity.get(workspace);
    if (cached) return cached;
    const preferred = rankByRendezvous(
      workspace,
      indices,
      (at) => names[at] ?? "",
    ).slice(0, AFFINITY_SERVERS_PER_WORKSPACE);
    affinity.set(workspace, preferred);
    return preferred;
  }

  function candidatesOf(
    request: SimulatedRequest,
    relativeLoads: ReadonlyMap<BackendServerId, number>,
  ): number[] {
    const preferred = preferredOf(request.workspace);
    const first = hash32(request.chat) % preferred.length;
    const candidates = new Set<number>();
    for (let step = 0; step < AFFINITY_CANDIDATES; step++) {
      candidates.add(preferred[(first + step) % preferred.length] ?? 0);
    }
    const sampled = Array.from({ length: SAMPLED_SERVERS }, () => {
      const at = random.integer(names.length);
      return { at, load: relativeLoads.get(names[at] as BackendServerId) ?? 1 };
    }).sort((left, right) => left.load - right.load);
    const limit = AFFINITY_CANDIDATES + LEAST_LOADED_CANDIDATES;
    for (const { at } of sampled) {
      if (candidates.size < limit) candidates.add(at);
    }
    return [...candidates];
  }

  return { candidatesOf };
}
