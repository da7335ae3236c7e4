/** Parses values with schemas into results instead of exceptions. */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

/** Parses a value, or describes why it is invalid. */
export function safeParseWith<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): Result<z.output<Schema>, string> {
  const parsed = schema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}
