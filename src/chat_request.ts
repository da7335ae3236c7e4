/** A chat completion as callers send it, and the events of its answer. */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { Priority } from "./core/fleet_schema.ts";
import type { ChatId, RequestId, WorkspaceId } from "./core/ids.ts";

const DEFAULT_MAXIMUM_TOKENS = 256;
/** Bytes of text a token stands for on average, for weights before an engine has counted. */
const BYTES_PER_TOKEN = 4;

const _messageSchema = z.looseObject({ role: z.string(), content: z.string() });

/** The body of a chat completion; further OpenAI fields pass through unread. */
export const chatBodySchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(_messageSchema).min(1),
  max_tokens: z.number().int().min(1).max(1_000_000).default(
    DEFAULT_MAXIMUM_TOKENS,
  ),
  stream: z.boolean().default(false),
  adapter: z.string().optional(),
});

/** The checked body of a chat completion. */
export type ChatBody = z.infer<typeof chatBodySchema>;

/** A chat completion inside a router. */
export interface ChatRequest {
  readonly id: RequestId;
  readonly workspace: WorkspaceId;
  readonly chat: ChatId | undefined;
  readonly body: ChatBody;
  readonly priority: Priority;
  /** On this router's monotonic clock. */
  readonly deadlineMilliseconds: number;
}

/** Parses JSON and checks a chat completion, or fails with `malformed_body`. */
export function safeParseChatBody(
  bytes: Uint8Array,
): Result<ChatBody, ApplicationError> {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(bytes).toString("utf8"));
  } catch {
    return err(createError("malformed_body", "expected JSON"));
  }
  const parsed = chatBodySchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  return err(
    createError(
      "malformed_body",
      issue?.message ?? "",
      issue?.path.map(String),
    ),
  );
}

/** Estimates the tokens of the prompt from its bytes. */
export function estimatePromptTokens(body: ChatBody): number {
  let bytes = 0;
  for (const message of body.messages) {
    bytes += Buffer.byteLength(message.content);
  }
  return Math.max(1, Math.ceil(bytes / BYTES_PER_TOKEN));
}
