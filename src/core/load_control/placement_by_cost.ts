/**
 * Chooses among the servers within the load bound by expected cost: all that have
 * cached the shared part of the prompt, and a random sample of the others, as a
 * comparison of a hundred servers for each request would take too long.
 *
 * A part that has to be processed goes to a server that runs few requests, since it
 * delays their events: to the first of these in its rendezvous order, unless another
 * is cheaper by more than the time to process the part. Routers then mostly read a
 * new part at the same server without asking each other.
 */
import type { BackendServerId, DataCentreId } from "../ids.ts";
import {
  type Candidates,
  hasCapacity,
  type Placement,
  type PlacementReason,
} from "./placement_candidates.ts";
import {
  expectedMilliseconds,
  LONG_PROMPT_TOKENS,
  OVERLAP_MILLISECONDS,
  type PlacementCosts,
  readMilliseconds,
} from "./placement_cost.ts";
import { sharedPartsOf } from "../prompt_directory.ts";
import { pickByRendezvous } from "../rendezvous.ts";
import type { RegisteredServer } from "../server_registry.ts";

/** Servers that are compared if none has the shared part cached. */
const SAMPLE_SERVERS = 10;
/** Servers without the shared part that are compared with those that have it. */
const ALTERNATIVE_SERVERS = 4;
/**
 * Steps through the list of servers that spread a sample over the data centres;
 * the first that does not divide the length reaches every server.
 */
const SAMPLE_STEPS = [37, 41];

interface _Offer {
  readonly server: RegisteredServer;
  readonly milliseconds: number;
}

interface _Reader extends _Offer {
  /** Whether it is the first in the part's order. */
  readonly isHome: boolean;
}

/** Which servers without the shared part are compared, and up to how many. */
interface _Sampling {
  readonly takesLimited: boolean;
  readonly maximum: number;
}

/** Compares the candidates for one request. */
class _Comparison {
  readonly #candidates: Candidates;
  readonly #costs: PlacementCosts;
  readonly #copySources = new Map<DataCentreId, BackendServerId | undefined>();

  constructor(candidates: Candidates, costs: PlacementCosts) {
    this.#candidates = candidates;
    this.#costs = costs;
  }

  /** Returns the cheapest placement; undefined if no server has capacity. */
  choose(): Placement | undefined {
    const { cache } = this.#candidates;
    const holder = this.#cheapest(this.#holders());
    const limit = holder?.milliseconds ?? Number.POSITIVE_INFINITY;
    const reader = this.#chooseReader(limit);
    if (!reader) return holder && this.#place(holder, "has_read_part");
    const homeReason = cache.isEmpty ? "first_in_order" : "next_in_order";
    return this.#place(reader, reader.isHome ? homeReason : "lowest_cost");
  }

  #costOf(server: RegisteredServer): number {
    const { input, cache } = this.#candidates;
    const costs = this.#costs;
    const { id, slots, dataCentre } = server;
    const cached = cache.cachedTokens(id);
    const copiedTokens = costs.canCopyCache && cached < cache.sharedTokens
      ? Math.max(0, this.#copyableTokens(server) - cached)
      : 0;
    return expectedMilliseconds({
      inFlight: input.inFlight(id),
      waiting: costs.waitingAt(server),
      slots,
      pace: costs.paceOf(server),
      tokensOnTheirWay: costs.tokensOnTheirWay(id),
    }, {
      uncachedTokens: cache.promptTokens - cached - copiedTokens,
      copiedTokens,
      promptTokens: cache.promptTokens,
      isRemote: dataCentre !== input.dataCentre,
      gapLimitMilliseconds: costs.gapLimitMilliseconds,
    });
  }

