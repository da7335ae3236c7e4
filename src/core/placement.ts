/**
 * Chooses the backend server of a request.
 *
 * Load patterns: requests that share a long part of their prompt go to a server
 * that has read this part, until every such server holds more than a multiple
 * of the mean load; then the next server in the part's rendezvous order takes
 * the rest, so that a hot part spreads over as few servers as its load needs.
 * That server copies the part from one that has it instead of reading it again.
 * Requests without shared parts go to a server of the same data centre while
 * its load is near the least.
 */
import type { PromptPart } from "./prompt.ts";
import { type PartKey, partKeyOf, sharedPartsOf } from "./prompt_directory.ts";
import type { RandomSource } from "./random.ts";
import { rankByRendezvous } from "./rendezvous.ts";
import type { RegisteredServer } from "./server_registry.ts";
import type { BackendServerId, DataCentreId } from "./ids.ts";

/** How far the load of a server may rise above the mean of its service. */
export interface LoadBound {
  /** Multiple of the mean. */
  readonly factor: number;
  /** Requests on top of the multiple, so that small loads are not bounded. */
  readonly slack: number;
}

/** What a choice is based on. */
export interface PlacementInput {
  /** Servers of the service that may get new requests. */
  readonly servers: readonly RegisteredServer[];
  /** Requests in flight at a server. */
  readonly inFlight: (server: BackendServerId) => number;
  /** Servers to avoid while others can serve. */
  readonly isExcluded: (server: BackendServerId) => boolean;
  /** Servers that this request was already sent to. */
  readonly tried: ReadonlySet<BackendServerId>;
  readonly promptParts: readonly PromptPart[];
  /** Servers that have read a part. */
  readonly holders: (part: PartKey) => ReadonlySet<BackendServerId>;
  readonly dataCentre: DataCentreId;
  readonly bound: LoadBound;
  readonly random: RandomSource;
}

/** Why a server was chosen. */
export type PlacementReason =
  | "has_read_part"
  | "first_in_order"
  | "next_in_order"
  | "same_data_centre"
  | "least_loaded"
  | "last_resort";

/** The chosen server and what decided. */
export interface Placement {
  readonly server: RegisteredServer;
  readonly reason: PlacementReason;
  readonly inFlight: number;
  readonly meanInFlight: number;
  /** A server with a part that the chosen one lacks. */
  readonly cacheSource: BackendServerId | undefined;
}

/** Load above the least at which a server of the same data centre is still preferred. */
const NEAR_LOAD = 1;

interface _Candidates {
  readonly servers: readonly RegisteredServer[];
  readonly mean: number;
  readonly input: PlacementInput;
}

function _meanInFlight({ servers, inFlight }: PlacementInput): number {
  const sum = servers.reduce((total, { id }) => total + inFlight(id), 0);
  return servers.length > 0 ? sum / servers.length : 0;
}

function _hasRoom(
  server: RegisteredServer,
  { mean, input }: _Candidates,
): boolean {
  const { factor, slack } = input.bound;
  const next = input.inFlight(server.id) + 1;
  return next <= factor * mean + slack && next <= Math.max(1, server.slots);
}

function _leastLoaded(
  servers: readonly RegisteredServer[],
  input: PlacementInput,
): RegisteredServer | undefined {
  // A random start breaks ties differently at every router.
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
 * Returns a server that holds the longest known start of the prompt, unless
 * the chosen one holds as much.
 */
function _cacheSource(
  chosen: BackendServerId,
  { promptParts, holders, isExcluded }: PlacementInput,
): BackendServerId | undefined {
  for (const part of [...sharedPartsOf(promptParts)].reverse()) {
    const known = holders(partKeyOf(part));
    if (known.has(chosen)) return undefined;
    for (const holder of known) {
      if (!isExcluded(holder)) return holder;
    }
  }
  return undefined;
}

function _placement(
  server: RegisteredServer,
  reason: PlacementReason,
  { mean, input }: _Candidates,
): Placement {
  return {
    server,
    reason,
    inFlight: input.inFlight(server.id),
    meanInFlight: mean,
    cacheSource: _cacheSource(server.id, input),
  };
}

function _chooseByPart(candidates: _Candidates): Placement | undefined {
  const { servers, input } = candidates;
  const part = sharedPartsOf(input.promptParts).at(-1);
  if (!part) return undefined;
  const known = input.holders(partKeyOf(part));
  const holder = _leastLoaded(
    servers.filter((server) =>
      known.has(server.id) && _hasRoom(server, candidates)
    ),
    input,
  );
  if (holder) return _placement(holder, "has_read_part", candidates);
  const ranked = rankByRendezvous(part.id, servers, ({ id }) => id);
  const next = ranked.find((server) => _hasRoom(server, candidates));
  if (!next) return undefined;
  const reason = known.size === 0 ? "first_in_order" : "next_in_order";
  return _placement(next, reason, candidates);
}

function _chooseNear(
  least: RegisteredServer,
  candidates: _Candidates,
): Placement {
  const { servers, input } = candidates;
  const limit = input.inFlight(least.id) + NEAR_LOAD;
  const near = servers.filter((server) =>
    server.dataCentre === input.dataCentre &&
    input.inFlight(server.id) <= limit && _hasRoom(server, candidates)
  );
  const chosen = _leastLoaded(near, input);
  return chosen
    ? _placement(chosen, "same_data_centre", candidates)
    : _placement(least, "least_loaded", candidates);
}

/** Chooses a server, or nothing if every server was tried or none is left. */
export function choosePlacement(input: PlacementInput): Placement | undefined {
  const mean = _meanInFlight(input);
  const untried = input.servers.filter(({ id }) => !input.tried.has(id));
  const healthy = untried.filter(({ id }) => !input.isExcluded(id));
  const isLastResort = healthy.length === 0;
  const servers = isLastResort ? untried : healthy;
  const candidates = { servers, mean, input };
  const least = _leastLoaded(servers, input);
  if (!least) return undefined;
  if (isLastResort) return _placement(least, "last_resort", candidates);
  return _chooseByPart(candidates) ?? _chooseNear(least, candidates);
}
