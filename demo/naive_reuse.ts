/**
 * Baseline of the demo: the same chats sent round robin to a separate set of
 * engines, without routers.
 */
import { createSeededRandom } from "../src/core/random.ts";
import { answerText } from "../stand_ins/engine_text.ts";
import { startEngine } from "../stand_ins/engine.ts";
import {
  STAND_IN_MODEL,
  STAND_IN_MODEL_VERSION,
} from "../stand_ins/fleet_text.ts";
import { askQuestion, DEMO_ANSWER_TOKENS, openChat } from "./workload.ts";

/** The size and the seed of the baseline run. */
export interface NaiveReuseOptions {
  readonly engines: number;
  readonly workspaces: readonly string[];
  readonly chatsPerWorkspace: number;
  readonly turns: number;
  readonly cacheTokens: number;
  readonly seed: number;
}

async function _complete(address: string, body: unknown): Promise<void> {
  const response = await fetch(`http://${address}/v1/chat/completions`, {
    method: "POST",
    headers: {
      "content-type": "application/json",
      "x-request-id": crypto.randomUUID(),
    },
    body: JSON.stringify(body),
  });
  await response.text();
}

/** Returns the ratio of cached to all prompt tokens under round robin. */
export async function measureNaiveReuse(
  options: NaiveReuseOptions,
): Promise<number> {
  const engines = await Promise.all(
    Array.from({ length: options.engines }, () =>
      startEngine({
        models: [`${STAND_IN_MODEL}@${STAND_IN_MODEL_VERSION}`],
        tokenMilliseconds: 1,
        cacheTokens: options.cacheTokens,
      })),
  );
  const random = createSeededRandom(options.seed);
  let nextIndex = 0;
  const chats = options.workspaces.flatMap((workspace) =>
    Array.from({ length: options.chatsPerWorkspace }, (_unused, index) => ({
      name: `${workspace}/chat-${index}`,
      label: `chat-${index}`,
      messages: openChat(workspace),
    }))
  );
  for (let turn = 0; turn < options.turns; turn++) {
    // A fixed order of chats would let round robin keep each chat on one engine.
    for (const { name, label, messages } of random.shuffle(chats)) {
      askQuestion(messages, label, turn);
      const engine = engines[nextIndex++ % engines.length];
      if (!engine) continue;
      await _complete(engine.address, {
        model: STAND_IN_MODEL,
        messages,
        chat: name,
        max_tokens: DEMO_ANSWER_TOKENS,
        stream: true,
      });
      const content = answerText(messages, DEMO_ANSWER_TOKENS);
      messages.push({ role: "assistant", content });
    }
  }
  let [prompt, cached] = [0, 0];
  for (const engine of engines) {
    const counters = await (await fetch(`http://${engine.address}/counters`))
      .json() as {
        prompt_tokens: number;
        cached_tokens: number;
      };
    prompt += counters.prompt_tokens;
    cached += counters.cached_tokens;
    await engine.stop();
  }
  return prompt === 0 ? 0 : cached / prompt;
}
