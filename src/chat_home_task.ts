/**
 * Each chat has one home router, which records the servers that served the
 * chat. Other routers query and update the home over the network. Without a
 * reply, or with an outdated one, a chat only loses cache reuse, so a failed
 * lookup returns no servers.
 */
import { z } from "zod";
import {
  type ChatEntry,
  type ChatKey,
  type ChatTable,
  createChatTable,
  MAXIMUM_CHAT_ID_LENGTH,
} from "./core/chat_table.ts";
import {
  type RememberedServer,
  SERVERS_PER_CHAT,
} from "./core/remembered_servers.ts";
import {
  type BackendServerId,
  brandId,
  type ChatId,
  type WorkspaceId,
} from "./core/ids.ts";
import { pickByRendezvous } from "./core/rendezvous.ts";
import type { Member, MembershipView } from "./membership_view.ts";
import type { PeerNetwork } from "./peer_network.ts";
import { Task } from "./task.ts";
import type { Clock } from "./timer_service.ts";

/**
 * Timeout of a lookup at another router; a longer wait would delay the first
 * token more than cache reuse saves.
 */
const LOOKUP_TIMEOUT_MILLISECONDS = 50;
/**
 * Limits the table to less than 20 MB of a node's 128 MB; an entry takes less
 * than 200 bytes.
 */
const DEFAULT_MAXIMUM_CHATS = 100_000;
/** Maximum entries per message; keeps it far below the 2 MiB frame limit. */
const ENTRIES_PER_MESSAGE = 512;
/** A handover ends if a message is not acknowledged in this time. */
const HANDOVER_TIMEOUT_MILLISECONDS = 1_000;

const _idSchema = z.string().max(256);
const _serversSchema = z.array(z.object({
  backendServer: _idSchema.transform((text) => brandId<BackendServerId>(text)),
  cachedTokens: z.number().int().min(0).max(0xffff_ffff),
  ageMilliseconds: z.number().min(0),
})).max(SERVERS_PER_CHAT);
const _chatKeySchema = z.object({
  workspace: _idSchema.transform((text) => brandId<WorkspaceId>(text)),
  chat: z.string().max(MAXIMUM_CHAT_ID_LENGTH)
    .transform((text) => brandId<ChatId>(text)),
});
const _entriesSchema = z.array(
  _chatKeySchema.extend({ servers: _serversSchema }),
)
  .max(ENTRIES_PER_MESSAGE);

/** Options of the chat home task. */
export interface ChatHomeTaskOptions {
  readonly network: PeerNetwork;
  readonly membership: MembershipView;
  readonly clock: Clock;
  readonly maximumChats?: number;
  readonly lookupTimeoutMilliseconds?: number;
}

/** Counters of a chat home task since it started. */
export interface ChatHomeCounters {
  localLookups: number;
  peerLookups: number;
  failedLookups: number;
  malformedMessages: number;
  entriesHandedOver: number;
  entriesLost: number;
}

/** Returns the rendezvous hashing key that selects a chat's home. */
export function chatHomeKey(workspace: WorkspaceId, chat: ChatId): string {
  return `chat/${workspace}/${chat}`;
}

function _isStorable(chat: ChatId): boolean {
  return chat.length <= MAXIMUM_CHAT_ID_LENGTH;
}

/**
 * Records which servers cache the chats of this home, and queries the homes of
 * other chats.
 */
