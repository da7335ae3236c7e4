/**
 * Keeps the backend servers that one router owns: decides on their slots, reads
 * their loads, and passes ownership of a server from one router to another.
 */
import type { ServerGrant } from "./admission_messages.ts";
import type { ConfigurationView } from "./configuration_view.ts";
import type { BackendServerId, HostId } from "./core/ids.ts";
import type { ServerLoad } from "./core/load_aggregator.ts";
import { pickByRendezvous } from "./core/rendezvous.ts";
import {
  createServerOwner,
  refusalWithoutLoad,
  type ServerOwner,
  type ServerOwnerSettings,
  type SlotOutcome,
  type SlotRefusal,
  type SlotRequest,
} from "./core/server_owner.ts";
import type { LoadSource } from "./load_source.ts";
import type { LoadTask } from "./load_task.ts";
import type { Member, MembershipView } from "./membership_view.ts";
import { serverOwnerSettingsOf } from "./server_owner_settings.ts";
import {
  createServerSuccessors,
  HANDOVER_GRACE_MILLISECONDS,
  type Successor,
} from "./server_successors.ts";
import type { Clock } from "./timer_service.ts";

/** The result of a slot request; the slot is granted if there is no refusal. */
export interface SlotResult {
  readonly refusal: SlotRefusal | undefined;
}

/** Options of the server ownership. */
export interface ServerOwnershipOptions {
  readonly members: MembershipView;
  readonly configuration: ConfigurationView;
  readonly clock: Clock;
  readonly loadSource: LoadSource;
  readonly loads: LoadTask;
  /** Requests the grants of the previous owner, which then grants no slots. */
  readonly takeOver: (
    previous: Member,
    servers: readonly BackendServerId[],
  ) => Promise<readonly ServerGrant[]>;
}

/** The backend servers that one router owns. */
export interface ServerOwnership {
  /** Recomputes which servers this router owns and their settings. */
  recompute(): void;
  setLeaving(server: BackendServerId, leaving: boolean): void;
  isOwner(server: BackendServerId): boolean;
  request(server: BackendServerId, request: SlotRequest): Promise<SlotResult>;
  release(server: BackendServerId, grantId: string): void;
  cancel(server: BackendServerId, grantId: string): void;
  /** Renews grants; returns the grants' servers that are not owned here. */
  renew(
    holder: HostId,
    grants: readonly ServerGrant[],
  ): Set<BackendServerId>;
  /** Hands servers over to the new owner and returns their grants. */
  handOver(
    servers: readonly BackendServerId[],
    successor: Successor,
  ): ServerGrant[];
  /** Returns the router that recently took a server over from this router. */
  successorOf(server: BackendServerId): Successor | undefined;
  /** Removes a successor that does not reply. */
  forgetSuccessor(server: BackendServerId): void;
  pollLoads(): void;
  processQueues(): void;
  updatePoolLoads(): void;
  serverLoads(): ServerLoad[];
  close(): void;
  describe(): unknown;
}

interface _OwnedServer {
  readonly owner: ServerOwner;
  readonly waiting: Map<string, (result: SlotResult) => void>;
  isReading: boolean;
  /** End of the handover grace; undefined while this router is the owner. */
  graceEndsAt: number | undefined;
}

/** Returns a server's owner; `members` must not include leaving members. */
export function ownerOf(
  backendServer: BackendServerId,
  members: readonly Member[],
): Member | undefined {
  return pickByRendezvous(
    `steward/${backendServer}`,
    members,
    (member) => member.host,
  );
}

