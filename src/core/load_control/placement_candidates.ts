/**
 * The servers that a request may be placed on, with the rules that hold whatever
 * chooses among them: which of them have capacity within the load bound, and which
 * is the least loaded.
 *
 * Servers that take no requests, or only as many as their rate limits allow, do
 * not lower the mean: the others have to carry what these do not take.
 */
import type { BackendServerId, DataCentreId } from "../ids.ts";
import type { PlacementCosts } from "./placement_cost.ts";
import type { PromptCache } from "./prompt_cache.ts";
import type { PromptPart } from "../prompt.ts";
import type { PartKey } from "../prompt_directory.ts";
import type { RandomSource } from "../random.ts";
import type { RegisteredServer } from "../server_registry.ts";

/** Limits the load of a server relative to the mean of its service. */
export interface LoadBound {
  /** Multiple of the mean load. */
  readonly factor: number;
  /** Requests on top of the multiple, so that low loads are not limited. */
  readonly slack: number;
}

/** The inputs of a placement decision. */
export interface PlacementInput {
  /** Servers of the service that accept new requests. */
  readonly servers: readonly RegisteredServer[];
  /** Requests in flight at a server. */
  readonly inFlight: (server: BackendServerId) => number;
  /** Whether a server gets no request at all: it is leaving or pausing. */
  readonly isUnavailable: (server: RegisteredServer) => boolean;
  /** Whether a server takes only some requests, so that it is no home for a part. */
  readonly isRateLimited: (server: RegisteredServer) => boolean;
  /** Whether a server is avoided while others are available. */
  readonly isExcluded: (server: BackendServerId) => boolean;
  /** Servers to which this request was already sent. */
  readonly tried: ReadonlySet<BackendServerId>;
  readonly promptParts: readonly PromptPart[];
  /** Servers that have a prompt part cached. */
  readonly holders: (part: PartKey) => ReadonlySet<BackendServerId>;
  readonly dataCentre: DataCentreId;
  readonly bound: LoadBound;
  readonly random: RandomSource;
  /** Undefined where no server states its pace; then requests are counted only. */
  readonly costs?: PlacementCosts | undefined;
}

/** Why a server was chosen. */
export type PlacementReason =
  | "has_read_part"
  | "first_in_order"
  | "next_in_order"
  | "same_data_centre"
  | "least_loaded"
  | "lowest_cost"
  | "last_resort";

/** The chosen server and the reason for the choice. */
export interface Placement {
  readonly server: RegisteredServer;
  readonly reason: PlacementReason;
  readonly inFlight: number;
  readonly meanInFlight: number;
  /** A server with a cached prompt part that the chosen server lacks. */
  readonly cacheSource: BackendServerId | undefined;
  /** Prompt tokens that the chosen server has to process. */
  readonly uncachedTokens: number;
  /** Expected cost of the choice, in milliseconds; undefined if not compared. */
  readonly costMilliseconds?: number;
}

/** The servers that are compared, and what holds for all of them. */
export interface Candidates {
  readonly servers: readonly RegisteredServer[];
  readonly mean: number;
  /** Whether no server has a free slot, so that only the mean bounds the load. */
  readonly areFull: boolean;
  readonly input: PlacementInput;
  readonly cache: PromptCache;
}

/** Returns the mean load of the servers that take any request. */
export function meanInFlight(input: PlacementInput): number {
  const open = input.servers.filter((server) =>
    !input.isUnavailable(server) && !input.isRateLimited(server)
  );
  const servers = open.length > 0 ? open : input.servers;
  const sum = servers.reduce((total, { id }) => total + input.inFlight(id), 0);
  return servers.length > 0 ? sum / servers.length : 0;
}

/** Whether a server runs a further request at once. */
export function hasFreeSlot(
  server: RegisteredServer,
  { inFlight }: PlacementInput,
): boolean {
  return inFlight(server.id) + 1 <= Math.max(1, server.slots);
}

/** Whether a server takes a further request within the load bound. */
export function hasCapacity(
  server: RegisteredServer,
  { mean, areFull, input }: Candidates,
): boolean {
  const { factor, slack } = input.bound;
  const next = input.inFlight(server.id) + 1;
  return next <= factor * mean + slack &&
    (areFull || hasFreeSlot(server, input));
}

/** Returns the server with the lowest share of its slots in use. */
export function leastLoaded(
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
