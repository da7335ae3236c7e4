/**
 * The registered backend servers. Performs no I/O: the caller passes what the
 * registry store returned and the time. While the store is unavailable,
 * registrations of running servers expire; they come back soon after the store
 * does. Removals right after an outage therefore take effect only after servers
 * had time to register again.
 *
 * Revisions order by the store's era first. A list of a new era comes from an older
 * copy: servers that it lacks may be about to register again, and servers that it
 * has may have left since. Both get time before they are removed or used.
 */
import { evictOldest } from "./bounded_map.ts";
import { DeferredChanges } from "./deferred_changes.ts";
import type { ServiceId } from "./gateway_configuration.ts";
import type { BackendServerId } from "./ids.ts";
import { hashRegistration } from "./registration_hash.ts";
import {
  type DeferredChange,
  type RegisteredServer,
  type RegistrationChange,
  type RegistrationList,
  type RegistryChanges,
  RETURN_GRACE_MILLISECONDS,
} from "./server_registrations.ts";
import {
  type IncarnationKey,
  incarnationKeyOf,
} from "./server_incarnations.ts";
import { eraOf } from "./store_revision.ts";
import { createWarmUpStatements } from "./warm_up_statements.ts";

export type { RegisteredServer } from "./server_registrations.ts";

/** Time for servers to register again after an outage of the store. */
export const REREGISTRATION_GRACE_MILLISECONDS = 2_000;
/**
 * Time for servers to register again if many disappear at once without draining,
 * because the pending watch may not have noticed an outage of the store.
 */
export const MASS_REMOVAL_GRACE_MILLISECONDS = 1_500;
/** Servers that left are remembered up to this number. */
const MAXIMUM_DEPARTED_SERVERS = 4_096;
/** Share of a service's servers that disappears at once only in an outage. */
const MASS_REMOVAL_RATIO = 0.5;
const MINIMUM_MASS_REMOVAL_SERVERS = 2;

/** The registered servers as one router knows them. */
export class ServerRegistry {
  readonly #servers = new Map<BackendServerId, RegisteredServer>();
  /**
   * Removals of servers that may register again, and departed servers that a copy of
   * the store lists.
   */
  readonly #deferred = new DeferredChanges();
  /** Incarnations that have left. */
  readonly #departed = new Map<IncarnationKey, true>();
  readonly #warmUps = createWarmUpStatements();
  #byService = new Map<ServiceId, readonly RegisteredServer[]>();
  #revision = 0;
  #version = 0;
  #digest = 0;
  #changes = new Map<BackendServerId, RegistrationChange>();
  /** Revision of the last change that `takeChanges` returned. */
  #publishedRevision = 0;
  #storeUpSince = Number.NEGATIVE_INFINITY;
  #isStoreDown = false;

  /** Latest applied revision of the store; 0 before the first list. */
  get revision(): number {
    return this.#revision;
  }

  /** Increases with every update. */
  get version(): number {
    return this.#version;
  }

  /** Digest of all registrations in the store, regardless of the revision. */
  get digest(): number {
    return this.#digest;
  }

  /** Records that the store is unavailable. */
  markStoreDown(): void {
    this.#isStoreDown = true;
  }

