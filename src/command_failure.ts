/** How commands end: exit codes, and failures that carry them. */
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

/** Ends a command with a list of errors. */
export class CommandFailure extends Error {
  readonly errors: readonly ApplicationError[];
  readonly file: string | undefined;

  constructor(errors: readonly ApplicationError[], file?: string) {
    super("command failed");
    this.errors = errors;
    this.file = file;
  }
}

/** Ends a command whose arguments are wrong. */
export class UsageError extends Error {}

/** Returns the value, or ends the command with the errors. */
export function unwrapOrFail<T>(
  result: Result<T, ApplicationError | ApplicationError[]>,
  file?: string,
): T {
  if (result.isOk()) return result.value;
  const errors = Array.isArray(result.error) ? result.error : [result.error];
  throw new CommandFailure(errors, file);
}

/** Reads a file that an argument names. */
export async function readNamedFile(path: string): Promise<string> {
  try {
    return await readFile(path, "utf8");
  } catch (cause) {
    throw new UsageError(`cannot read ${path}: ${(cause as Error).message}`);
  }
}

/** Returns the exit code that belongs to errors. */
export function exitCodeOf(errors: readonly ApplicationError[]): number {
  const lostRace = errors.some(({ kind, path }) =>
    kind === "configuration_conflict" && path[0] === "head"
  );
  return lostRace ? EXIT_CODES.conflict : EXIT_CODES.failed;
}
