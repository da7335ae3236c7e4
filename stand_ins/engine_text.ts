/**
 * Deterministic tokens of the stand-in engine. A caller can compute the
 * expected response from its prompt, and so detect responses that are truncated
 * or belong to another request.
 */
import { hash32 } from "../src/core/hash32.ts";

/** A chat message. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

function _split(text: string): string[] {
  return text.split(/\s+/).filter((word) => word !== "");
}

/** Splits a prompt into tokens (words); each message starts with its role. */
export function promptTokens(messages: readonly ChatMessage[]): string[] {
  return messages.flatMap(({ role, content }) => [
    `<${role}>`,
    ..._split(content),
  ]);
}

/** Returns the tokens that the engine generates for a prompt. */
export function outputTokens(
  messages: readonly ChatMessage[],
  count: number,
): string[] {
  const seed = hash32(promptTokens(messages).join(" "));
  return Array.from(
    { length: count },
    (_unused, index) => hash32(`${seed}/${index}`).toString(36),
  );
}

/** Returns the complete response text for a prompt. */
export function outputText(
  messages: readonly ChatMessage[],
  count: number,
): string {
  return outputTokens(messages, count).map((token) => `${token} `).join("");
}
