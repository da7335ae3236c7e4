/**
 * Reads a streamed chat response up to its `[DONE]` event. A stream that ends
 * without it, is malformed or skips a token is resumed after the last token
 * received.
 */
import { createParser } from "eventsource-parser";
import { err, ok, type Result } from "neverthrow";
import { parseJson } from "./backend_response.ts";
import type { UnreadResponse } from "./backend_transport.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import { chatChunkSchema, type ChatUsage } from "./engine_protocol.ts";

const MAXIMUM_EVENT_CHARACTERS = 1024 * 1024;
const END_OF_STREAM = "[DONE]";

/** One event of a streamed response. */
export interface ChatStreamEvent {
  /** Tokens received so far; the stream can be resumed from here. */
  readonly offset: number;
  readonly text: string;
  /** True for the last event of a complete response. */
  readonly done: boolean;
  /** Only in the last event, and only if the engine reported token counts. */
  readonly usage?: ChatUsage;
}

/** The events of one response; after a failure, the last item is the error. */
export type ChatStreamEvents = AsyncGenerator<
  Result<ChatStreamEvent, ApplicationError>,
  void
>;

/** Options of `readChatStream`. */
export interface ChatStreamOptions {
  readonly streamId: string;
  /** Tokens that the caller has already received. */
  readonly offset: number;
  readonly maximumResumes: number;
  /** Reopens the stream at an offset. */
  readonly resume: (
    offset: number,
  ) => Promise<Result<UnreadResponse, ApplicationError>>;
  /** Waits before a resume, given the number of earlier ones. */
  readonly waitBeforeResume: (resumes: number) => Promise<void>;
  /** True once the deadline has passed or the caller has disconnected. */
  readonly isAborted: () => boolean;
}

interface _StreamState {
  offset: number;
  done: boolean;
  usage: ChatUsage | undefined;
  /** Reason reported if the stream can't be resumed. */
  failure: string;
}

/** Yields the events of a stream until it ends or can't be resumed. */
export async function* readChatStream(
  firstResponse: UnreadResponse,
  options: ChatStreamOptions,
): ChatStreamEvents {
  const state: _StreamState = {
    offset: options.offset,
    done: false,
    usage: undefined,
    failure: "",
  };
  let response: UnreadResponse | undefined = firstResponse;
  for (let resumes = 0;; resumes++) {
    if (response) yield* _readEvents(response, options.streamId, state);
    if (state.done) return;
    if (resumes >= options.maximumResumes || options.isAborted()) break;
    await options.waitBeforeResume(resumes);
    const resumed = await options.resume(state.offset);
    response = resumed.isOk() ? resumed.value : undefined;
    if (resumed.isErr()) state.failure = resumed.error.detail;
    if (response && response.status !== 200) {
      state.failure =
        `the resume request returned status ${response.status}, expected 200`;
      response.release();
      break;
    }
  }
  yield err(createError(
    "answer_truncated",
    `the stream broke at offset ${state.offset} and was not resumed: ${state.failure}`,
  ));
}

async function* _readEvents(
  response: UnreadResponse,
  streamId: string,
  state: _StreamState,
): ChatStreamEvents {
  const parsedEvents: string[] = [];
  let malformed = false;
  const parser = createParser({
    onEvent: (event) => parsedEvents.push(event.data),
    onError: ({ message }) => {
      malformed = true;
      state.failure = `the event stream is malformed: ${message}`;
    },
    maxBufferSize: MAXIMUM_EVENT_CHARACTERS,
  });
  const decoder = new TextDecoder();
  state.failure = "the stream ended without [DONE]";
  try {
    for await (const bytes of response.body) {
      parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
      for (const data of parsedEvents.splice(0)) {
        const event = _applyEvent(data, streamId, state);
        if (event === "broken") return;
        if (event) yield ok(event);
        if (state.done) return;
      }
      if (malformed) return;
    }
  } catch (cause) {
    state.failure = String(cause);
  } finally {
    response.release();
  }
}

/**
 * Applies an event to the state. Returns the event, undefined if the caller
 * already has its tokens, or "broken" if the stream can't be read further.
 */
function _applyEvent(
  data: string,
  streamId: string,
  state: _StreamState,
): ChatStreamEvent | "broken" | undefined {
  if (data === END_OF_STREAM) {
    state.done = true;
    const { offset, usage } = state;
    return { offset, text: "", done: true, ...(usage ? { usage } : {}) };
  }
  const parsed = chatChunkSchema.safeParse(parseJson(data));
  if (!parsed.success || parsed.data.id !== streamId) {
    state.failure = "an event is malformed or belongs to another stream";
    return "broken";
  }
  const chunk = parsed.data;
  const text = chunk.choices[0]?.delta.content ?? "";
  // Without a token count, an event with text counts as one token.
  const tokens = chunk.tokens ?? (text === "" ? 0 : 1);
  if (chunk.usage) state.usage = chunk.usage;
  if (chunk.offset <= state.offset) return undefined;
  if (chunk.offset - tokens !== state.offset) {
    state.failure = `tokens are missing before offset ${chunk.offset}`;
    return "broken";
  }
  state.offset = chunk.offset;
  return { offset: chunk.offset, text, done: false };
}
