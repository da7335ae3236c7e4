/**
 * Hands over the KV cache of leaving engines. The router that is an engine's
 * steward has the engine's most recent chats exported to the engines that come
 * next in rank, within the byte budget of a drain.
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

const TICK_MILLISECONDS = 500;
/** Chats moved by one export, so that one slow call does not hold up the rest. */
const CHATS_PER_BATCH = 16;
/** Exports of one drain that may fail before the rest is given up. */
const MAXIMUM_FAILURES = 3;

/** Knows which chats an engine served last. */
export abstract class HotChatSource {
  abstract chatsOf(
    backendServer: string,
    address: SocketAddress,
  ): Promise<readonly HotChat[]>;
}

/** What the drain task needs. */
export interface DrainTaskOptions {
  readonly backend: Pick<BackendClient, "exportCache" | "importCache">;
  readonly hotChats: HotChatSource;
  readonly membership: MembershipView;
  readonly configuration: ConfigurationView;
  readonly timers: TimerService;
  /** Hosts that the platform lists as leaving. */
  readonly leavingHosts: () => readonly string[];
  /** Called with each chat whose cache was moved, so that it is routed there. */
  readonly onMoved?: (chat: string, target: string) => void;
  /** Orders engines by preference for a chat; as routing does. */
  readonly rank?: (chat: string, servers: readonly string[]) => string[];
}

/** One finished or running hand-over. */
export interface DrainReport {
  readonly backendServer: string;
  readonly chats: number;
  readonly bytesMoved: number;
  readonly failures: number;
}

class _DrainTask extends Task {
  override readonly name = "drain";
  readonly #options: DrainTaskOptions;
  /** Hand-overs by engine; forgotten when the engine is back in service. */
  readonly #reports = new Map<string, DrainReport | undefined>();
  #subscription: Subscription | undefined;

  constructor(options: DrainTaskOptions) {
    super();
    this.#options = options;
  }

  override async start(): Promise<void> {
    const { timers } = this.#options;
    this.#subscription = timers.every(
      TICK_MILLISECONDS,
      "drains",
      () => this.#check(),
    );
  }

  override async stop(): Promise<void> {
    this.#subscription?.cancel();
  }

  override describe(): unknown {
    return Object.fromEntries(this.#reports);
  }

  #check(): void {
    const snapshot = this.#options.configuration.current();
    if (!snapshot) return;
    const drains = this.#drains(snapshot);
    for (
      const [name, server] of Object.entries(snapshot.fleet.backendServers)
    ) {
      if (server.kind !== "engine") continue;
      if (isUsable(snapshot.fleet, drains, name)) this.#reports.delete(name);
      else if (!this.#reports.has(name) && this.#isOwner(name)) {
        this.#reports.set(name, undefined);
        void this.#handOver(snapshot, drains, name);
      }
    }
  }

  #drains({ drains }: ConfigurationSnapshot): Drains {
    const hosts = [...drains.hosts, ...this.#options.leavingHosts()];
    return { hosts, backendServers: drains.backendServers };
  }

  #isOwner(backendServer: string): boolean {
    const { membership } = this.#options;
    const steward = pickByRendezvous(
      `steward/${backendServer}`,
      membership.liveMembers().filter((member) => !member.leaving),
      (member) => member.host,
    );
    return steward?.incarnation === membership.self().incarnation;
  }

  async #handOver(
    { fleet }: ConfigurationSnapshot,
    drains: Drains,
    engine: string,
  ): Promise<void> {
    const { backend, hotChats, rank = _rankByChat } = this.#options;
    const address = _address(fleet.backendServers[engine]?.address);
    const batches = planCacheExport({
      chats: await hotChats.chatsOf(engine, address),
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
      const budget = fleet.fleet.exportBytesPerDrain - report.bytesMoved;
      if (budget <= 0 || report.failures >= MAXIMUM_FAILURES) break;
      const exported = await backend.exportCache(address, chats, budget);
      const imported = exported.isOk()
        ? await backend.importCache(
          _address(fleet.backendServers[target]?.address),
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

function _address(address: string | undefined): SocketAddress {
  return brandId<SocketAddress>(address ?? "");
}

function _rankByChat(chat: string, servers: readonly string[]): string[] {
  return rankByRendezvous(`chat/${chat}`, servers, (name) => name);
}

class _CacheEventHotChats extends HotChatSource {
  readonly #backend: Pick<BackendClient, "readCacheEvents">;

  constructor(backend: Pick<BackendClient, "readCacheEvents">) {
    super();
    this.#backend = backend;
  }

  override async chatsOf(
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

/** Learns an engine's recent chats from the cache events it still holds. */
export function createCacheEventHotChats(
  backend: Pick<BackendClient, "readCacheEvents">,
): HotChatSource {
  return new _CacheEventHotChats(backend);
}

/** Creates the drain task of one router. */
export function createDrainTask(options: DrainTaskOptions): Task {
  return new _DrainTask(options);
}
