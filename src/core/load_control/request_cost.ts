/**
 * The cost of a request, by which waiting workspaces are compared. A token of the
 * output costs a step of the model, while the prompt is read in large chunks.
 */
import type { PromptPart } from "../prompt.ts";

/** Cost of a token of the output, in tokens of a prompt that is read. */
const OUTPUT_TOKEN_COST = 10;
/** Cost of a request that states no tokens. */
const DEFAULT_COST = 1;
const COUNT_PATTERN = /^\s*\d{1,9}\s*$/;

/** What a request states about its tokens; undefined if it does not say. */
export interface StatedTokens {
  readonly promptTokens: number | undefined;
  readonly maximumOutputTokens: number | undefined;
  /** Estimate of the output. */
  readonly expectedOutputTokens: number | undefined;
}

function _parseCount(text: string | undefined): number | undefined {
  return text !== undefined && COUNT_PATTERN.test(text)
    ? Number(text)
    : undefined;
}

/** Parses `prompt,maximum output` and an estimate; invalid text is ignored. */
export function parseStatedTokens(
  usage: string | undefined,
  lengthHint: string | undefined,
): StatedTokens {
  const [prompt, maximumOutput] = usage?.split(",", 2) ?? [];
  return {
    promptTokens: _parseCount(prompt),
    maximumOutputTokens: _parseCount(maximumOutput),
    expectedOutputTokens: _parseCount(lengthHint),
  };
}

/** The prompt of a request, and which of its parts a server has cached. */
export interface CostInput {
  readonly promptParts: readonly PromptPart[];
  readonly isCached: (part: PromptPart) => boolean;
}

function _cachedTokens({ promptParts, isCached }: CostInput): number {
  let tokens = 0;
  for (const part of promptParts) {
    if (!isCached(part)) break;
    tokens += part.tokens;
  }
  return tokens;
}

/** Returns the cost of a request, at least 1. */
export function requestCost(tokens: StatedTokens, input: CostInput): number {
  const { promptTokens, maximumOutputTokens, expectedOutputTokens } = tokens;
  const output = expectedOutputTokens ?? maximumOutputTokens;
  if (promptTokens === undefined && output === undefined) return DEFAULT_COST;
  const uncached = Math.max(0, (promptTokens ?? 0) - _cachedTokens(input));
  return Math.max(DEFAULT_COST, uncached + OUTPUT_TOKEN_COST * (output ?? 0));
}

/**
 * Returns the tokens that a request may hold at a server. The estimate of the output
 * is often far off, so the stated maximum counts where there is one.
 */
export function heldTokensOf(
  tokens: StatedTokens,
  promptParts: readonly PromptPart[],
): number {
  const { promptTokens = 0, maximumOutputTokens, expectedOutputTokens } =
    tokens;
  const parts = promptParts.reduce((sum, part) => sum + part.tokens, 0);
  return Math.max(promptTokens, parts) +
    (maximumOutputTokens ?? expectedOutputTokens ?? 0);
}
