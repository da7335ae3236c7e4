/** Parses values with schemas into results instead of exceptions. */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

/** A log line about an invalid value must not grow with the value. */
const MAXIMUM_DESCRIPTION_CHARACTERS = 500;

/** Parses a value, or describes why it is invalid. */
export function safeParseWith<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): Result<z.output<Schema>, string> {
  const parsed = schema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(describeError(parsed.error));
}

/** Describes the faults of a value for logs, within a bounded length. */
export function describeError(error: z.ZodError): string {
  return z.prettifyError(error).slice(0, MAXIMUM_DESCRIPTION_CHARACTERS);
}

/** Parses values up to the first that is invalid. */
export function parseAll<Value>(
  values: readonly unknown[],
  parse: (value: unknown) => Result<Value, string>,
): Result<Value[], string> {
  const parsed: Value[] = [];
  for (const value of values) {
    const result = parse(value);
    if (result.isErr()) return err(result.error);
    parsed.push(result.value);
  }
  return ok(parsed);
}
