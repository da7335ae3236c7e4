/**
 * Sends a chat response in the OpenAI format: one JSON object, or server-sent
 * events with resume tokens as ids, terminated by `[DONE]`.
 */
import { Readable } from "node:stream";
import type { FastifyReply } from "fastify";
import type {
  ChatResponse,
  ChatResponseEvent,
  ChatUsage,
} from "./caller_services.ts";
import {
  type ApplicationError,
  errorResponseFor,
  toErrorBody,
} from "./core/errors.ts";

/** How a chat response is formatted. */
export interface ChatResponseFormat {
  readonly id: string;
  readonly model: string;
  readonly stream: boolean;
}

function _usageBody(usage: ChatUsage | undefined) {
  if (!usage) return undefined;
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}

function _chunkBody(
  event: ChatResponseEvent,
  { id, model }: ChatResponseFormat,
) {
  return {
    id,
    object: "chat.completion.chunk",
    model,
    choices: [{
      index: 0,
      delta: { content: event.text },
      finish_reason: event.done ? "stop" : null,
    }],
    offset: event.offset,
    usage: _usageBody(event.usage),
  };
}

async function* _formatServerSentEvents(
  response: ChatResponse,
  format: ChatResponseFormat,
) {
  for await (const event of response.events) {
    if (event.isErr()) {
      yield `event: error\ndata: ${
        JSON.stringify(toErrorBody(event.error))
      }\n\n`;
      return;
    }
    const chunk = JSON.stringify(_chunkBody(event.value, format));
    yield `id: ${event.value.resumeToken}\ndata: ${chunk}\n\n`;
    if (event.value.done) yield "data: [DONE]\n\n";
  }
}

async function _collectEvents(response: ChatResponse) {
  let text = "";
  let usage: ChatUsage | undefined;
  let failure: ApplicationError | undefined;
  for await (const event of response.events) {
    if (event.isErr()) {
      failure = event.error;
      break;
    }
    text += event.value.text;
    usage = event.value.usage ?? usage;
  }
  return { text, usage, failure };
}

/** Sends the response in the requested format. */
export async function sendChatResponse(
  reply: FastifyReply,
  response: ChatResponse,
  format: ChatResponseFormat,
): Promise<FastifyReply> {
  reply.header("x-sapphirecart-backend-server", response.backendServer);
  if (format.stream) {
    reply.header("content-type", "text/event-stream").header(
      "cache-control",
      "no-store",
    );
    return reply.send(Readable.from(_formatServerSentEvents(response, format)));
  }
  const { text, usage, failure } = await _collectEvents(response);
  if (failure) {
    return reply.code(errorResponseFor(failure).status).send(
      toErrorBody(failure),
    );
  }
  return reply.send({
    id: format.id,
    object: "chat.completion",
    model: format.model,
    choices: [{
      index: 0,
      message: { role: "assistant", content: text },
      finish_reason: "stop",
    }],
    usage: _usageBody(usage),
  });
}
