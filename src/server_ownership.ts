/**
 * The stewards that one router is responsible for: which ones, what they know
 * of load, and how a backend server passes from one steward to the next.
 */
import type { PresentedGrant } from "./admission_messages.ts";
import type { ConfigurationView } from "./configuration_view.ts";
import type { BackendServerId, HostId, SocketAddress } from "./core/ids.ts";
import type { ServerLoad } from "./core/load_summary.ts";
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
import type { Clock } from "./timer_service.ts";

/**
 * A router that is no longer the steward answers for this long unless the next
 * one takes over before, as others may learn of the change later.
 */
export const HANDOVER_GRACE_MILLISECONDS = 5_000;

/** The result of a request for a slot; granted if there is no refusal. */
export interface SlotResult {
  readonly refusal: SlotRefusal | undefined;
}

/** Options of the stewardship. */
export interface ServerOwnershipOptions {
  readonly members: MembershipView;
  readonly configuration: ConfigurationView;
  readonly clock: Clock;
  readonly loadSource: LoadSource;
  readonly loads: LoadTask;
  /** Asks the previous steward for its grants; it grants no more after that. */
  readonly takeOver: (
    previous: Member,
    servers: readonly BackendServerId[],
  ) => Promise<readonly PresentedGrant[]>;
}

/** The stewards of one router. */
export interface ServerOwnership {
  /** Follows the members and the configuration. */
  assign(): void;
  setLeaving(server: BackendServerId, leaving: boolean): void;
  isOwner(server: BackendServerId): boolean;
  request(server: BackendServerId, request: SlotRequest): Promise<SlotResult>;
  release(server: BackendServerId, grantId: string): void;
  cancel(server: BackendServerId, grantId: string): void;
  /** Renews grants; returns the servers that this router is no steward of. */
  renew(
    holder: HostId,
    grants: readonly PresentedGrant[],
  ): Set<BackendServerId>;
  /** Gives servers up to the next steward and returns their grants. */
  handOver(
    servers: readonly BackendServerId[],
    next: Successor,
  ): PresentedGrant[];
  /** The router that took a server over from this one a short time ago. */
  successorOf(server: BackendServerId): Successor | undefined;
  /** Drops a successor that does not answer. */
  forgetSuccessor(server: BackendServerId): void;
  poll(): void;
  processQueues(): void;
  readPools(): void;
  serverLoads(): ServerLoad[];
  close(): void;
  describe(): unknown;
}

/** The router that took over a backend server. */
export interface Successor {
  readonly host: HostId;
  readonly address: SocketAddress;
}

interface _OwnedServer {
  readonly owner: ServerOwner;
  readonly waiting: Map<string, (result: SlotResult) => void>;
  isReading: boolean;
  /** When the duty ends; undefined while this router is the steward. */
  endsAt: number | undefined;
}

/** The steward of a backend server among members that are not leaving. */
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

