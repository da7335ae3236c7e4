/**
 * Chats of the caller library. Generation is idempotent, so a chat that brought
 * no token is sent again; one that was cut is resumed at its last token.
 */
import { createParser } from "eventsource-parser";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { UnreadResponse } from "./backend_transport.ts";
import { type CallFailure, toCallFailure } from "./call_failure.ts";
import type { AddressPool } from "./address_pool.ts";
import { type CallerHttp, readFailure, readWhole } from "./caller_http.ts";
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

/** A chat turn. */
export interface ChatOptions {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  /** Returning chats carry the same id, so that they reach their cache. */
  readonly chat?: string;
  readonly adapter?: string;
  readonly maximumTokens?: number;
  readonly priority?: string;
  readonly deadlineMilliseconds?: number;
}

/** Part of a chat answer; the last one is `done`. */
export interface ChatEvent {
  readonly text: string;
  /** Tokens received so far. */
  readonly offset: number;
  readonly done: boolean;
  readonly backendServer: string;
  readonly usage?: {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly completionTokens: number;
  };
}

/** What a chat needs from its caller. */
export interface ChatContext {
  readonly http: CallerHttp;
  readonly book: AddressPool;
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

function _requestOf(
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

async function* _serverSentEvents(
  opened: UnreadResponse,
): AsyncGenerator<_ParsedEvent, void> {
  const waiting: _ParsedEvent[] = [];
  const parser = createParser({
    onEvent: ({ id, event, data }) => waiting.push({ id, event, data }),
  });
  const decoder = new TextDecoder();
  try {
    for await (const bytes of opened.body) {
      parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
      yield* waiting.splice(0);
    }
  } finally {
    opened.release();
  }
}

function _errorOf(data: string): ApplicationError {
  const body = Buffer.from(data);
  return readFailure({ status: 502, headers: {}, body }) ??
    createError("answer_truncated", "the router reported an error");
}

function _readChunk(
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

/** Yields what is new in a stream and notes how far it came. */
async function* _readStream(
  opened: UnreadResponse,
  progress: _Progress,
): AsyncGenerator<ChatEvent, void> {
  const server = String(opened.headers["x-sapphirecart-backend-server"] ?? "");
  try {
    for await (const parsed of _serverSentEvents(opened)) {
      if (parsed.event === "error") {
        progress.failure = _errorOf(parsed.data);
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
      const event = _readChunk(parsed, server);
      if (!event) return;
      if (event.offset > progress.offset || event.usage) {
        progress.offset = event.offset;
        progress.resumeToken = parsed.id ?? progress.resumeToken;
        yield event;
      }
    }
  } catch {
    // A cut connection ends the stream without its end mark; the caller resumes.
  }
}

/** Streams a chat to its end, or yields one failure as the last item. */
export async function* streamChat(
  options: ChatOptions,
  context: ChatContext,
): AsyncGenerator<Result<ChatEvent, CallFailure>, void> {
  const { http, book, now } = context;
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
    const [target] = await book.list();
    if (!target) {
      progress.failure = createError("peer_unreachable", "no router answered");
      continue;
    }
    const opened = await http.open(
      target.address,
      _requestOf(options, progress, deadline),
    );
    if (opened.isErr()) {
      progress.failure = opened.error;
      book.avoid(target.address);
      continue;
    }
    progress.failure = undefined;
    if (opened.value.status !== 200) {
      const answer = await readWhole(opened.value);
      const failure = answer.isErr() ? answer.error : readFailure(answer.value);
      progress.failure = failure ??
        createError("backend_failed", "the backend server failed");
      const { status, retryable } = errorResponseFor(progress.failure);
      if (!retryable) break;
      if (status === 503) book.avoid(target.address);
      continue;
    }
    for await (const event of _readStream(opened.value, progress)) {
      yield ok(event);
    }
    if (progress.done) return;
    if (!progress.failure) book.avoid(target.address);
  }
  const truncated = createError(
    "answer_truncated",
    `after ${progress.offset} tokens`,
  );
  yield err(toCallFailure(progress.failure ?? truncated));
}
