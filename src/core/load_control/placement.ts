/**
 * Chooses the backend server of a request.
 *
 * Requests that share a long prompt part go to a server that has the part
 * cached, until the load of every such server reaches a multiple of the mean.
 * Further requests go to the next server in the part's rendezvous order, so
 * that a hot part spreads over as few servers as its load needs. That server
 * copies the cached part from one that has it instead of computing it again.
 * Requests without shared parts go to a server of the same data centre while
 * its load is close to the lowest.
 *
 * Where servers state their pace, the servers within the load bound are compared
 * by expected cost instead.
 */
import {
  type Candidates,
  hasCapacity,
  hasFreeSlot,
  leastLoaded,
  meanInFlight,
  type Placement,
  type PlacementInput,
  type PlacementReason,
} from "./placement_candidates.ts";
import { chooseByCost } from "./placement_by_cost.ts";
import { PromptCache } from "./prompt_cache.ts";
import { partKeyOf, sharedPartsOf } from "../prompt_directory.ts";
import { rankByRendezvous } from "../rendezvous.ts";
import type { RegisteredServer } from "../server_registry.ts";

export type {
  LoadBound,
  Placement,
  PlacementInput,
  PlacementReason,
} from "./placement_candidates.ts";

/**
 * Load above the least, in requests, up to which a server of the same data
 * centre is preferred.
 */
const LOCAL_PREFERENCE_REQUESTS = 1;

function _createPlacement(
  server: RegisteredServer,
  reason: PlacementReason,
  { mean, input, cache }: Candidates,
): Placement {
  return {
    server,
    reason,
    inFlight: input.inFlight(server.id),
    meanInFlight: mean,
    cacheSource: cache.findLongest((id) => !input.isExcluded(id), server.id),
    uncachedTokens: cache.uncachedTokens(server.id),
  };
}

/** Returns the first server in a part's order that has capacity, if any. */
function _nextInOrder(
  part: string,
  candidates: Candidates,
): RegisteredServer | undefined {
  const { servers, input } = candidates;
  const free = servers.filter((server) => hasCapacity(server, candidates));
  const homes = free.filter((server) => !input.isRateLimited(server));
  const [next] = rankByRendezvous(
    part,
    homes.length > 0 ? homes : free,
    ({ id }) => id,
  );
  return next;
}

function _chooseByPromptPart(candidates: Candidates): Placement | undefined {
  const { servers, input } = candidates;
  const part = sharedPartsOf(input.promptParts).at(-1);
  if (!part) return undefined;
  const partHolders = input.holders(partKeyOf(part));
  const holder = leastLoaded(
    servers.filter((server) =>
      partHolders.has(server.id) && hasCapacity(server, candidates)
    ),
    input,
  );
  if (holder) return _createPlacement(holder, "has_read_part", candidates);
  const next = _nextInOrder(part.id, candidates);
  if (!next) return undefined;
  const reason = partHolders.size === 0 ? "first_in_order" : "next_in_order";
  return _createPlacement(next, reason, candidates);
}

function _chooseLocal(
  least: RegisteredServer,
  candidates: Candidates,
): Placement {
  const { servers, input } = candidates;
  const limit = input.inFlight(least.id) + LOCAL_PREFERENCE_REQUESTS;
  const local = servers.filter((server) =>
    server.dataCentre === input.dataCentre &&
    input.inFlight(server.id) <= limit && hasCapacity(server, candidates)
  );
  const chosen = leastLoaded(local, input);
  return chosen
    ? _createPlacement(chosen, "same_data_centre", candidates)
    : _createPlacement(least, "least_loaded", candidates);
}

function _chooseByLoad(candidates: Candidates): Placement | undefined {
  const least = leastLoaded(candidates.servers, candidates.input);
  if (!least) return undefined;
  return _chooseByPromptPart(candidates) ?? _chooseLocal(least, candidates);
}

/** Chooses a server, or returns undefined if there is none left to try. */
export function choosePlacement(input: PlacementInput): Placement | undefined {
  const mean = meanInFlight(input);
  const untried = input.servers.filter((server) =>
    !input.tried.has(server.id) && !input.isUnavailable(server)
  );
  const healthy = untried.filter(({ id }) => !input.isExcluded(id));
  const isLastResort = healthy.length === 0;
  const servers = isLastResort ? untried : healthy;
  const areFull = !servers.some((server) => hasFreeSlot(server, input));
  const cache = new PromptCache(input.promptParts, input.holders);
  const candidates = { servers, mean, areFull, input, cache };
  const placement = (input.costs && chooseByCost(candidates, input.costs)) ??
    _chooseByLoad(candidates);
  return isLastResort && placement
    ? { ...placement, reason: "last_resort" }
    : placement;
}
