/** Errors that end a command, and the exit codes of the command line. */
import { readFile } from "node:fs/promises";
import type { Result } from "neverthrow";
import type { ApplicationError } from "./core/errors.ts";

/**
 * Exit codes of the command line. `conflict`: another change won;
 * `notInForceYet`: accepted, not in force on every router yet.
 */
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

/** Reads a file named in an argument; throws `UsageError` on failure. */
export async function readInputFile(path: string): Promise<string> {
  try {
    return await readFile(path, "utf8");
  } catch (cause) {
    throw new UsageError(`cannot read ${path}: ${(cause as Error).message}`);
  }
}

/** Returns `conflict` if a concurrent change won, otherwise `failed`. */
export function toExitCode(errors: readonly ApplicationError[]): number {
  // Other configuration conflicts mean that the platform's store went back.
  const isConflict = errors.some(({ kind, path }) =>
    kind === "configuration_conflict" && path[0] === "head"
  );
  return isConflict ? EXIT_CODES.conflict : EXIT_CODES.failed;
}
