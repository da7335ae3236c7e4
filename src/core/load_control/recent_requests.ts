/**
 * The requests that this router sent to a service recently. What the requests of other
 * routers hold is not reported, so it is estimated from these.
 */
import type { PromptPart } from "../prompt.ts";
import { sharedPartsOf } from "../prompt_directory.ts";

/** Requests that are remembered. */
const MAXIMUM_REQUESTS = 64;
/**
 * Occurrences from which on a part counts as shared with other routers. A part that
 * only a few requests have in common, such as a conversation, may be at one router.
 */
const MINIMUM_OCCURRENCES = 8;

/** The tokens of one request. */
export interface HeldRequest {
  /** Tokens of the prompt and the output. */
  readonly heldTokens: number;
  readonly parts: readonly PromptPart[];
}

interface _SharedPart {
  readonly tokens: number;
  occurrences: number;
}

interface _NamedPart extends _SharedPart {
  readonly id: string;
}

/** The tokens of all recent requests, by whether routers share them. */
interface _TokenSums {
  readonly sharedParts: readonly _NamedPart[];
  /** Tokens outside of shared parts, of all recent requests together. */
  readonly unsharedTokens: number;
}

/** The recent requests of one service. */
export class RecentRequests {
  readonly #requests: HeldRequest[] = [];
  readonly #parts = new Map<string, _SharedPart>();
  #heldTokens = 0;
  /** Computed once for each change, as it is needed for each server; undefined before. */
  #sums: _TokenSums | undefined;

  /** Adds a request that is sent, and forgets the oldest. */
  add(request: HeldRequest): void {
    this.#requests.push(request);
    this.#sums = undefined;
    this.#count(request, 1);
    if (this.#requests.length <= MAXIMUM_REQUESTS) return;
    this.#count(this.#requests.shift() as HeldRequest, -1);
  }

  /**
   * Returns the tokens that some requests of other routers are expected to hold at one
   * server. A part that many recent requests share is counted once; it is not counted
   * if this router counts it already. `unknownTokens` stands for a request of which
   * nothing is known yet.
   */
  expectedTokens(
    requests: number,
    isCounted: (part: string) => boolean,
    unknownTokens: number,
  ): number {
    const { length } = this.#requests;
    if (requests <= 0) return 0;
    if (length === 0) return requests * unknownTokens;
    const { sharedParts, unsharedTokens } = this.#sums ??= this.#sumTokens();
    let tokens = 0;
    for (const part of sharedParts) {
      if (isCounted(part.id)) continue;
      const absent = (1 - part.occurrences / length) ** requests;
      tokens += part.tokens * (1 - absent);
    }
    return requests * unsharedTokens / length + tokens;
  }

  #sumTokens(): _TokenSums {
    const sharedParts: _NamedPart[] = [];
    let sharedTokens = 0;
    for (const [id, part] of this.#parts) {
      if (part.occurrences < MINIMUM_OCCURRENCES) continue;
      sharedParts.push({ id, ...part });
      sharedTokens += part.tokens * part.occurrences;
    }
    const unsharedTokens = Math.max(0, this.#heldTokens - sharedTokens);
    return { sharedParts, unsharedTokens };
  }

  #count({ heldTokens, parts }: HeldRequest, sign: 1 | -1): void {
    this.#heldTokens += sign * heldTokens;
    for (const { id, tokens } of sharedPartsOf(parts)) {
      const part = this.#parts.get(id) ?? { tokens, occurrences: 0 };
      part.occurrences += sign;
      if (part.occurrences > 0) this.#parts.set(id, part);
      else this.#parts.delete(id);
    }
  }
}
