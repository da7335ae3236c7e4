/**
 * Deterministic prompts and answers of the stand-in engine. A caller computes
 * the expected answer from its own prompt, which shows whether the answer it
 * received is its own and whole.
 */
import { hash32 } from "../src/core/rendezvous.ts";

/** One message of a chat. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

function _split(text: string): string[] {
  return text.split(/\s+/).filter((word) => word !== "");
}

/** The tokens (words) of a prompt; each message starts with its role. */
export function promptTokens(messages: readonly ChatMessage[]): string[] {
  return messages.flatMap(({ role, content }) => [
    `<${role}>`,
    ..._split(content),
  ]);
}

/** The tokens that the engine generates for a prompt. */
export function answerTokens(
  messages: readonly ChatMessage[],
  count: number,
): string[] {
  const seed = hash32(promptTokens(messages).join(" "));
  return Array.from(
    { length: count },
    (_unused, index) => hash32(`${seed}/${index}`).toString(36),
  );
}

/** The whole text that the engine answers to a prompt. */
export function answerText(
  messages: readonly ChatMessage[],
  count: number,
): string {
  return answerTokens(messages, count).map((token) => `${token} `).join("");
}