  #cheapest(servers: readonly RegisteredServer[]): _Offer | undefined {
    let best: RegisteredServer | undefined;
    let lowest = Number.POSITIVE_INFINITY;
    for (const server of servers) {
      const cost = this.#costOf(server);
      if (cost < lowest) [best, lowest] = [server, cost];
    }
    return best && { server: best, milliseconds: lowest };
  }

  /** Returns the servers with capacity that have cached the whole shared part. */
  #holders(): RegisteredServer[] {
    const { servers, cache } = this.#candidates;
    if (cache.isEmpty) return [];
    return servers.filter((server) =>
      cache.hasShared(server.id) && hasCapacity(server, this.#candidates)
    );
  }

  /** Whether a server without the shared part may be chosen. */
  #mayRead(server: RegisteredServer, takesLimited: boolean): boolean {
    const { input, cache } = this.#candidates;
    if (!hasCapacity(server, this.#candidates)) return false;
    if (cache.sharedTokens === 0) return true;
    return (takesLimited || !input.isRateLimited(server)) &&
      !cache.hasShared(server.id);
  }

  /** Returns servers without the shared part, from a random one on. */
  #sample({ takesLimited, maximum }: _Sampling): RegisteredServer[] {
    const { servers, input } = this.#candidates;
    const count = servers.length;
    const step = SAMPLE_STEPS.find((candidate) => count % candidate !== 0) ?? 1;
    const start = input.random.integer(Math.max(1, count));
    const sample: RegisteredServer[] = [];
    for (let index = 0; index < count && sample.length < maximum; index++) {
      const server = servers[(start + index * step) % count];
      if (server && this.#mayRead(server, takesLimited)) sample.push(server);
    }
    return sample;
  }

  /** Returns the server that has to process the part, if it costs less than `limit`. */
  #chooseReader(limit: number): _Reader | undefined {
    const hasHolder = Number.isFinite(limit);
    const size = hasHolder ? ALTERNATIVE_SERVERS : SAMPLE_SERVERS;
    let takesLimited = false;
    let sample = this.#sample({ takesLimited, maximum: size });
    if (sample.length === 0 && !hasHolder) {
      takesLimited = true;
      sample = this.#sample({ takesLimited, maximum: size });
    }
    let cheapest = this.#cheapest(sample);
    // Each server of the sample costs as much as an overlap, so all are compared.
    const overlaps = Math.min(limit, cheapest?.milliseconds ?? 0) >=
      OVERLAP_MILLISECONDS;
    if (overlaps && sample.length === size) {
      const maximum = Number.POSITIVE_INFINITY;
      cheapest = this.#cheapest(this.#sample({ takesLimited, maximum }));
    }
    if (!cheapest || cheapest.milliseconds >= limit) return undefined;
    const home = this.#homeOffer(takesLimited);
    const allowance = readMilliseconds(this.#candidates.cache.sharedTokens);
    if (!home || home.milliseconds > cheapest.milliseconds + allowance) {
      return { ...cheapest, isHome: false };
    }
    return home.milliseconds < limit ? { ...home, isHome: true } : undefined;
  }

  /**
   * Returns the first server in the part's order of those where the prompt delays
   * the fewest streams.
   */
  #homeOffer(takesLimited: boolean): _Offer | undefined {
    const { servers, input } = this.#candidates;
    const part = sharedPartsOf(input.promptParts).at(-1);
    if (!part) return undefined;
    const readers = this.#leastLoadedReaders(
      servers.filter((server) => this.#mayRead(server, takesLimited)),
    );
    const server = pickByRendezvous(part.id, readers, ({ id }) => id);
    return server && { server, milliseconds: this.#costOf(server) };
  }

  /** Returns the servers with the fewest requests, if possible without a long prompt. */
  #leastLoadedReaders(
    servers: readonly RegisteredServer[],
  ): RegisteredServer[] {
    const { input } = this.#candidates;
    const free = servers.filter(({ id }) =>
      this.#costs.tokensOnTheirWay(id) < LONG_PROMPT_TOKENS
    );
    const candidates = free.length > 0 ? free : servers;
    const loads = candidates.map(({ id }) => input.inFlight(id));
    const least = Math.min(...loads);
    return candidates.filter((_server, index) => loads[index] === least);
  }

  /** Returns the longest prefix that can be copied to a server, in tokens. */
  #copyableTokens(server: RegisteredServer): number {
    const source = this.#copySource(server);
    return source ? this.#candidates.cache.cachedTokens(source) : 0;
  }

  /**
   * Returns the server from which a cached prefix is copied: the longest in the same
   * data centre, else the longest of all. Copying delays no stream, processing does.
   */
  #copySource({ dataCentre }: RegisteredServer): BackendServerId | undefined {
    const { input, cache } = this.#candidates;
    if (!this.#copySources.has(dataCentre)) {
      const local = cache.findLongest((id) =>
        this.#costs.dataCentreOf(id) === dataCentre && !input.isExcluded(id)
      );
      const source = local ?? cache.findLongest((id) => !input.isExcluded(id));
      this.#copySources.set(dataCentre, source);
    }
    return this.#copySources.get(dataCentre);
  }

  #place(
    { server, milliseconds }: _Offer,
    reason: PlacementReason,
  ): Placement {
    const { input, mean, cache } = this.#candidates;
    const cached = cache.cachedTokens(server.id);
    const source = cached < cache.sharedTokens
      ? this.#copySource(server)
      : undefined;
    const isLonger = source !== undefined &&
      cache.cachedTokens(source) > cached;
    return {
      server,
      reason,
      inFlight: input.inFlight(server.id),
      meanInFlight: mean,
      cacheSource: isLonger ? source : undefined,
      uncachedTokens: cache.uncachedTokens(server.id),
      costMilliseconds: milliseconds,
    };
  }
}

/** Returns the cheapest placement; undefined if no server has capacity. */
export function chooseByCost(
  candidates: Candidates,
  costs: PlacementCosts,
): Placement | undefined {
  return new _Comparison(candidates, costs).choose();
}
