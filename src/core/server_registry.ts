/**
 * The backend servers that are registered. Pure: the caller passes what the
 * registry's store reported and the time.
 *
 * Registrations lapse while the store is away although their servers live, and
 * come back soon after its return. So removals right after an outage take
 * effect only once the servers had time to register again.
 */
import { z } from "zod";
import { type ServiceId, serviceIdSchema } from "./gateway_configuration.ts";
import {
  type BackendServerId,
  brandId,
  type DataCentreId,
  type SocketAddress,
} from "./ids.ts";
import { hash32 } from "./rendezvous.ts";

/** Time that servers get to register again after an outage of the store. */
export const REGISTRATION_RETURN_MILLISECONDS = 2_000;

const _text = z.string().min(1).max(256);

/** A backend server as it registered itself. */
export const registeredServerSchema = z.object({
  id: _text.transform((text) => brandId<BackendServerId>(text)),
  service: serviceIdSchema,
  address: _text.transform((text) => brandId<SocketAddress>(text)),
  dataCentre: _text.transform((text) => brandId<DataCentreId>(text)),
  slots: z.number().min(0),
  /** Draining servers get no new requests. */
  isDraining: z.boolean(),
  /** When the server process started, in milliseconds since the Unix epoch. */
  started: z.number(),
  /** Time until a server that just started reaches its full speed. */
  warmUpMilliseconds: z.number().min(0),
});

/** A backend server as it registered itself. */
export type RegisteredServer = z.infer<typeof registeredServerSchema>;

/** All registrations as of a revision of the store. */
export const registrationListSchema = z.object({
  revision: z.number(),
  servers: z.array(registeredServerSchema),
});

/** All registrations as of a revision of the store. */
export type RegistrationList = z.infer<typeof registrationListSchema>;

/** A change of one registration; without a server it was removed. */
export interface RegistrationChange {
  readonly id: BackendServerId;
  readonly server: RegisteredServer | undefined;
}

function _digestOf(server: RegisteredServer): number {
  const { id, service, address, isDraining, started } = server;
  return hash32(`${id}\0${service}\0${address}\0${isDraining}\0${started}`);
}

/** The registered servers of one router. */
export class ServerRegistry {
  readonly #servers = new Map<BackendServerId, RegisteredServer>();
  /** Removed servers that may still come back, and when they are dropped. */
  readonly #lapsed = new Map<BackendServerId, number>();
  #byService = new Map<ServiceId, readonly RegisteredServer[]>();
  #revision = 0;
  #version = 0;
  #digest = 0;
  #returnedAt = Number.NEGATIVE_INFINITY;
  #storeIsAway = false;

  /** Newest revision of the store that is included; 0 before the first list. */
  get revision(): number {
    return this.#revision;
  }

  /** Rises with every change. */
  get version(): number {
    return this.#version;
  }

  /** Equal for equal registrations, whatever the revision. */
  get digest(): number {
    return this.#digest;
  }

  /** Records that the store does not answer. */
  storeLost(): void {
    this.#storeIsAway = true;
  }

  /** Records that the store answers again. */
  storeReturned(now: number): void {
    if (!this.#storeIsAway) return;
    this.#storeIsAway = false;
    this.#returnedAt = now;
  }

  /** Replaces all registrations unless the list is older than what is known. */
  replace({ revision, servers }: RegistrationList, now: number): void {
    if (revision < this.#revision) return;
    this.#revision = revision;
    const listed = new Set(servers.map(({ id }) => id));
    for (const id of [...this.#servers.keys()]) {
      if (!listed.has(id)) this.#remove(id, now);
    }
    for (const server of servers) this.#set(server);
    this.#rebuild();
  }

  /** Applies changes that follow the known revision. */
  apply(
    revision: number,
    changes: readonly RegistrationChange[],
    now: number,
  ): void {
    if (revision <= this.#revision) return;
    this.#revision = revision;
    for (const { id, server } of changes) {
      if (server) this.#set(server);
      else this.#remove(id, now);
    }
    this.#rebuild();
  }

  /** Drops lapsed registrations whose time to return is over. */
  expire(now: number): void {
    let changed = false;
    for (const [id, dropAt] of this.#lapsed) {
      if (now < dropAt) continue;
      this.#lapsed.delete(id);
      this.#servers.delete(id);
      changed = true;
    }
    if (changed) this.#rebuild();
  }

  /** Servers of a service that may get new requests. */
  readyServers(service: ServiceId): readonly RegisteredServer[] {
    return this.#byService.get(service) ?? [];
  }

  get(id: BackendServerId): RegisteredServer | undefined {
    return this.#servers.get(id);
  }

  /** All registrations, for a peer that cannot read the store. */
  list(): RegistrationList {
    return { revision: this.#revision, servers: [...this.#servers.values()] };
  }

  #set(server: RegisteredServer): void {
    this.#lapsed.delete(server.id);
    this.#servers.set(server.id, server);
  }

  #remove(id: BackendServerId, now: number): void {
    const returnEnds = this.#returnedAt + REGISTRATION_RETURN_MILLISECONDS;
    if (now >= returnEnds) {
      this.#servers.delete(id);
      return;
    }
    const server = this.#servers.get(id);
    if (!server) return;
    // A draining server left on purpose; only others can have lapsed.
    if (server.isDraining) this.#servers.delete(id);
    else if (!this.#lapsed.has(id)) this.#lapsed.set(id, returnEnds);
  }

  #rebuild(): void {
    this.#version++;
    const byService = new Map<ServiceId, RegisteredServer[]>();
    this.#digest = 0;
    for (const server of this.#servers.values()) {
      this.#digest ^= _digestOf(server);
      if (server.isDraining) continue;
      const servers = byService.get(server.service) ?? [];
      byService.set(server.service, servers);
      servers.push(server);
    }
    this.#byService = byService;
  }
}

/** Creates an empty registry. */
export function createServerRegistry(): ServerRegistry {
  return new ServerRegistry();
}