export class ChatHomeTask extends Task {
  override readonly name = "chat_home";
  readonly #options: ChatHomeTaskOptions;
  readonly #table: ChatTable;
  readonly #counters: ChatHomeCounters = {
    localLookups: 0,
    peerLookups: 0,
    failedLookups: 0,
    malformedMessages: 0,
    entriesHandedOver: 0,
    entriesLost: 0,
  };
  /** Members eligible as homes; rebuilt when the membership changes. */
  #homes: readonly Member[] = [];
  #handedOver = false;

  constructor(options: ChatHomeTaskOptions) {
    super();
    this.#options = options;
    this.#table = createChatTable({
      maximumChats: options.maximumChats ?? DEFAULT_MAXIMUM_CHATS,
    });
  }

  override async start(): Promise<void> {
    const { network, membership } = this.#options;
    this.#updateHomes();
    membership.onChange(() => this.#updateHomes());
    network.handle("chat.lookup", (body) => this.#handleLookup(body));
    network.handle("chat.remember", (body) => this.#handleRemember(body));
  }

  /** Hands the entries over unless `handOver` was called before. */
  override async stop(): Promise<void> {
    await this.handOver();
  }

  /** Returns the servers stored for a chat; none if its home does not reply. */
  async lookup(
    workspace: WorkspaceId,
    chat: ChatId,
  ): Promise<readonly RememberedServer[]> {
    if (!_isStorable(chat)) return [];
    const key: ChatKey = { workspace, chat };
    const home = this.#homeOf(key);
    if (!home || this.#isSelf(home)) {
      this.#counters.localLookups++;
      return this.#table.lookup(key, this.#now());
    }
    this.#counters.peerLookups++;
    const reply = await this.#options.network.request(
      home.address,
      "chat.lookup",
      key,
      this.#options.lookupTimeoutMilliseconds ?? LOOKUP_TIMEOUT_MILLISECONDS,
    );
    const servers = _serversSchema.safeParse(reply.unwrapOr(undefined));
    if (servers.success) return servers.data;
    this.#counters.failedLookups++;
    return [];
  }

  /**
   * Records at the chat's home how many tokens of the chat a server has cached.
   * Zero means that the server has evicted the chat.
   */
  remember(
    workspace: WorkspaceId,
    chat: ChatId,
    backendServer: BackendServerId,
    cachedTokens: number,
  ): void {
    if (!_isStorable(chat)) return;
    const server = { backendServer, cachedTokens, ageMilliseconds: 0 };
    const entry: ChatEntry = { workspace, chat, servers: [server] };
    const home = this.#homeOf(entry);
    if (!home || this.#isSelf(home)) this.#store([entry]);
    else this.#options.network.send(home.address, "chat.remember", [entry]);
  }

  /**
   * Sends every entry to the router that is the chat's home once this router
   * has left. Called on a planned stop, after this router was marked as leaving.
   */
  async handOver(): Promise<void> {
    if (this.#handedOver) return;
    this.#handedOver = true;
    const homes = this.#homes.filter((member) => !this.#isSelf(member));
    const batches = new Map<Member, ChatEntry[]>();
    for (const entry of this.#table.entries(this.#now())) {
      const home = _pickHome(entry, homes);
      // Without a home, no other router can keep the entries.
      if (!home) return;
      const batch = batches.get(home) ?? [];
      batch.push(entry);
      batches.set(home, batch);
    }
    await Promise.all(
      [...batches].map(([home, entries]) => this.#sendEntries(home, entries)),
    );
  }

  /** Returns the counters, for metrics. */
  counters(): Readonly<ChatHomeCounters> {
    return this.#counters;
  }

  override describe(): unknown {
    return {
      chats: this.#table.size(),
      arrayBytes: this.#table.arrayBytes(),
      homes: this.#homes.length,
      handedOver: this.#handedOver,
      ...this.#counters,
    };
  }

  async #sendEntries(home: Member, entries: ChatEntry[]): Promise<void> {
    for (let at = 0; at < entries.length; at += ENTRIES_PER_MESSAGE) {
      const batch = entries.slice(at, at + ENTRIES_PER_MESSAGE);
      const reply = await this.#options.network.request(
        home.address,
        "chat.remember",
        batch,
        HANDOVER_TIMEOUT_MILLISECONDS,
      );
      if (reply.isOk()) this.#counters.entriesHandedOver += batch.length;
      else {
        this.#counters.entriesLost += entries.length - at;
        return;
      }
    }
  }

  #now(): number {
    return this.#options.clock.monotonicMilliseconds();
  }

  #isSelf(member: Member): boolean {
    return member.host === this.#options.membership.self().host;
  }

  #updateHomes(): void {
    const { membership } = this.#options;
    const self = membership.self();
    const otherMembers = membership.liveMembers()
      .filter((member) => member.host !== self.host);
    this.#homes = [...otherMembers, self].filter((member) => !member.leaving);
  }

  #homeOf(key: ChatKey): Member | undefined {
    return _pickHome(key, this.#homes);
  }

  #store(entries: readonly ChatEntry[]): void {
    const now = this.#now();
    // `merge` skips servers with zero tokens, so evictions are recorded first.
    for (const entry of entries) {
      for (const server of entry.servers) {
        if (server.cachedTokens === 0) this.#table.remember(entry, server, now);
      }
    }
    this.#table.merge(entries, now);
  }

  #handleLookup(body: unknown): readonly RememberedServer[] {
    const key = _chatKeySchema.safeParse(body);
    if (key.success) return this.#table.lookup(key.data, this.#now());
    this.#counters.malformedMessages++;
    return [];
  }

  #handleRemember(body: unknown): undefined {
    const entries = _entriesSchema.safeParse(body);
    if (entries.success) this.#store(entries.data);
    else this.#counters.malformedMessages++;
    return undefined;
  }
}

function _pickHome(
  key: ChatKey,
  homes: readonly Member[],
): Member | undefined {
  return pickByRendezvous(
    chatHomeKey(key.workspace, key.chat),
    homes,
    (member) => member.host,
  );
}
