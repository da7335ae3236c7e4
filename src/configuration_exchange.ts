/**
 * Exchanges configurations with other routers and reads them from the platform.
 * It validates the bodies of messages; the decisions are made in
 * `configuration_state.ts`.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  chunkKey,
  type ConfigurationHead,
  diffHead,
  HEAD_KEY,
  safeParseHead,
  safeParseStoredHead,
  safePatchHead,
} from "./core/configuration_head.ts";
import {
  FETCH_TIMEOUT_MILLISECONDS,
  MAXIMUM_CHUNKS_PER_FETCH,
} from "./core/configuration_state.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { SocketAddress } from "./core/ids.ts";
import type { PeerNetwork } from "./peer_network.ts";
import type { PlatformClient } from "./platform_client.ts";

/** Keeps a reply with chunks well below the maximum frame size. */
const MAXIMUM_REPLY_BYTES = 768 * 1024;
/** Recent heads kept, which a peer may name as the base of a delta. */
const MAXIMUM_KNOWN_HEADS = 16;
const MAXIMUM_PARALLEL_READS = 8;

const _announcement = z.object({ generation: z.number().int().nonnegative() });
const _headRequest = z.object({ base: z.string().optional() });
const _headReply = z.object({
  head: z.unknown().optional(),
  delta: z.unknown().optional(),
});
const _chunksRequest = z.object({
  digests: z.array(z.string()).max(MAXIMUM_CHUNKS_PER_FETCH),
});
const _chunksReply = z.object({ texts: z.array(z.string()) });

type _AsyncResult<T> = Promise<Result<T, ApplicationError>>;

/** A head as read from the platform, with the version of its object. */
export interface ReadHead {
  readonly head: ConfigurationHead | undefined;
  readonly version: number;
}

/** Parses the head object that a read or a watch returned. */
export function parseHeadObject(
  object: { readonly value: string; readonly version: number } | undefined,
): Result<ReadHead, ApplicationError> {
  if (!object) return ok({ head: undefined, version: 0 });
  return safeParseStoredHead(object.value).map((stored) => {
    const { generation, digest, applyId, chunks, drains } = stored;
    return {
      head: { generation, digest, applyId, chunks, drains },
      version: object.version,
    };
  });
}

/** Options of `ConfigurationExchange`. */
export interface ConfigurationExchangeOptions {
  readonly network: PeerNetwork;
  readonly platform: PlatformClient;
  /** Returns a chunk that this router has stored. */
  readonly findChunk: (digest: string) => string | undefined;
  readonly onAnnounced: (from: SocketAddress, generation: number) => void;
}

/** Sends and handles the configuration messages between routers. */
export class ConfigurationExchange {
  readonly #options: ConfigurationExchangeOptions;
  /** Heads that have been in force, by digest, the newest last. */
  readonly #recentHeads = new Map<string, ConfigurationHead>();
  readonly counters = {
    headsFetched: 0,
    chunksFetched: 0,
    chunksRead: 0,
    chunksServed: 0,
  };

  constructor(options: ConfigurationExchangeOptions) {
    this.#options = options;
  }

  /** Registers the message handlers. */
  start(): void {
    const { network, onAnnounced } = this.#options;
    network.handle("configuration.announce", (body, from) => {
      const parsed = _announcement.safeParse(body);
      if (parsed.success) onAnnounced(from.address, parsed.data.generation);
    });
    network.handle("configuration.fetch_head", (body) => this.#serveHead(body));
    network.handle(
      "configuration.fetch_chunks",
      (body) => this.#serveChunks(body),
    );
  }

  /** Sets the head that is served to peers. */
  setServedHead(head: ConfigurationHead): void {
    this.#recentHeads.delete(head.digest);
    this.#recentHeads.set(head.digest, head);
    const [oldest] = this.#recentHeads.keys();
    if (oldest !== undefined && this.#recentHeads.size > MAXIMUM_KNOWN_HEADS) {
      this.#recentHeads.delete(oldest);
    }
  }

  announce(to: SocketAddress, generation: number): void {
    this.#options.network.send(to, "configuration.announce", { generation });
  }

  /** Fetches the head of a peer; undefined if it has none. */
  async fetchHead(
    from: SocketAddress,
  ): _AsyncResult<ConfigurationHead | undefined> {
    const base = this.#newestHead();
    const reply = await this.#options.network.request(
      from,
      "configuration.fetch_head",
      base ? { base: base.digest } : {},
      FETCH_TIMEOUT_MILLISECONDS,
    );
    return reply.andThen((body) => {
      const parsed = _headReply.safeParse(body);
      if (!parsed.success) {
        return err(
          createError("malformed_body", "the fetch_head reply is malformed"),
        );
      }
      this.counters.headsFetched++;
      const { head, delta } = parsed.data;
      if (delta !== undefined && base) return safePatchHead(base, delta);
      return head === undefined ? ok(undefined) : safeParseHead(head);
    });
  }

  /** Fetches chunks from a peer, which may return only some of them. */
  async fetchChunks(
    from: SocketAddress,
    digests: readonly string[],
  ): _AsyncResult<string[]> {
    const reply = await this.#options.network.request(
      from,
      "configuration.fetch_chunks",
      { digests },
      FETCH_TIMEOUT_MILLISECONDS,
    );
    return reply.andThen((body) => {
      const parsed = _chunksReply.safeParse(body);
      if (!parsed.success) {
        return err(
          createError("malformed_body", "the fetch_chunks reply is malformed"),
        );
      }
      this.counters.chunksFetched += parsed.data.texts.length;
      return ok(parsed.data.texts);
    });
  }

  /** Reads the head from the platform. */
  async readHead(): _AsyncResult<ReadHead> {
    return (await this.#options.platform.read(HEAD_KEY)).andThen(
      parseHeadObject,
    );
  }

  /** Reads chunks from the platform; those that don't exist are omitted. */
  async readChunks(digests: readonly string[]): _AsyncResult<string[]> {
    const queue = [...digests];
    const texts: string[] = [];
    let failure: ApplicationError | undefined;
    const readQueued = async (): Promise<void> => {
      for (
        let digest = queue.shift();
        digest && !failure;
        digest = queue.shift()
      ) {
        const read = await this.#options.platform.read(chunkKey(digest));
        if (read.isErr()) failure = read.error;
        else if (read.value) texts.push(read.value.value);
      }
    };
    await Promise.all(
      Array.from({ length: MAXIMUM_PARALLEL_READS }, readQueued),
    );
    this.counters.chunksRead += texts.length;
    return failure && texts.length === 0 ? err(failure) : ok(texts);
  }

  #newestHead(): ConfigurationHead | undefined {
    return [...this.#recentHeads.values()].at(-1);
  }

  #serveHead(body: unknown): unknown {
    const head = this.#newestHead();
    if (!head) return {};
    const parsed = _headRequest.safeParse(body);
    const base = parsed.success
      ? this.#recentHeads.get(parsed.data.base ?? "")
      : undefined;
    return base ? { delta: diffHead(base, head) } : { head };
  }

  #serveChunks(body: unknown): unknown {
    const parsed = _chunksRequest.safeParse(body);
    const texts: string[] = [];
    let bytes = 0;
    for (const digest of parsed.success ? parsed.data.digests : []) {
      const text = this.#options.findChunk(digest);
      if (text === undefined) continue;
      bytes += Buffer.byteLength(text);
      if (texts.length > 0 && bytes > MAXIMUM_REPLY_BYTES) break;
      texts.push(text);
    }
    this.counters.chunksServed += texts.length;
    return { texts };
  }
}
