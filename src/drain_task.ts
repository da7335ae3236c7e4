/**
 * Moves the KV cache of drained engines. The router that owns an engine exports
 * the cache of the engine's most recent chats to the engines that rank next,
 * within the byte budget of a drain.
 */
import type { BackendClient } from "./backend_client.ts";
import type { ConfigurationView } from "./configuration_view.ts";
import {
  exportTargets,
  type HotChat,
  planCacheExport,
} from "./core/cache_export.ts";
import type { ConfigurationSnapshot, Drains } from "./core/fleet_schema.ts";
import { brandId, type SocketAddress } from "./core/ids.ts";
import { isUsable } from "./core/orders.ts";
import { pickByRendezvous, rankByRendezvous } from "./core/rendezvous.ts";
import type { MembershipView } from "./membership_view.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

const CHECK_PERIOD_MILLISECONDS = 500;
/** Chats per export; limits how long one slow call delays the rest. */
const CHATS_PER_BATCH = 16;
/** A drain stops after this many failed exports or imports. */
const MAXIMUM_FAILED_BATCHES = 3;

/** Provides the chats that an engine served most recently. */
export abstract class HotChatSource {
  abstract recentChatsOf(
    backendServer: string,
    address: SocketAddress,
  ): Promise<readonly HotChat[]>;
}

/** Options of the drain task. */
export interface DrainTaskOptions {
  readonly backend: Pick<BackendClient, "exportCache" | "importCache">;
  readonly hotChats: HotChatSource;
  readonly membership: MembershipView;
  readonly configuration: ConfigurationView;
  readonly timers: TimerService;
  /** Returns the hosts that the platform lists as leaving. */
  readonly leavingHosts: () => readonly string[];
  /** Called for each moved chat, so that it is routed to its new engine. */
  readonly onMoved?: (chat: string, target: string) => void;
  /** Orders engines by preference for a chat, as routing does. */
  readonly rank?: (chat: string, servers: readonly string[]) => string[];
}

/** Progress of a running or finished cache move. */
export interface DrainReport {
  readonly backendServer: string;
  readonly chats: number;
  readonly bytesMoved: number;
  readonly failures: number;
}

class _DrainTask extends Task {
  override readonly name = "drain";
  readonly #options: DrainTaskOptions;
  /** Reports by engine; deleted once the engine is back in service. */
  readonly #reports = new Map<string, DrainReport | undefined>();
  #subscription: Subscription | undefined;

  constructor(options: DrainTaskOptions) {
    super();
    this.#options = options;
  }

  override async start(): Promise<void> {
    const { timers } = this.#options;
    this.#subscription = timers.every(
      CHECK_PERIOD_MILLISECONDS,
      "drains",
      () => this.#checkDrains(),
    );
  }

  override async stop(): Promise<void> {
    this.#subscription?.cancel();
  }

  override describe(): unknown {
    return Object.fromEntries(this.#reports);
  }

  #checkDrains(): void {
    const snapshot = this.#options.configuration.current();
    if (!snapshot) return;
    const drains = this.#effectiveDrains(snapshot);
    for (
      const [name, server] of Object.entries(snapshot.fleet.backendServers)
    ) {
      if (server.kind !== "engine") continue;
      if (isUsable(snapshot.fleet, drains, name)) this.#reports.delete(name);
      else if (!this.#reports.has(name) && this.#isOwner(name)) {
        this.#reports.set(name, undefined);
        void this.#moveCache(snapshot, drains, name);
      }
    }
  }

  #effectiveDrains({ drains }: ConfigurationSnapshot): Drains {
    const hosts = [...drains.hosts, ...this.#options.leavingHosts()];
    return { hosts, backendServers: drains.backendServers };
  }

  #isOwner(backendServer: string): boolean {
    const { membership } = this.#options;
    const owner = pickByRendezvous(
      `steward/${backendServer}`,
      membership.liveMembers().filter((member) => !member.leaving),
      (member) => member.host,
    );
    return owner?.incarnation === membership.self().incarnation;
  }

  async #moveCache(
    { fleet }: ConfigurationSnapshot,
    drains: Drains,
    engine: string,
  ): Promise<void> {
    const { backend, hotChats, rank = _rankByChat } = this.#options;
    const address = _toSocketAddress(fleet.backendServers[engine]?.address);
    const batches = planCacheExport({
      chats: await hotChats.recentChatsOf(engine, address),
      targets: exportTargets(fleet, drains, engine),
      rank,
      chatsPerBatch: CHATS_PER_BATCH,
    });
    const report = {
      backendServer: engine,
      chats: 0,
      bytesMoved: 0,
      failures: 0,
    };
    this.#reports.set(engine, report);
    for (const { target, chats } of batches) {
      const bytesLeft = fleet.fleet.exportBytesPerDrain - report.bytesMoved;
      if (bytesLeft <= 0 || report.failures >= MAXIMUM_FAILED_BATCHES) break;
      const exported = await backend.exportCache(address, chats, bytesLeft);
      const imported = exported.isOk()
        ? await backend.importCache(
          _toSocketAddress(fleet.backendServers[target]?.address),
          exported.value,
        )
        : exported;
      if (imported.isErr()) report.failures++;
      else {
        report.chats += chats.length;
        for (const chat of chats) this.#options.onMoved?.(chat, target);
      }
      if (exported.isOk()) report.bytesMoved += exported.value.bytes;
    }
  }
}

function _toSocketAddress(address: string | undefined): SocketAddress {
  return brandId<SocketAddress>(address ?? "");
}

function _rankByChat(chat: string, servers: readonly string[]): string[] {
  return rankByRendezvous(`chat/${chat}`, servers, (name) => name);
}

class _CacheEventHotChatSource extends HotChatSource {
  readonly #backend: Pick<BackendClient, "readCacheEvents">;

  constructor(backend: Pick<BackendClient, "readCacheEvents">) {
    super();
    this.#backend = backend;
  }

  override async recentChatsOf(
    _backendServer: string,
    address: SocketAddress,
  ): Promise<readonly HotChat[]> {
    const result = await this.#backend.readCacheEvents(address, 0);
    if (result.isErr()) return [];
    const servedAt = new Map<string, number>();
    for (const { kind, chat, sequence } of result.value.events) {
      if (kind === "stored") servedAt.set(chat, sequence);
    }
    return [...servedAt].map(([chat, sequence]) => ({
      chat,
      servedAt: sequence,
    }));
  }
}

/** Derives an engine's recent chats from its retained cache events. */
export function createCacheEventHotChatSource(
  backend: Pick<BackendClient, "readCacheEvents">,
): HotChatSource {
  return new _CacheEventHotChatSource(backend);
}

/** Creates the drain task of one router. */
export function createDrainTask(options: DrainTaskOptions): Task {
  return new _DrainTask(options);
}
