/**
 * The prompt of a request as its headers state it, in two forms. The keys of all shared
 * parts tell which part crashes servers. Placement and accounts of memory compare parts
 * with each other, so they get a bounded number: in a long prompt, runs of parts are
 * joined, which costs no more than that a run counts as cached or not as a whole.
 */
import { hash32 } from "./hash32.ts";
import { parsePromptParts, type PromptPart } from "./prompt.ts";
import { type PartKey, partKeyOf, sharedPartsOf } from "./prompt_directory.ts";

/** Parts of a prompt, beside its own last one, that placement compares. */
const MAXIMUM_COMPARED_PARTS = 64;

/** The prompt of a request. */
export interface StatedPrompt {
  /** Parts in order; a part may stand for a run of parts. */
  readonly parts: readonly PromptPart[];
  /** Keys of all parts that requests share. */
  readonly sharedKeys: readonly PartKey[];
}

/** Returns how many parts are joined; it changes seldom while a prompt grows. */
function _runLength(count: number): number {
  let length = 1;
  while (count > length * MAXIMUM_COMPARED_PARTS) length *= 2;
  return length;
}

function _joinParts(parts: readonly PromptPart[]): PromptPart {
  const names = parts.map(({ id }) => id).join("\0");
  return {
    id: `${parts.length}-${hash32(names).toString(16)}`,
    tokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
  };
}

/** Joins runs of parts from the start, so that prompts that begin alike have equal runs. */
function _joinRuns(parts: readonly PromptPart[]): readonly PromptPart[] {
  const shared = sharedPartsOf(parts);
  const length = _runLength(shared.length);
  if (length === 1) return parts;
  const joined: PromptPart[] = [];
  for (let start = 0; start < shared.length; start += length) {
    joined.push(_joinParts(shared.slice(start, start + length)));
  }
  return [...joined, ...parts.slice(shared.length)];
}

/** Reads the header that states a prompt; invalid text states none. */
export function parseStatedPrompt(text: string | undefined): StatedPrompt {
  const parts = parsePromptParts(text);
  return {
    parts: _joinRuns(parts),
    sharedKeys: sharedPartsOf(parts).map(partKeyOf),
  };
}
