/**
 * Decides whether a backend server may take a request from this router now and,
 * if not, why and for how long. All that needs the answer asks here: the choice of
 * a server, the room of a service, the wait of a service and the list of
 * unavailable servers.
 */
import type { Evacuations } from "../evacuations.ts";
import type { ServiceId } from "../gateway_configuration.ts";
import type { BackendServerId } from "../ids.ts";
import {
  type FleetRegions,
  isRegionAllowed,
  type PermittedRegions,
} from "../permitted_regions.ts";
import type { PromptPart } from "../prompt.ts";
import type { ServerNotices } from "../server_notices.ts";
import type { RegisteredServer } from "../server_registry.ts";
import type { ServerMemory } from "./server_memory.ts";
import type { ServerRateLimits } from "./server_rate_limits.ts";
import type { ServerWarmUp } from "./server_warm_up.ts";

/** Why a server may not take a request now. */
export type CapacityReason =
  /** It said that it is leaving. */
  | "leaving"
  /** It asked for a pause. */
  | "pausing"
  /** Its data centre is evacuated. */
  | "evacuated"
  /** This router has used its share of the server's rate limit. */
  | "limited"
  /** It has just started, and this router has used its share of what it takes. */
  | "cold"
  /** Requests of all routers hold its memory. */
  | "memory"
  /** This router uses its share of the server's connections. */
  | "connections";

/** Reasons that end only with an event whose time no router knows. */
export type ClosingReason = "leaving" | "evacuated";

/** What a request needs of a server. */
export interface RequestDemand {
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Tokens of its prompt and its output; 0 if the memory of servers is not bounded. */
  readonly heldTokens: number;
  /** The parts of its prompt. */
  readonly parts: readonly PromptPart[];
  /** Regions whose servers may get the request; undefined if all may. */
  readonly permittedRegions?: PermittedRegions;
}

/** Why a server may not take a request, and for how long. */
export interface CapacityBlock {
  readonly reason: CapacityReason;
  /** Infinite if it is not known, or if only other routers may send to it. */
  readonly waitMilliseconds: number;
  /** Time since the cause became known; 0 for a full server, as it is not recorded. */
  readonly ageMilliseconds: number;
}

/** A server that may not take a request, as logs, metrics and dumps show it. */
export interface UnavailableServer {
  readonly server: BackendServerId;
  readonly reason: CapacityReason;
  readonly ageMilliseconds: number;
}

/** The connections of this router to the servers. */
export interface ConnectionUse {
  /** Connections to a server that carry a request. */
  inUse(server: BackendServerId): number;
  /** Connections to a server that this router may have; infinite if unlimited. */
  shareOf(server: RegisteredServer): number;
}

/** What is known of the servers. */
export interface ServerCapacitySources {
  /** Undefined if connections are not bounded. */
  readonly connections?: ConnectionUse;
  /** Undefined if the memory of servers is not bounded. */
  readonly memory?: ServerMemory;
  readonly evacuations: Evacuations;
  readonly notices: ServerNotices;
  readonly rateLimits: ServerRateLimits;
  readonly warmUp: ServerWarmUp;
}

/** Whether a reason ends only with an event whose time no router knows. */
export function isClosing(reason: CapacityReason): reason is ClosingReason {
  return reason === "leaving" || reason === "evacuated";
}

/** Whether a reason ends when requests of some router end. */
export function isFull(reason: CapacityReason): boolean {
  return reason === "memory" || reason === "connections";
}

/** Returns the servers that lie in the permitted regions. */
export function permittedServers(
  servers: readonly RegisteredServer[],
  permitted: PermittedRegions,
  regions: () => FleetRegions,
): readonly RegisteredServer[] {
  if (!permitted) return servers;
  return servers.filter(({ dataCentre }) =>
    isRegionAllowed(permitted, dataCentre, regions())
  );
}

/** Nobody knows when the requests that fill a server will end. */
const CONNECTIONS_IN_USE: CapacityBlock = {
  reason: "connections",
  waitMilliseconds: Infinity,
  ageMilliseconds: 0,
};

const MEMORY_IN_USE: CapacityBlock = {
  ...CONNECTIONS_IN_USE,
  reason: "memory",
};

