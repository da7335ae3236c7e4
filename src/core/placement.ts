/**
 * Chooses the backend server of a request.
 *
 * Load patterns: requests that share a long part of their prompt go to the
 * server that has this part in its cache, until that server holds more than a
 * multiple of the mean load; then the next server in the part's rendezvous
 * order takes the rest, so that a hot part spreads over as few servers as its
 * load needs. Requests without shared parts go to a server of the same data
 * centre while its load is near the least.
 */
import type { PromptPart } from "./prompt.ts";
import { rankByRendezvous } from "./rendezvous.ts";
import type { RandomSource } from "./random.ts";
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
  readonly dataCentre: DataCentreId;
  readonly bound: LoadBound;
  readonly random: RandomSource;
}

/** Why a server was chosen. */
export type PlacementReason =
  | "cached_part"
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
}

/** Load above the least at which a server of the same data centre is still preferred. */
const NEAR_LOAD = 1;

/** Returns the part whose cache decides: the last one that requests share. */
export function sharedPartOf(
  parts: readonly PromptPart[],
): string | undefined {
  return (parts[parts.length - 2] ?? parts[0])?.id;
}

function _meanInFlight(input: PlacementInput): number {
  const { servers, inFlight } = input;
  const sum = servers.reduce((total, { id }) => total + inFlight(id), 0);
  return servers.length > 0 ? sum / servers.length : 0;
}

function _candidates(
  input: PlacementInput,
): { servers: readonly RegisteredServer[]; isLastResort: boolean } {
  const untried = input.servers.filter(({ id }) => !input.tried.has(id));
  const healthy = untried.filter(({ id }) => !input.isExcluded(id));
  if (healthy.length > 0) return { servers: healthy, isLastResort: false };
  return { servers: untried, isLastResort: true };
}

function _hasRoom(
  server: RegisteredServer,
  input: PlacementInput,
  mean: number,
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

function _chooseByPart(
  part: string,
  servers: readonly RegisteredServer[],
  input: PlacementInput,
  mean: number,
): Placement | undefined {
  const ranked = rankByRendezvous(part, servers, ({ id }) => id);
  for (const [rank, server] of ranked.entries()) {
    if (!_hasRoom(server, input, mean)) continue;
    const reason = rank === 0 ? "cached_part" : "next_in_order";
    return _placement(server, reason, input, mean);
  }
  return undefined;
}

function _placement(
  server: RegisteredServer,
  reason: PlacementReason,
  input: PlacementInput,
  meanInFlight: number,
): Placement {
  const inFlight = input.inFlight(server.id);
  return { server, reason, inFlight, meanInFlight };
}

function _chooseNear(
  least: RegisteredServer,
  servers: readonly RegisteredServer[],
  input: PlacementInput,
  mean: number,
): Placement {
  const limit = input.inFlight(least.id) + NEAR_LOAD;
  const near = servers.filter((server) =>
    server.dataCentre === input.dataCentre &&
    input.inFlight(server.id) <= limit && _hasRoom(server, input, mean)
  );
  const chosen = _leastLoaded(near, input);
  return chosen
    ? _placement(chosen, "same_data_centre", input, mean)
    : _placement(least, "least_loaded", input, mean);
}

/** Chooses a server, or nothing if every server was tried or none is left. */
export function choosePlacement(input: PlacementInput): Placement | undefined {
  const { servers, isLastResort } = _candidates(input);
  const mean = _meanInFlight(input);
  const least = _leastLoaded(servers, input);
  if (!least) return undefined;
  if (isLastResort) return _placement(least, "last_resort", input, mean);
  const part = sharedPartOf(input.promptParts);
  const byPart = part === undefined
    ? undefined
    : _chooseByPart(part, servers, input, mean);
  return byPart ?? _chooseNear(least, servers, input, mean);
}