/** Creates the stewardship of a router; it has no duties at first. */
export function createServerOwnership(
  options: ServerOwnershipOptions,
): ServerOwnership {
  const { members, configuration, clock, loadSource, loads } = options;
  const ownedServers = new Map<BackendServerId, _OwnedServer>();
  const successors = new Map<
    BackendServerId,
    { readonly next: Successor; readonly until: number }
  >();
  const leavingServers = new Set<BackendServerId>();

  function settingsOf(
    server: BackendServerId,
  ): ServerOwnerSettings | undefined {
    const snapshot = configuration.current();
    return snapshot &&
      serverOwnerSettingsOf(server, snapshot, leavingServers.has(server));
  }

  function resolve(duty: _OwnedServer, outcomes: readonly SlotOutcome[]): void {
    for (const { grantId, refusal } of outcomes) {
      duty.waiting.get(grantId)?.({ refusal });
      duty.waiting.delete(grantId);
    }
  }

  function processQueueOf(duty: _OwnedServer): void {
    resolve(duty, duty.owner.processQueue(clock.monotonicMilliseconds()));
  }

  function drop(server: BackendServerId): void {
    const duty = ownedServers.get(server);
    if (!duty) return;
    ownedServers.delete(server);
    const now = clock.monotonicMilliseconds();
    resolve(duty, duty.owner.close("not_steward", now));
  }

  function configure(server: BackendServerId): void {
    const duty = ownedServers.get(server);
    const settings = settingsOf(server);
    if (!duty) return;
    if (!settings) return drop(server);
    duty.owner.configure(settings);
    processQueueOf(duty);
  }

  function readPool(server: BackendServerId, duty: _OwnedServer): void {
    const pool = loads.catalogue().byServer.get(server)?.pool;
    const load = pool === undefined ? undefined : loads.poolLoad(pool);
    duty.owner.setPool(load, loads.summaryAt());
  }

  /** The age counts from before the read, as the reply may be delayed. */
  async function readLoad(
    server: BackendServerId,
    duty: _OwnedServer,
  ): Promise<void> {
    if (settingsOf(server)?.countsGrantsOnly) return;
    duty.isReading = true;
    const startedAt = clock.monotonicMilliseconds();
    const result = await loadSource.readLoad(server);
    duty.isReading = false;
    if (result.isErr()) return;
    const now = clock.monotonicMilliseconds();
    const ageMilliseconds = result.value.ageMilliseconds + now - startedAt;
    duty.owner.recordLoad({ ...result.value, ageMilliseconds }, now);
    processQueueOf(duty);
  }

  function adopt(server: BackendServerId, settings: ServerOwnerSettings): void {
    const duty: _OwnedServer = {
      owner: createServerOwner(settings),
      waiting: new Map(),
      isReading: true,
      endsAt: undefined,
    };
    ownedServers.set(server, duty);
    readPool(server, duty);
  }

  /** Grants nothing before the previous steward answered: no load is known. */
  async function takeOver(
    previous: Member | undefined,
    servers: readonly BackendServerId[],
  ): Promise<void> {
    const grants = previous ? await options.takeOver(previous, servers) : [];
    if (previous) renew(previous.host, grants);
    for (const server of servers) {
      const duty = ownedServers.get(server);
      if (duty) void readLoad(server, duty);
    }
  }

  function mayAdopt(server: BackendServerId): boolean {
    const until = successors.get(server)?.until ?? -Infinity;
    return clock.monotonicMilliseconds() >= until;
  }

  function assign(): void {
    const { host } = members.self();
    const others = members.liveMembers().filter((member) =>
      member.host !== host
    );
    const eligible = members.liveMembers().filter((member) => !member.leaving);
    const names = configuration.current()?.fleet.backendServers ?? {};
    const adopted = new Map<Member | undefined, BackendServerId[]>();
    for (const server of Object.keys(names) as BackendServerId[]) {
      const isOwner = ownerOf(server, eligible)?.host === host;
      const duty = ownedServers.get(server);
      const settings = settingsOf(server);
      if (duty) {
        duty.endsAt = isOwner ? undefined : duty.endsAt ??
          clock.monotonicMilliseconds() + HANDOVER_GRACE_MILLISECONDS;
      } else if (isOwner && settings && mayAdopt(server)) {
        adopt(server, settings);
        const previous = ownerOf(server, others);
        adopted.set(previous, [...adopted.get(previous) ?? [], server]);
      }
    }
    for (const server of [...ownedServers.keys()]) configure(server);
    for (const [previous, servers] of adopted) void takeOver(previous, servers);
  }

  function request(
    server: BackendServerId,
    slot: SlotRequest,
  ): Promise<SlotResult> {
    const duty = ownedServers.get(server);
    if (!duty) {
      return Promise.resolve({ refusal: refusalWithoutLoad("not_steward") });
    }
    const decision = duty.owner.request(slot, clock.monotonicMilliseconds());
    if (decision.kind === "queued") {
      const outcome = new Promise<SlotResult>((settled) => {
        duty.waiting.set(slot.grantId, settled);
      });
      processQueueOf(duty);
      return outcome;
    }
    const refusal = decision.kind === "refused" ? decision.refusal : undefined;
    return Promise.resolve({ refusal });
  }

  function release(server: BackendServerId, grantId: string): void {
    const duty = ownedServers.get(server);
    if (!duty) return;
    duty.owner.release(grantId, clock.monotonicMilliseconds());
    processQueueOf(duty);
  }

  function cancel(server: BackendServerId, grantId: string): void {
    const duty = ownedServers.get(server);
    if (!duty) return;
    duty.owner.cancel(grantId, clock.monotonicMilliseconds());
    const refusal = refusalWithoutLoad("cancelled");
    resolve(duty, [{ grantId, refusal }]);
    processQueueOf(duty);
  }

  function renew(
    holder: HostId,
    grants: readonly PresentedGrant[],
  ): Set<BackendServerId> {
    const now = clock.monotonicMilliseconds();
    const rejected = new Set<BackendServerId>();
    for (const grant of grants) {
      const duty = ownedServers.get(grant.backendServer);
      if (duty) duty.owner.renew(holder, [grant], now);
      else rejected.add(grant.backendServer);
    }
    return rejected;
  }

  function handOver(
    servers: readonly BackendServerId[],
    next: Successor,
  ): PresentedGrant[] {
    const now = clock.monotonicMilliseconds();
    const grants: PresentedGrant[] = [];
    for (const server of servers) {
      for (
        const grant of ownedServers.get(server)?.owner.exportGrants(now) ?? []
      ) {
        grants.push({ ...grant, backendServer: server });
      }
      successors.set(server, {
        next,
        until: now + HANDOVER_GRACE_MILLISECONDS,
      });
      drop(server);
    }
    return grants;
  }

  function settle(): void {
    const now = clock.monotonicMilliseconds();
    for (const [server, duty] of [...ownedServers]) {
      if (now >= (duty.endsAt ?? Infinity)) drop(server);
      else processQueueOf(duty);
    }
    let hasExpired = false;
    for (const [server, { until }] of successors) {
      if (now < until) continue;
      successors.delete(server);
      hasExpired = true;
    }
    if (hasExpired) assign();
  }

  /** Servers that take no new work are reported as not live. */
  function serverLoads(): ServerLoad[] {
    const now = clock.monotonicMilliseconds();
    return [...ownedServers].map(([backendServer, { owner: steward }]) => {
      const isLive = settingsOf(backendServer)?.accepting === true &&
        steward.isLoadKnown(now);
      const tokens = isLive ? steward.minimumLoadTokens() : undefined;
      return { backendServer, tokens };
    });
  }

  return {
    assign,
    setLeaving: (server, leaving) => {
      if (leaving) leavingServers.add(server);
      else leavingServers.delete(server);
      configure(server);
    },
    isOwner: (server) => ownedServers.has(server),
    request,
    release,
    cancel,
    renew,
    handOver,
    successorOf: (server) => successors.get(server)?.next,
    forgetSuccessor: (server) => {
      if (successors.delete(server)) assign();
    },
    poll: () => {
      for (const [server, duty] of ownedServers) {
        if (!duty.isReading) void readLoad(server, duty);
      }
    },
    processQueues: settle,
    readPools: () => {
      for (const [server, duty] of ownedServers) {
        readPool(server, duty);
        processQueueOf(duty);
      }
    },
    serverLoads,
    close: () => {
      for (const server of [...ownedServers.keys()]) drop(server);
    },
    describe: () => {
      const now = clock.monotonicMilliseconds();
      const stewards = [...ownedServers].map(([server, { owner: steward }]) =>
        [server, steward.describe(now)] as const
      );
      return {
        stewards: Object.fromEntries(stewards),
        leaving: [...leavingServers],
        handedOver: [...successors.keys()],
      };
    },
  };
}
