/**
 * A request's prompt as its caller describes it: parts in order, each with an id
 * and a length. Requests with equal leading parts share a cached prefix.
 */

/** A part of a prompt, such as a system prompt. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/**
 * Parses comma-separated `id:tokens` entries; invalid text gives no parts. The size of
 * the head bounds their number.
 */
export function parsePromptParts(text: string | undefined): PromptPart[] {
  if (!text) return [];
  const parts: PromptPart[] = [];
  for (const entry of text.split(",")) {
    const match = /^\s*([^:\s]+):(\d+)\s*$/.exec(entry);
    if (!match) return [];
    parts.push({ id: match[1] as string, tokens: Number(match[2]) });
  }
  return parts;
}