/** The demand of no request; a server that is blocked for it is full. */
export const NO_DEMAND: RequestDemand = {
  urgency: 0,
  heldTokens: 0,
  parts: [],
};

/** What servers can take from one router. */
export class ServerCapacity {
  readonly #sources: ServerCapacitySources;

  constructor(sources: ServerCapacitySources) {
    this.#sources = sources;
  }

  /** Returns why a server may not take a request now; undefined if it may. */
  blockOf(
    server: RegisteredServer,
    demand: RequestDemand,
    now: number,
  ): CapacityBlock | undefined {
    const { urgency } = demand;
    const closure = this.closureOf(server, now);
    if (!closure) {
      return this.#rateBlock(server, urgency, now) ??
        this.fullnessOf(server, demand, now);
    }
    if (isClosing(closure.reason)) return closure;
    // After its pause, a server still has its rate limit.
    const rate = this.#rateBlock(server, urgency, now)?.waitMilliseconds ?? 0;
    const waitMilliseconds = Math.max(closure.waitMilliseconds, rate);
    return { ...closure, waitMilliseconds };
  }

  /**
   * Returns why a server takes no request at all: its data centre is evacuated, it
   * is leaving or it wants a pause.
   */
  closureOf(server: RegisteredServer, now: number): CapacityBlock | undefined {
    const { evacuations, notices } = this.#sources;
    const closure = evacuations.unavailability(server, now) ??
      notices.unavailability(server, now);
    if (!closure) return undefined;
    const { reason, ageMilliseconds } = closure;
    const waitMilliseconds = isClosing(reason)
      ? Infinity
      : notices.pauseMilliseconds(server, now);
    return { reason, waitMilliseconds, ageMilliseconds };
  }

  /** Returns why a server has no room for a request; undefined if it has. */
  fullnessOf(
    server: RegisteredServer,
    demand: RequestDemand,
    now: number,
  ): CapacityBlock | undefined {
    const { connections, memory } = this.#sources;
    if (memory && !memory.hasRoom(server, demand, now)) return MEMORY_IN_USE;
    if (!connections) return undefined;
    const isOpen = connections.inUse(server.id) < connections.shareOf(server);
    return isOpen ? undefined : CONNECTIONS_IN_USE;
  }

  /** Whether no server of a service can ever take a request. */
  isTooLarge(service: ServiceId, demand: RequestDemand): boolean {
    return this.#sources.memory?.isTooLarge(service, demand) ?? false;
  }

  /** Records a request that is sent; returns a function that records its end. */
  started(
    server: RegisteredServer,
    demand: RequestDemand,
    now: () => number,
  ): () => void {
    return this.#sources.memory?.started(server, demand, now) ??
      (() => undefined);
  }

  /** Tokens that requests hold at a server; undefined if its memory is not bounded. */
  heldTokens(server: RegisteredServer): number | undefined {
    return this.#sources.memory?.heldTokens(server);
  }

  /** Whether a server takes only some of the requests that it could get. */
  isLimited(server: RegisteredServer, now: number): boolean {
    const { rateLimits, warmUp } = this.#sources;
    return rateLimits.limitOf(server, now) !== undefined ||
      warmUp.limitOf(server, now) !== undefined;
  }

  #rateBlock(
    server: RegisteredServer,
    urgency: number,
    now: number,
  ): CapacityBlock | undefined {
    const { rateLimits, warmUp } = this.#sources;
    const coldMilliseconds = warmUp.waitMilliseconds(server, now);
    const limitMilliseconds = rateLimits.waitMilliseconds(server, urgency, now);
    const waitMilliseconds = Math.max(coldMilliseconds, limitMilliseconds);
    if (waitMilliseconds === 0) return undefined;
    if (coldMilliseconds > 0) {
      const ageMilliseconds = warmUp.ageMilliseconds(server, now);
      return { reason: "cold", waitMilliseconds, ageMilliseconds };
    }
    const ageMilliseconds = rateLimits.limitOf(server, now)?.ageMilliseconds ??
      0;
    return { reason: "limited", waitMilliseconds, ageMilliseconds };
  }
}

/** Creates the capacity of servers as one router sees it. */
export function createServerCapacity(
  sources: ServerCapacitySources,
): ServerCapacity {
  return new ServerCapacity(sources);
}
