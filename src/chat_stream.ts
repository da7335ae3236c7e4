/**
 * Reads a streamed answer to its explicit end. A stream that ends without
 * `[DONE]`, or skips a token, is resumed at the offset reached.
 */
import { createParser } from "eventsource-parser";
import { err, ok, type Result } from "neverthrow";
import type { UnreadResponse } from "./backend_transport.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import { chatChunkSchema, type ChatUsage } from "./engine_protocol.ts";

/** Largest single event of a stream, in characters. */
const MAXIMUM_EVENT_LENGTH = 1024 * 1024;
const END_MARK = "[DONE]";

/** Part of a streamed answer. */
export interface ChatStreamEvent {
  /** Tokens received so far; the stream can be resumed from here. */
  readonly offset: number;
  readonly text: string;
  /** True for the last event of a complete answer. */
  readonly done: boolean;
  /** Present in the last event if the engine reported it. */
  readonly usage?: ChatUsage;
}

/** The events of one answer; an error is the last item. */
export type ChatStreamEvents = AsyncGenerator<
  Result<ChatStreamEvent, ApplicationError>,
  void
>;

/** What the reader of a stream needs. */
export interface ChatStreamOptions {
  readonly streamId: string;
  /** Tokens that the caller already has. */
  readonly offset: number;
  readonly maximumResumes: number;
  /** Opens the same stream again at an offset. */
  readonly resume: (
    offset: number,
  ) => Promise<Result<UnreadResponse, ApplicationError>>;
  /** Waits before the given resume. */
  readonly pause: (resumes: number) => Promise<void>;
  /** True once the deadline has passed or the caller has left. */
  readonly isOver: () => boolean;
}

interface _Position {
  offset: number;
  done: boolean;
  usage: ChatUsage | undefined;
  /** Why reading stopped before the end. */
  fault: string;
}

/** Yields the events of a stream until its end or until resuming fails. */
export async function* readChatStream(
  first: UnreadResponse,
  options: ChatStreamOptions,
): ChatStreamEvents {
  const position: _Position = {
    offset: options.offset,
    done: false,
    usage: undefined,
    fault: "",
  };
  let answer: UnreadResponse | undefined = first;
  for (let resumes = 0;; resumes++) {
    if (answer) yield* _readOnce(answer, options.streamId, position);
    if (position.done) return;
    if (resumes >= options.maximumResumes || options.isOver()) break;
    await options.pause(resumes);
    const resumed = await options.resume(position.offset);
    answer = resumed.isOk() ? resumed.value : undefined;
    if (resumed.isErr()) position.fault = resumed.error.detail;
    if (answer && answer.status !== 200) {
      position.fault = `resuming was answered with status ${answer.status}`;
      answer.release();
      break;
    }
  }
  yield err(createError(
    "answer_truncated",
    `at offset ${position.offset}: ${position.fault}`,
  ));
}

async function* _readOnce(
  answer: UnreadResponse,
  streamId: string,
  position: _Position,
): ChatStreamEvents {
  const waiting: string[] = [];
  let malformed = false;
  const parser = createParser({
    onEvent: (event) => waiting.push(event.data),
    onError: () => {
      malformed = true;
    },
    maxBufferSize: MAXIMUM_EVENT_LENGTH,
  });
  const decoder = new TextDecoder();
  position.fault = "the stream ended without its end mark";
  try {
    for await (const bytes of answer.body) {
      parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
      for (const data of waiting.splice(0)) {
        const event = _accept(data, streamId, position);
        if (event === "broken") return;
        if (event) yield ok(event);
        if (position.done) return;
      }
      if (malformed) return;
    }
  } catch (cause) {
    position.fault = String(cause);
  } finally {
    answer.release();
  }
}

/** Moves the position by one event; undefined if it brings nothing new. */
function _accept(
  data: string,
  streamId: string,
  position: _Position,
): ChatStreamEvent | "broken" | undefined {
  if (data === END_MARK) {
    position.done = true;
    const { offset, usage } = position;
    return { offset, text: "", done: true, ...(usage ? { usage } : {}) };
  }
  const parsed = chatChunkSchema.safeParse(_parseJson(data));
  if (!parsed.success || parsed.data.id !== streamId) {
    position.fault = "an event of the stream is malformed or of another stream";
    return "broken";
  }
  const chunk = parsed.data;
  const text = chunk.choices[0]?.delta.content ?? "";
  const tokens = chunk.tokens ?? (text === "" ? 0 : 1);
  if (chunk.usage) position.usage = chunk.usage;
  if (chunk.offset <= position.offset) return undefined;
  if (chunk.offset - tokens !== position.offset) {
    position.fault = `an event skips to offset ${chunk.offset}`;
    return "broken";
  }
  position.offset = chunk.offset;
  return { offset: chunk.offset, text, done: false };
}

function _parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
