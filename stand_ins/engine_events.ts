/** Encodes the stand-in engine's streams as server-sent events. */
import type { ServerResponse } from "node:http";
import type { Stream } from "./engine_batch.ts";

/** Returns the `usage` object of a stream's response. */
export function usageOf({ request }: Stream): unknown {
  return {
    prompt_tokens: request.promptTokens,
    completion_tokens: request.answer.length,
    total_tokens: request.promptTokens + request.answer.length,
    prompt_tokens_details: { cached_tokens: request.cachedTokens },
  };
}

function _writeData(raw: ServerResponse, id: string, data: unknown): void {
  raw.write(`id: ${id}\ndata: ${JSON.stringify(data)}\n\n`);
}

function _chunk({ request }: Stream, offset: number, content: string) {
  return {
    id: request.id,
    object: "chat.completion.chunk",
    model: request.model,
    offset,
    choices: [{
      index: 0,
      delta: { content },
      finish_reason: null as string | null,
    }],
  };
}

/** Writes one token; `offset` is its one-based position in the stream. */
export function writeChunk(
  raw: ServerResponse,
  stream: Stream,
  offset: number,
) {
  const content = `${stream.request.answer[offset - 1]} `;
  const id = `${stream.request.id}:${offset}`;
  _writeData(raw, id, _chunk(stream, offset, content));
}

/** Writes the final chunk with the usage, followed by `[DONE]`. */
export function writeEnd(raw: ServerResponse, stream: Stream): void {
  const offset = stream.request.answer.length;
  const chunk = _chunk(stream, offset, "");
  for (const choice of chunk.choices) choice.finish_reason = "stop";
  _writeData(raw, `${stream.request.id}:${offset}`, {
    ...chunk,
    usage: usageOf(stream),
  });
  raw.write("data: [DONE]\n\n");
}
