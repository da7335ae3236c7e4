/**
 * Chat streaming in the caller library. Text generation is idempotent, so a
 * chat is sent again if no token has arrived, and otherwise resumed after the
 * last token received.
 */
import { createParser } from "eventsource-parser";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { UnreadResponse } from "./backend_transport.ts";
import { type CallFailure, toCallFailure } from "./call_failure.ts";
import type { AddressPool } from "./address_pool.ts";
import {
  type CallerHttp,
  parseErrorBody,
  parseRouterError,
  readResponse,
} from "./caller_http.ts";
import {
  type ApplicationError,
  createError,
  errorResponseFor,
} from "./core/errors.ts";

const _chunkSchema = z.object({
  offset: z.number().int(),
  choices: z.array(z.object({ delta: z.object({ content: z.string() }) })).min(
    1,
  ),
  usage: z.object({
    prompt_tokens: z.number(),
    completion_tokens: z.number(),
    prompt_tokens_details: z.object({ cached_tokens: z.number() }),
  }).optional(),
});

/** One message of a chat. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** A chat completion request. */
export interface ChatOptions {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  /** Id of the conversation; routers prefer servers that cached its prefix. */
  readonly chat?: string;
  readonly adapter?: string;
  readonly maximumTokens?: number;
  readonly priority?: string;
  /** Measured from the start of the call. */
  readonly deadlineMilliseconds?: number;
}

/** One event of a chat; `done` marks the end of a complete response. */
export interface ChatEvent {
  readonly text: string;
  /** Tokens received so far. */
  readonly offset: number;
  readonly done: boolean;
  /** The backend server's name; empty if the router sent none. */
  readonly backendServer: string;
  readonly usage?: {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly completionTokens: number;
  };
}

/** Dependencies and limits of `streamChat`. */
export interface ChatContext {
  readonly http: CallerHttp;
  readonly pool: AddressPool;
  readonly now: () => number;
  readonly backOff: (attempt: number) => Promise<void>;
  readonly defaultDeadlineMilliseconds: number;
  readonly maximumAttempts: number;
}

interface _Progress {
  offset: number;
  resumeToken: string;
  done: boolean;
  failure: ApplicationError | undefined;
}

function _createRequest(
  options: ChatOptions,
  progress: _Progress,
  deadline: number,
) {
  const body = JSON.stringify({
    model: options.model,
    messages: options.messages,
    stream: true,
    ...(options.maximumTokens === undefined
      ? {}
      : { max_tokens: options.maximumTokens }),
    ...(options.adapter === undefined ? {} : { adapter: options.adapter }),
  });
  const headers: Record<string, string> = {
    "content-type": "application/json",
  };
  if (options.chat !== undefined) headers["x-sapphirecart-chat"] = options.chat;
  if (options.priority !== undefined) {
    headers["x-sapphirecart-priority"] = options.priority;
  }
  if (progress.resumeToken !== "") {
    headers["last-event-id"] = progress.resumeToken;
  }
  return {
    method: "POST",
    path: "/v1/chat/completions",
    headers,
    body,
    deadline,
  };
}

interface _ParsedEvent {
  readonly id: string | undefined;
  readonly event: string | undefined;
  readonly data: string;
}

async function* _parseServerSentEvents(
  response: UnreadResponse,
): AsyncGenerator<_ParsedEvent, void> {
  const parsedEvents: _ParsedEvent[] = [];
  const parser = createParser({
    onEvent: ({ id, event, data }) => parsedEvents.push({ id, event, data }),
  });
  const decoder = new TextDecoder();
  try {
    for await (const bytes of response.body) {
      parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
      yield* parsedEvents.splice(0);
    }
  } finally {
    response.release();
  }
}

function _parseErrorEvent(data: string): ApplicationError {
  return parseErrorBody(data) ??
    createError("answer_truncated", "the router sent an invalid error event");
}

function _parseChunk(
  parsed: _ParsedEvent,
  server: string,
): ChatEvent | undefined {
  const chunk = _chunkSchema.safeParse(JSON.parse(parsed.data));
  if (!chunk.success) return undefined;
  const { offset, choices, usage } = chunk.data;
  return {
    text: choices[0]?.delta.content ?? "",
    offset,
    done: false,
    backendServer: server,
    ...(usage
      ? {
        usage: {
          promptTokens: usage.prompt_tokens,
          cachedTokens: usage.prompt_tokens_details.cached_tokens,
          completionTokens: usage.completion_tokens,
        },
      }
      : {}),
  };
}

/**
 * Yields the events past the recorded offset and updates the progress. Returns
 * early on a broken stream, an invalid event or an error.
 */
async function* _readStream(
  response: UnreadResponse,
  progress: _Progress,
): AsyncGenerator<ChatEvent, void> {
  const server = String(
    response.headers["x-sapphirecart-backend-server"] ?? "",
  );
  try {
    for await (const parsed of _parseServerSentEvents(response)) {
      if (parsed.event === "error") {
        progress.failure = _parseErrorEvent(parsed.data);
        return;
      }
      if (parsed.data === "[DONE]") {
        progress.done = true;
        yield {
          text: "",
          offset: progress.offset,
          done: true,
          backendServer: server,
        };
        return;
      }
      const event = _parseChunk(parsed, server);
      // An invalid chunk is treated like a broken connection.
      if (!event) return;
      if (event.offset > progress.offset || event.usage) {
        progress.offset = event.offset;
        progress.resumeToken = parsed.id ?? progress.resumeToken;
        yield event;
      }
    }
  } catch {
    // The connection broke or an event is not JSON; `streamChat` resumes.
  }
}

/** Yields the events of a chat; if the chat fails, the error comes last. */
export async function* streamChat(
  options: ChatOptions,
  context: ChatContext,
): AsyncGenerator<Result<ChatEvent, CallFailure>, void> {
  const { http, pool: pool, now } = context;
  const deadline = now() +
    (options.deadlineMilliseconds ?? context.defaultDeadlineMilliseconds);
  const progress: _Progress = {
    offset: 0,
    resumeToken: "",
    done: false,
    failure: undefined,
  };
  for (
    let attempt = 1;
    attempt <= context.maximumAttempts && now() < deadline;
    attempt++
  ) {
    if (attempt > 1) await context.backOff(attempt - 1);
    const [target] = await pool.list();
    if (!target) {
      progress.failure = createError("peer_unreachable", "no router responded");
      continue;
    }
    const opened = await http.open(
      target.address,
      _createRequest(options, progress, deadline),
    );
    if (opened.isErr()) {
      progress.failure = opened.error;
      pool.avoid(target.address);
      continue;
    }
    progress.failure = undefined;
    if (opened.value.status !== 200) {
      const response = await readResponse(opened.value);
      const failure = response.isErr()
        ? response.error
        : parseRouterError(response.value);
      progress.failure = failure ??
        createError(
          "backend_failed",
          "the backend server responded with a status other than 200",
        );
      const { status, retryable } = errorResponseFor(progress.failure);
      if (!retryable) break;
      if (status === 503) pool.avoid(target.address);
      continue;
    }
    for await (const event of _readStream(opened.value, progress)) {
      yield ok(event);
    }
    if (progress.done) return;
    if (!progress.failure) pool.avoid(target.address);
  }
  const truncated = createError(
    "answer_truncated",
    `the stream ended without [DONE] after ${progress.offset} tokens`,
  );
  yield err(toCallFailure(progress.failure ?? truncated));
}