  /** Records that the store is available again. */
  markStoreUp(now: number): void {
    if (!this.#isStoreDown) return;
    this.#isStoreDown = false;
    this.#storeUpSince = now;
  }

  /** Replaces all registrations unless the list is of an older revision. */
  replace(list: RegistrationList, now: number): void {
    const { revision, servers, deferred = [] } = list;
    if (revision < this.#revision) return;
    const isRestored = this.#revision > 0 &&
      eraOf(revision) > eraOf(this.#revision);
    // The store was away, even if no call of this router failed.
    if (isRestored) this.#storeUpSince = now;
    this.#revision = revision;
    const listed = new Set([...servers, ...deferred].map(({ id }) => id));
    const missing = [...this.#servers.keys()].filter((id) => !listed.has(id));
    this.#removeOrDefer(missing, now);
    for (const server of servers) this.#setOrHoldBack(server, isRestored, now);
    for (const { id, server } of this.#deferred.changes()) {
      if (server && !listed.has(id)) this.#remove(id);
    }
    this.#defer(deferred, now);
    this.#rebuild();
  }

  /** Sets a listed server unless it had left before the store returned from a copy. */
  #setOrHoldBack(
    server: RegisteredServer,
    isRestored: boolean,
    now: number,
  ): void {
    const isReturning = this.#deferred.get(server.id)?.server !== undefined;
    const hasDeparted = this.#departed.has(incarnationKeyOf(server));
    if (!hasDeparted || !(isRestored || isReturning)) {
      return this.#set(server, now);
    }
    const { id } = server;
    this.#deferred.defer({ id, server }, now + RETURN_GRACE_MILLISECONDS);
  }

  /**
   * Takes over the revision of a peer that has the same servers, so that what it
   * sends next is not taken for a state of another era.
   */
  confirm(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /** Applies changes up to a revision of the store. */
  apply(
    revision: number,
    changes: readonly RegistrationChange[],
    now: number,
  ): void {
    if (revision <= this.#revision) return;
    this.#revision = revision;
    // Only the last change of an id counts: the server may be back already.
    const latest = new Map(changes.map((change) => [change.id, change]));
    const removed = [...latest.values()].filter(({ server }) => !server);
    this.#removeOrDefer(removed.map(({ id }) => id), now);
    for (const { server } of latest.values()) {
      if (server) this.#set(server, now);
    }
    this.#rebuild();
  }

  /** Applies a peer's changes, to which the peer applied the grace periods. */
  applyPeerChanges(peerChanges: RegistryChanges, now: number): void {
    const { revision, changes, deferred = [] } = peerChanges;
    this.#revision = Math.max(this.#revision, revision);
    for (const { id, server } of changes) {
      if (server) this.#set(server, now);
      else this.#remove(id);
    }
    this.#defer(deferred, now);
    this.#rebuild();
  }

  /** Defers what a peer defers, unless it has taken effect here already. */
  #defer(deferred: readonly DeferredChange[], now: number): void {
    for (const { id, server, remainingMilliseconds } of deferred) {
      const own = this.#servers.get(id);
      const isDone = server
        ? own !== undefined &&
          incarnationKeyOf(own) === incarnationKeyOf(server)
        : own === undefined;
      // What was deferred here before is older.
      if (isDone && own) this.#set(own, now);
      else if (isDone) this.#remove(id);
      else this.#deferred.defer({ id, server }, now + remainingMilliseconds);
    }
  }

  /** Returns the changes since the last call; undefined if there are none. */
  takeChanges(now: number): RegistryChanges | undefined {
    const deferred = [...this.#deferred.takeNew(now)];
    const changes = [...this.#changes.values()];
    this.#changes.clear();
    if (changes.length + deferred.length === 0) return undefined;
    const afterRevision = this.#publishedRevision;
    this.#publishedRevision = this.#revision;
    return { afterRevision, revision: this.#revision, changes, deferred };
  }

  /** Removes the servers whose grace period is over. */
  expire(now: number): void {
    const due = this.#deferred.takeDue(now);
    for (const { id, server } of due) {
      if (server) this.#set(server, now);
      else this.#remove(id);
    }
    if (due.length > 0) this.#rebuild();
  }

  /** Returns the servers of a service that may get new requests. */
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

  /** Returns all registrations that are in effect. */
  list(): RegistrationList {
    return { revision: this.#revision, servers: [...this.#servers.values()] };
  }

  /** Returns all registrations, for a peer that cannot read the store. */
  listForPeer(now: number): RegistrationList {
    return { ...this.list(), deferred: [...this.#deferred.list(now)] };
  }

  #set(server: RegisteredServer, now: number): void {
    const wasDeferred = this.#deferred.get(server.id) !== undefined;
    this.#deferred.cancel(server.id);
    this.#departed.delete(incarnationKeyOf(server));
    const previous = this.#servers.get(server.id);
    this.#servers.set(server.id, server);
    const isColdAgain = this.#warmUps.record(server, now);
    // Peers that defer a change of this server give it up as well.
    if (
      !wasDeferred && !isColdAgain && previous &&
      hashRegistration(previous) === hashRegistration(server)
    ) return;
    this.#changes.set(server.id, { id: server.id, server });
  }

  #remove(id: BackendServerId): void {
    const wasDeferred = this.#deferred.get(id) !== undefined;
    this.#deferred.cancel(id);
    const server = this.#servers.get(id);
    if (server || wasDeferred) this.#changes.set(id, { id });
    if (!server) return;
    this.#servers.delete(id);
    this.#warmUps.remove(id);
    this.#departed.set(incarnationKeyOf(server), true);
    evictOldest(this.#departed, MAXIMUM_DEPARTED_SERVERS);
  }

  #removeOrDefer(ids: readonly BackendServerId[], now: number): void {
    const massRemoved = this.#massRemovedServices(ids);
    const outageGraceEnd = this.#storeUpSince +
      REREGISTRATION_GRACE_MILLISECONDS;
    for (const id of ids) {
      const server = this.#servers.get(id);
      if (!server) this.#remove(id);
      if (!server || this.#isLeaving(id)) continue;
      const mayReturn = now < outageGraceEnd || massRemoved.has(server.service);
      // A draining server left on purpose, so it gets no grace period.
      if (server.isDraining || !mayReturn) this.#remove(id);
      else {
        const massGraceEnd = now + MASS_REMOVAL_GRACE_MILLISECONDS;
        const dueAt = now < outageGraceEnd ? outageGraceEnd : massGraceEnd;
        this.#deferred.defer({ id, server: undefined }, dueAt);
      }
    }
  }

  /** Whether the removal of a server is deferred. */
  #isLeaving(id: BackendServerId): boolean {
    const change = this.#deferred.get(id);
    return change !== undefined && change.server === undefined;
  }

  /** Returns services that lose enough servers at once to suggest an outage. */
  #massRemovedServices(ids: readonly BackendServerId[]): Set<ServiceId> {
    const removed = new Map<ServiceId, number>();
    for (const id of ids) {
      const server = this.#servers.get(id);
      if (!server || server.isDraining) continue;
      removed.set(server.service, (removed.get(server.service) ?? 0) + 1);
    }
    const massRemoved = new Set<ServiceId>();
    for (const [service, count] of removed) {
      const total = this.readyServers(service).length;
      const isMass = count >= MINIMUM_MASS_REMOVAL_SERVERS &&
        count >= total * MASS_REMOVAL_RATIO;
      if (isMass) massRemoved.add(service);
    }
    return massRemoved;
  }

  #rebuild(): void {
    this.#version++;
    const byService = new Map<ServiceId, RegisteredServer[]>();
    for (const server of this.#servers.values()) {
      if (server.isDraining) continue;
      const servers = byService.get(server.service) ?? [];
      byService.set(server.service, servers);
      servers.push(server);
    }
    this.#byService = byService;
    this.#digest = this.#computeDigest();
  }

  #computeDigest(): number {
    let digest = 0;
    for (const server of this.#servers.values()) {
      if (!this.#deferred.get(server.id)) digest ^= hashRegistration(server);
    }
    for (const { server } of this.#deferred.changes()) {
      if (server) digest ^= hashRegistration(server);
    }
    return digest;
  }
}

/** Creates an empty registry. */
export function createServerRegistry(): ServerRegistry {
  return new ServerRegistry();
}