/** Creates the ownership of a router, which owns no servers at first. */
export function createServerOwnership(
  options: ServerOwnershipOptions,
): ServerOwnership {
  const { members, configuration, clock, loadSource, loads } = options;
  const ownedServers = new Map<BackendServerId, _OwnedServer>();
  const successors = createServerSuccessors();
  const leavingServers = new Set<BackendServerId>();

  function settingsOf(
    server: BackendServerId,
  ): ServerOwnerSettings | undefined {
    const snapshot = configuration.current();
    return snapshot &&
      serverOwnerSettingsOf(server, snapshot, leavingServers.has(server));
  }

  function resolveWaiting(
    owned: _OwnedServer,
    outcomes: readonly SlotOutcome[],
  ): void {
    for (const { grantId, refusal } of outcomes) {
      owned.waiting.get(grantId)?.({ refusal });
      owned.waiting.delete(grantId);
    }
  }

  function processQueueOf(owned: _OwnedServer): void {
    resolveWaiting(
      owned,
      owned.owner.processQueue(clock.monotonicMilliseconds()),
    );
  }

  function removeServer(server: BackendServerId): void {
    const owned = ownedServers.get(server);
    if (!owned) return;
    ownedServers.delete(server);
    const now = clock.monotonicMilliseconds();
    resolveWaiting(owned, owned.owner.close("not_steward", now));
  }

  function updateSettings(server: BackendServerId): void {
    const owned = ownedServers.get(server);
    const settings = settingsOf(server);
    if (!owned) return;
    if (!settings) return removeServer(server);
    owned.owner.configure(settings);
    processQueueOf(owned);
  }

  function updatePoolLoad(server: BackendServerId, owned: _OwnedServer): void {
    const pool = loads.catalogue().byServer.get(server)?.pool;
    const load = pool === undefined ? undefined : loads.poolLoad(pool);
    owned.owner.setPool(load, loads.summaryReceivedAt());
  }

  /**
   * Reads and records a server's load. The load's age includes the read, as the
   * reply may be delayed.
   */
  async function readLoad(
    server: BackendServerId,
    owned: _OwnedServer,
  ): Promise<void> {
    if (settingsOf(server)?.countsGrantsOnly) return;
    owned.isReading = true;
    const startedAt = clock.monotonicMilliseconds();
    const result = await loadSource.readLoad(server);
    owned.isReading = false;
    if (result.isErr()) return;
    const now = clock.monotonicMilliseconds();
    const ageMilliseconds = result.value.ageMilliseconds + now - startedAt;
    owned.owner.recordLoad({ ...result.value, ageMilliseconds }, now);
    processQueueOf(owned);
  }

  function addServer(
    server: BackendServerId,
    settings: ServerOwnerSettings,
  ): void {
    const owned: _OwnedServer = {
      owner: createServerOwner(settings),
      waiting: new Map(),
      isReading: true,
      graceEndsAt: undefined,
    };
    ownedServers.set(server, owned);
    updatePoolLoad(server, owned);
  }

  /**
   * Imports the previous owner's grants, then reads the loads; servers grant no
   * slots before their load is known.
   */
  async function takeOver(
    previous: Member | undefined,
    servers: readonly BackendServerId[],
  ): Promise<void> {
    const grants = previous ? await options.takeOver(previous, servers) : [];
    if (previous) renew(previous.host, grants);
    for (const server of servers) {
      const owned = ownedServers.get(server);
      if (owned) void readLoad(server, owned);
    }
  }

  function recompute(): void {
    const now = clock.monotonicMilliseconds();
    const { host } = members.self();
    const others = members.liveMembers().filter((member) =>
      member.host !== host
    );
    const eligible = members.liveMembers().filter((member) => !member.leaving);
    const configured = configuration.current()?.fleet.backendServers ?? {};
    const added = new Map<Member | undefined, BackendServerId[]>();
    for (const server of Object.keys(configured) as BackendServerId[]) {
      const isOwner = ownerOf(server, eligible)?.host === host;
      const owned = ownedServers.get(server);
      const settings = settingsOf(server);
      if (owned) {
        owned.graceEndsAt = isOwner
          ? undefined
          : owned.graceEndsAt ?? now + HANDOVER_GRACE_MILLISECONDS;
      } else if (isOwner && settings && successors.canOwn(server, now)) {
        addServer(server, settings);
        const previous = ownerOf(server, others);
        added.set(previous, [...added.get(previous) ?? [], server]);
      }
    }
    for (const server of [...ownedServers.keys()]) updateSettings(server);
    for (const [previous, servers] of added) void takeOver(previous, servers);
  }

  function request(
    server: BackendServerId,
    slot: SlotRequest,
  ): Promise<SlotResult> {
    const owned = ownedServers.get(server);
    if (!owned) {
      return Promise.resolve({ refusal: refusalWithoutLoad("not_steward") });
    }
    const decision = owned.owner.request(slot, clock.monotonicMilliseconds());
    if (decision.kind === "queued") {
      const outcome = new Promise<SlotResult>((resolve) => {
        owned.waiting.set(slot.grantId, resolve);
      });
      processQueueOf(owned);
      return outcome;
    }
    const refusal = decision.kind === "refused" ? decision.refusal : undefined;
    return Promise.resolve({ refusal });
  }

  function release(server: BackendServerId, grantId: string): void {
    const owned = ownedServers.get(server);
    if (!owned) return;
    owned.owner.release(grantId, clock.monotonicMilliseconds());
    processQueueOf(owned);
  }

  function cancel(server: BackendServerId, grantId: string): void {
    const owned = ownedServers.get(server);
    if (!owned) return;
    owned.owner.cancel(grantId, clock.monotonicMilliseconds());
    const refusal = refusalWithoutLoad("cancelled");
    resolveWaiting(owned, [{ grantId, refusal }]);
    processQueueOf(owned);
  }

  function renew(
    holder: HostId,
    grants: readonly ServerGrant[],
  ): Set<BackendServerId> {
    const now = clock.monotonicMilliseconds();
    const rejected = new Set<BackendServerId>();
    for (const grant of grants) {
      const owned = ownedServers.get(grant.backendServer);
      if (owned) owned.owner.renew(holder, [grant], now);
      else rejected.add(grant.backendServer);
    }
    return rejected;
  }

  function handOver(
    servers: readonly BackendServerId[],
    successor: Successor,
  ): ServerGrant[] {
    const now = clock.monotonicMilliseconds();
    const grants: ServerGrant[] = [];
    for (const server of servers) {
      for (
        const grant of ownedServers.get(server)?.owner.exportGrants(now) ?? []
      ) {
        grants.push({ ...grant, backendServer: server });
      }
      successors.add(server, successor, now);
      removeServer(server);
    }
    return grants;
  }

  function processAllQueues(): void {
    const now = clock.monotonicMilliseconds();
    for (const [server, owned] of [...ownedServers]) {
      if (now >= (owned.graceEndsAt ?? Infinity)) removeServer(server);
      else processQueueOf(owned);
    }
    if (successors.expire(now)) recompute();
  }

  /** Reports servers that accept no new requests as not live. */
  function serverLoads(): ServerLoad[] {
    const now = clock.monotonicMilliseconds();
    return [...ownedServers].map(([backendServer, { owner: serverOwner }]) => {
      const isLive = settingsOf(backendServer)?.accepting === true &&
        serverOwner.isLoadKnown(now);
      const tokens = isLive ? serverOwner.minimumLoadTokens() : undefined;
      return { backendServer, tokens };
    });
  }

  return {
    recompute,
    setLeaving: (server, leaving) => {
      if (leaving) leavingServers.add(server);
      else leavingServers.delete(server);
      updateSettings(server);
    },
    isOwner: (server) => ownedServers.has(server),
    request,
    release,
    cancel,
    renew,
    handOver,
    successorOf: (server) => successors.get(server),
    forgetSuccessor: (server) => {
      if (successors.remove(server)) recompute();
    },
    pollLoads: () => {
      for (const [server, owned] of ownedServers) {
        if (!owned.isReading) void readLoad(server, owned);
      }
    },
    processQueues: processAllQueues,
    updatePoolLoads: () => {
      for (const [server, owned] of ownedServers) {
        updatePoolLoad(server, owned);
        processQueueOf(owned);
      }
    },
    serverLoads,
    close: () => {
      for (const server of [...ownedServers.keys()]) removeServer(server);
    },
    describe: () => {
      const now = clock.monotonicMilliseconds();
      const owners = [...ownedServers].map(([server, { owner: serverOwner }]) =>
        [server, serverOwner.describe(now)] as const
      );
      return {
        stewards: Object.fromEntries(owners),
        leaving: [...leavingServers],
        handedOver: successors.servers(),
      };
    },
  };
}
