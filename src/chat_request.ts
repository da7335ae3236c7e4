/** Parses and validates chat completion requests. */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { Priority } from "./core/fleet_schema.ts";
import type { ChatId, RequestId, WorkspaceId } from "./core/ids.ts";

const DEFAULT_MAXIMUM_TOKENS = 256;
/** Average token size, to estimate prompts that no engine has tokenized yet. */
const BYTES_PER_TOKEN = 4;

const _messageSchema = z.looseObject({ role: z.string(), content: z.string() });

/** The body of a chat completion; other OpenAI fields are passed through. */
export const chatBodySchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(_messageSchema).min(1),
  max_tokens: z.number().int().min(1).max(1_000_000).default(
    DEFAULT_MAXIMUM_TOKENS,
  ),
  stream: z.boolean().default(false),
  adapter: z.string().optional(),
});

/** The validated body of a chat completion. */
export type ChatBody = z.infer<typeof chatBodySchema>;

/** A chat completion request with its metadata. */
export interface ChatRequest {
  readonly id: RequestId;
  readonly workspace: WorkspaceId;
  readonly chat: ChatId | undefined;
  readonly body: ChatBody;
  readonly priority: Priority;
  /** On this router's monotonic clock. */
  readonly deadlineMilliseconds: number;
}

/** Parses and validates a chat completion, or fails with `malformed_body`. */
export function safeParseChatBody(
  bytes: Uint8Array,
): Result<ChatBody, ApplicationError> {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(bytes).toString("utf8"));
  } catch {
    return err(createError("malformed_body", "the body is not valid JSON"));
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

/** Estimates the number of prompt tokens from the size of the messages. */
export function estimatePromptTokens(body: ChatBody): number {
  let bytes = 0;
  for (const message of body.messages) {
    bytes += Buffer.byteLength(message.content);
  }
  return Math.max(1, Math.ceil(bytes / BYTES_PER_TOKEN));
}
