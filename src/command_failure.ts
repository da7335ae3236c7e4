/** Exit codes of the command line, and the errors that determine them. */
import { readFile } from "node:fs/promises";
import type { Result } from "neverthrow";
import type { ApplicationError } from "./core/errors.ts";

/** Exit codes of the command line. */
export const EXIT_CODES = {
  done: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  notInForceYet: 4,
} as const;

/** Thrown to end a command with a list of errors. */
export class CommandFailure extends Error {
  readonly errors: readonly ApplicationError[];
  readonly file: string | undefined;

  constructor(errors: readonly ApplicationError[], file?: string) {
    super("command failed");
    this.errors = errors;
    this.file = file;
  }
}

/** Thrown to end a command whose arguments are invalid. */
export class UsageError extends Error {}

/** Returns the value, or throws a `CommandFailure` with the errors. */
export function unwrapOrFail<T>(
  result: Result<T, ApplicationError | ApplicationError[]>,
  file?: string,
): T {
  if (result.isOk()) return result.value;
  const errors = Array.isArray(result.error) ? result.error : [result.error];
  throw new CommandFailure(errors, file);
}

/** Reads a file given as an argument; throws a `UsageError` if it can't. */
export async function readInputFile(path: string): Promise<string> {
  try {
    return await readFile(path, "utf8");
  } catch (cause) {
    throw new UsageError(`cannot read ${path}: ${(cause as Error).message}`);
  }
}

/** Returns the exit code for a list of errors. */
export function toExitCode(errors: readonly ApplicationError[]): number {
  const isConflict = errors.some(({ kind, path }) =>
    kind === "configuration_conflict" && path[0] === "head"
  );
  return isConflict ? EXIT_CODES.conflict : EXIT_CODES.failed;
}
