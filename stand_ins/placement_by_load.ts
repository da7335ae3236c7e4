/**
 * The choice of a backend server by the number of requests, as it was before servers
 * stated their pace. Tests compare the present choice with it.
 *
 * Requests that share a long prompt part go to a server that has the part
 * cached, until the load of every such server reaches a multiple of the mean.
 * Further requests go to the next server in the part's rendezvous order, so
 * that a hot part spreads over as few servers as its load needs. That server
 * copies the cached part from one that has it instead of computing it again.
 * Requests without shared parts go to a server of the same data centre while
 * its load is close to the lowest.
 *
 * Servers that take no requests, or only as many as their rate limits allow, do
 * not lower the mean: the others have to carry what these do not take.
 */
import { partKeyOf, sharedPartsOf } from "../src/core/prompt_directory.ts";
import { rankByRendezvous } from "../src/core/rendezvous.ts";
import type { RegisteredServer } from "../src/core/server_registry.ts";
import type { BackendServerId } from "../src/core/ids.ts";
import type {
  Placement,
  PlacementInput,
  PlacementReason,
} from "../src/core/load_control/placement.ts";

/** What the earlier choice returned. */
export type EarlierPlacement = Omit<
  Placement,
  "uncachedTokens" | "costMilliseconds"
>;

/**
 * Load above the least, in requests, up to which a server of the same data
 * centre is preferred.
 */
const LOCAL_PREFERENCE_REQUESTS = 1;

interface _Candidates {
  readonly servers: readonly RegisteredServer[];
  readonly mean: number;
  /** Whether no server has a free slot, so that only the mean bounds the load. */
  readonly areFull: boolean;
  readonly input: PlacementInput;
}

function _meanInFlight(input: PlacementInput): number {
  const open = input.servers.filter((server) =>
    !input.isUnavailable(server) && !input.isRateLimited(server)
  );
  const servers = open.length > 0 ? open : input.servers;
  const sum = servers.reduce((total, { id }) => total + input.inFlight(id), 0);
  return servers.length > 0 ? sum / servers.length : 0;
}

function _hasFreeSlot(
  server: RegisteredServer,
  { inFlight }: PlacementInput,
): boolean {
  return inFlight(server.id) + 1 <= Math.max(1, server.slots);
}

function _hasCapacity(
  server: RegisteredServer,
  { mean, areFull, input }: _Candidates,
): boolean {
  const { factor, slack } = input.bound;
  const next = input.inFlight(server.id) + 1;
  return next <= factor * mean + slack &&
    (areFull || _hasFreeSlot(server, input));
}

function _leastLoaded(
  servers: readonly RegisteredServer[],
  input: PlacementInput,
): RegisteredServer | undefined {
  // A random start breaks ties differently on every router.
  const start = input.random.integer(Math.max(1, servers.length));
  let best: RegisteredServer | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (let index = 0; index < servers.length; index++) {
    const server = servers[(start + index) % servers.length];
    if (!server) continue;
    const load = input.inFlight(server.id) / Math.max(1, server.slots);
    if (load < least) [best, least] = [server, load];
  }
  return best;
}

/**
 * Returns a server that has the longest cached prefix of the prompt, unless the
 * chosen server has one of the same length.
 */
function _findCacheSource(
  chosen: BackendServerId,
  { promptParts, holders, isExcluded }: PlacementInput,
): BackendServerId | undefined {
  for (const part of [...sharedPartsOf(promptParts)].reverse()) {
    const partHolders = holders(partKeyOf(part));
    if (partHolders.has(chosen)) return undefined;
    for (const holder of partHolders) {
      if (!isExcluded(holder)) return holder;
    }
  }
  return undefined;
}

function _createPlacement(
  server: RegisteredServer,
  reason: PlacementReason,
  { mean, input }: _Candidates,
): EarlierPlacement {
  return {
    server,
    reason,
    inFlight: input.inFlight(server.id),
    meanInFlight: mean,
    cacheSource: _findCacheSource(server.id, input),
  };
}

/** Returns the first server in a part's order that has capacity, if any. */
function _nextInOrder(
  part: string,
  candidates: _Candidates,
): RegisteredServer | undefined {
  const { servers, input } = candidates;
  const free = servers.filter((server) => _hasCapacity(server, candidates));
  const homes = free.filter((server) => !input.isRateLimited(server));
  const [next] = rankByRendezvous(
    part,
    homes.length > 0 ? homes : free,
    ({ id }) => id,
  );
  return next;
}

function _chooseByPromptPart(
  candidates: _Candidates,
): EarlierPlacement | undefined {
  const { servers, input } = candidates;
  const part = sharedPartsOf(input.promptParts).at(-1);
  if (!part) return undefined;
  const partHolders = input.holders(partKeyOf(part));
  const holder = _leastLoaded(
    servers.filter((server) =>
      partHolders.has(server.id) && _hasCapacity(server, candidates)
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
  candidates: _Candidates,
): EarlierPlacement {
  const { servers, input } = candidates;
  const limit = input.inFlight(least.id) + LOCAL_PREFERENCE_REQUESTS;
  const local = servers.filter((server) =>
    server.dataCentre === input.dataCentre &&
    input.inFlight(server.id) <= limit && _hasCapacity(server, candidates)
  );
  const chosen = _leastLoaded(local, input);
  return chosen
    ? _createPlacement(chosen, "same_data_centre", candidates)
    : _createPlacement(least, "least_loaded", candidates);
}

/** Chooses a server, or returns undefined if there is none left to try. */
export function choosePlacementByLoad(
  input: PlacementInput,
): EarlierPlacement | undefined {
  const mean = _meanInFlight(input);
  const untried = input.servers.filter((server) =>
    !input.tried.has(server.id) && !input.isUnavailable(server)
  );
  const healthy = untried.filter(({ id }) => !input.isExcluded(id));
  const isLastResort = healthy.length === 0;
  const servers = isLastResort ? untried : healthy;
  const areFull = !servers.some((server) => _hasFreeSlot(server, input));
  const candidates = { servers, mean, areFull, input };
  const least = _leastLoaded(servers, input);
  if (!least) return undefined;
  const placement = _chooseByPromptPart(candidates) ??
    _chooseLocal(least, candidates);
  return isLastResort ? { ...placement, reason: "last_resort" } : placement;
}
