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
export const REREGISTRATION_GRACE_MILLISECONDS = 2_000;
/**
 * Time that servers get which vanish together without a notice, because an
 * outage may pass unseen while a watch waits.
 */
export const MASS_REMOVAL_GRACE_MILLISECONDS = 1_500;
/** Part of a service's servers that vanish together only in an outage. */
const MASS_REMOVAL_RATIO = 0.5;
const MINIMUM_MASS_REMOVAL = 2;

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

const _changeSchema = z.object({
  id: _text.transform((text) => brandId<BackendServerId>(text)),
  server: registeredServerSchema.optional(),
});

/** Changes that a router tells its peers. */
export const registryChangesSchema = z.object({
  /** Whoever knows this revision lacks nothing but these changes. */
  afterRevision: z.number(),
  revision: z.number(),
  changes: z.array(_changeSchema),
});

/** A change of one registration; without a server it was removed. */
export type RegistrationChange = z.infer<typeof _changeSchema>;
/** Changes that a router tells its peers. */
export type RegistryChanges = z.infer<typeof registryChangesSchema>;

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
  #changes = new Map<BackendServerId, RegistrationChange>();
  /** Revision of the last change that was handed out. */
  #publishedRevision = 0;
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
    const missing = [...this.#servers.keys()].filter((id) => !listed.has(id));
    this.#removeAll(missing, now);
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
    // Only the last change of an id counts; it may have come back since.
    const latest = new Map(changes.map((change) => [change.id, change]));
    const removed = [...latest.values()].filter(({ server }) => !server);
    this.#removeAll(removed.map(({ id }) => id), now);
    for (const { server } of latest.values()) if (server) this.#set(server);
    this.#rebuild();
  }

  /** Applies changes of a peer, which has already judged removals. */
  follow({ revision, changes }: RegistryChanges): void {
    this.#revision = Math.max(this.#revision, revision);
    for (const { id, server } of changes) {
      if (server) this.#set(server);
      else this.#drop(id);
    }
    this.#rebuild();
  }

  /** Returns what changed since the last call. */
  takeChanges(): RegistryChanges {
    const taken = {
      afterRevision: this.#publishedRevision,
      revision: this.#revision,
      changes: [...this.#changes.values()],
    };
    if (taken.changes.length > 0) this.#publishedRevision = this.#revision;
    this.#changes.clear();
    return taken;
  }

  /** Drops lapsed registrations whose time to return is over. */
  expire(now: number): void {
    let changed = false;
    for (const [id, dropAt] of this.#lapsed) {
      if (now < dropAt) continue;
      this.#drop(id);
      changed = true;
    }
    if (changed) this.#rebuild();
  }

  /** Servers of a service that may get new requests. */
  readyServers(service: ServiceId): readonly RegisteredServer[] {
    return this.#byService.get(service) ?? [];
  }

  /** Number of registrations. */
  get size(): number {
    return this.#servers.size;
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
    const known = this.#servers.get(server.id);
    this.#servers.set(server.id, server);
    if (known && _digestOf(known) === _digestOf(server)) return;
    this.#changes.set(server.id, { id: server.id, server });
  }

  #drop(id: BackendServerId): void {
    this.#lapsed.delete(id);
    if (this.#servers.delete(id)) this.#changes.set(id, { id });
  }

  #removeAll(ids: readonly BackendServerId[], now: number): void {
    const lapsing = this.#lapsingServices(ids);
    const returnEnds = this.#returnedAt + REREGISTRATION_GRACE_MILLISECONDS;
    for (const id of ids) {
      const server = this.#servers.get(id);
      if (!server || this.#lapsed.has(id)) continue;
      const mayReturn = now < returnEnds || lapsing.has(server.service);
      // A draining server left on purpose; only others can have lapsed.
      if (server.isDraining || !mayReturn) this.#drop(id);
      else {
        const massEnds = now + MASS_REMOVAL_GRACE_MILLISECONDS;
        this.#lapsed.set(id, now < returnEnds ? returnEnds : massEnds);
      }
    }
  }

  /** Services of which so many servers vanish together that it is an outage. */
  #lapsingServices(ids: readonly BackendServerId[]): Set<ServiceId> {
    const removed = new Map<ServiceId, number>();
    for (const id of ids) {
      const server = this.#servers.get(id);
      if (!server || server.isDraining) continue;
      removed.set(server.service, (removed.get(server.service) ?? 0) + 1);
    }
    const lapsing = new Set<ServiceId>();
    for (const [service, count] of removed) {
      const total = this.readyServers(service).length;
      const isMass = count >= MINIMUM_MASS_REMOVAL &&
        count >= total * MASS_REMOVAL_RATIO;
      if (isMass) lapsing.add(service);
    }
    return lapsing;
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
