/** Sends the gateway's own error responses, as listed in the error table. */
import type { ServerResponse } from "node:http";
import {
  type ApplicationError,
  type ErrorResponse,
  errorResponseFor,
  toErrorBody,
} from "./core/errors.ts";
import type { RandomSource } from "./core/random.ts";
import {
  type RejectionCause,
  retryAfterExpectedWait,
  retryAfterKnownWait,
  retryAfterSeconds,
} from "./core/load_control/retry_after.ts";

const SERVICE_UNAVAILABLE = 503;
/** Remaining time assumed for a request without a known deadline. */
const DEFAULT_REMAINING_MILLISECONDS = 3_000;

/** What determines when a rejected caller is told to come back. */
export interface RetryOptions {
  readonly cause: RejectionCause;
  /** Time for which no retry can succeed, if it is known. */
  readonly waitMilliseconds?: number | undefined;
  /** Estimate of the time after which a retry finds room. */
  readonly expectedWaitMilliseconds?: number | undefined;
}

/** Options of a rejection. */
export interface RejectionOptions extends RetryOptions {
  readonly remainingMilliseconds: number | undefined;
  readonly random: RandomSource;
  /** Whether the connection is closed after the response. */
  readonly isClosing: boolean;
}

function _retryAfterOf(options: RejectionOptions): number {
  const { waitMilliseconds, expectedWaitMilliseconds, random } = options;
  if (waitMilliseconds !== undefined) {
    return retryAfterKnownWait(waitMilliseconds, random);
  }
  if (expectedWaitMilliseconds !== undefined) {
    return retryAfterExpectedWait(expectedWaitMilliseconds, random);
  }
  return retryAfterSeconds(
    options.cause,
    options.remainingMilliseconds ?? DEFAULT_REMAINING_MILLISECONDS,
    random,
  );
}

/** Responds with an error and returns its entry of the error table. */
export function sendRejection(
  response: ServerResponse,
  error: ApplicationError,
  options: RejectionOptions,
): ErrorResponse {
  const errorResponse = errorResponseFor(error);
  const body = JSON.stringify(toErrorBody(error));
  const headers = [
    "Content-Type",
    "application/json",
    "Content-Length",
    String(Buffer.byteLength(body)),
  ];
  if (errorResponse.status === SERVICE_UNAVAILABLE) {
    headers.push("Retry-After", String(_retryAfterOf(options)));
  }
  if (options.isClosing) headers.push("Connection", "close");
  response.writeHead(errorResponse.status, headers);
  response.end(body);
  return errorResponse;
}
