/** How much of one prompt the servers have cached, by the prompt directory. */
import type { BackendServerId } from "../ids.ts";
import type { PromptPart } from "../prompt.ts";
import { type PartKey, partKeyOf, sharedPartsOf } from "../prompt_directory.ts";

interface _CachedPrefix {
  readonly holders: ReadonlySet<BackendServerId>;
  /** Tokens up to the end of the prefix. */
  readonly tokens: number;
}

/** The cached prefixes of one prompt. */
export class PromptCache {
  /** Tokens of the whole prompt. */
  readonly promptTokens: number;
  /** Tokens of the parts that other requests share. */
  readonly sharedTokens: number;
  /** Prefixes that at least one server has cached, longest first. */
  readonly #prefixes: readonly _CachedPrefix[];

  constructor(
    parts: readonly PromptPart[],
    holders: (part: PartKey) => ReadonlySet<BackendServerId>,
  ) {
    const prefixes: _CachedPrefix[] = [];
    const shared = sharedPartsOf(parts);
    let tokens = 0;
    for (const part of shared) {
      tokens += part.tokens;
      const partHolders = holders(partKeyOf(part));
      if (partHolders.size > 0) prefixes.push({ holders: partHolders, tokens });
    }
    this.#prefixes = prefixes.reverse();
    this.sharedTokens = tokens;
    const own = parts.length > shared.length ? parts.at(-1)?.tokens ?? 0 : 0;
    this.promptTokens = tokens + own;
  }

  /** Whether no server has any part of the prompt cached. */
  get isEmpty(): boolean {
    return this.#prefixes.length === 0;
  }

  /** Returns the tokens of the longest prefix that a server has cached. */
  cachedTokens(server: BackendServerId): number {
    for (const { holders, tokens } of this.#prefixes) {
      if (holders.has(server)) return tokens;
    }
    return 0;
  }

  /** Whether a server has cached all parts that other requests share. */
  hasShared(server: BackendServerId): boolean {
    const [longest] = this.#prefixes;
    return longest?.tokens === this.sharedTokens && longest.holders.has(server);
  }

  /**
   * Returns a usable server with the longest cached prefix; undefined if `target`
   * has one as long.
   */
  findLongest(
    isUsable: (server: BackendServerId) => boolean,
    target?: BackendServerId,
  ): BackendServerId | undefined {
    for (const { holders } of this.#prefixes) {
      if (target !== undefined && holders.has(target)) return undefined;
      for (const holder of holders) if (isUsable(holder)) return holder;
    }
    return undefined;
  }

  /** Returns the prompt tokens that a server has to process. */
  uncachedTokens(server: BackendServerId): number {
    return this.promptTokens - this.cachedTokens(server);
  }
}
