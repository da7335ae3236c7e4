/** Sends the gateway's own answers: an error of the closed table as JSON. */
import type { ServerResponse } from "node:http";
import {
  type ApplicationError,
  type ErrorResponse,
  errorResponseFor,
  toErrorBody,
} from "./core/errors.ts";
import type { RandomSource } from "./core/random.ts";
import { type RejectionCause, retryAfterSeconds } from "./core/retry_after.ts";

const SERVICE_UNAVAILABLE = 503;
/** Time that a request without a known deadline is taken to have. */
const ASSUMED_REMAINING_MILLISECONDS = 3_000;

/** What a rejection depends on. */
export interface RejectionOptions {
  readonly cause: RejectionCause;
  readonly remainingMilliseconds: number | undefined;
  readonly random: RandomSource;
  /** Whether the connection is closed after the answer. */
  readonly isClosing: boolean;
}

/** Answers a request with an error and returns the entry of the error table. */
export function sendRejection(
  response: ServerResponse,
  error: ApplicationError,
  options: RejectionOptions,
): ErrorResponse {
  const answer = errorResponseFor(error);
  const body = JSON.stringify(toErrorBody(error));
  const headers = [
    "Content-Type",
    "application/json",
    "Content-Length",
    String(Buffer.byteLength(body)),
  ];
  if (answer.status === SERVICE_UNAVAILABLE) {
    const seconds = retryAfterSeconds(
      options.cause,
      options.remainingMilliseconds ?? ASSUMED_REMAINING_MILLISECONDS,
      options.random,
    );
    headers.push("Retry-After", String(seconds));
  }
  if (options.isClosing) headers.push("Connection", "close");
  response.writeHead(answer.status, headers);
  response.end(body);
  return answer;
}
