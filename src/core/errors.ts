/**
 * The closed list of error kinds and the table from kind to answer. Every
 * failure a caller, an operator or a peer can see has one entry here.
 */

/** Whether the request's work was done, as far as the system can prove it. */
export type RunState = "not_run" | "unknown" | "ran";

/** What a kind means to the party that receives it. */
export interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number;
  /** Fixed text for the caller; details go into `ApplicationError.detail`. */
  readonly text: string;
  readonly runState: RunState;
  /** True if the same work may be sent again without risking a second run. */
  readonly retryable: boolean;
}

function answer(
  status: number,
  text: string,
  runState: RunState,
  retryable: boolean,
): ErrorResponse {
  return { status, text, runState, retryable };
}

/** Every error kind with its answer. */
export const ERROR_RESPONSES = {
  malformed_request: answer(400, "the request is malformed", "not_run", false),
  malformed_body: answer(
    400,
    "the request body is not valid",
    "not_run",
    false,
  ),
  body_too_large: answer(
    413,
    "the request body is too large",
    "not_run",
    false,
  ),
  headers_too_large: answer(
    431,
    "the request headers are too large",
    "not_run",
    false,
  ),
  malformed_frame: answer(400, "the frame is malformed", "not_run", false),
  frame_too_large: answer(413, "the frame is too large", "not_run", false),
  unsupported_version: answer(
    400,
    "the protocol version is not supported",
    "not_run",
    false,
  ),
  invalid_settings: answer(400, "the settings are not valid", "not_run", false),
  invalid_fleet_file: answer(
    400,
    "the fleet file is not valid",
    "not_run",
    false,
  ),
  unauthenticated: answer(
    401,
    "the key is missing or not valid",
    "not_run",
    false,
  ),
  forbidden: answer(403, "the key does not permit this", "not_run", false),
  not_found: answer(404, "there is no such object", "not_run", false),
  configuration_conflict: answer(409, "another change won", "not_run", false),
  request_refused: answer(
    409,
    "the request id is sealed and will not run",
    "not_run",
    true,
  ),
  request_expired: answer(410, "the request id is too old", "unknown", false),
  rate_limited: answer(
    429,
    "the workspace is over its rate limit",
    "not_run",
    true,
  ),
  concurrency_limited: answer(
    429,
    "the workspace is over its concurrency limit",
    "not_run",
    true,
  ),
  overloaded: answer(503, "no backend server has room", "not_run", true),
  no_backend_server: answer(
    503,
    "no backend server can serve this",
    "not_run",
    true,
  ),
  stopping: answer(503, "the router is stopping", "not_run", true),
  not_ready: answer(
    503,
    "the router has no configuration yet",
    "not_run",
    true,
  ),
  peer_unreachable: answer(
    503,
    "the responsible router is unreachable",
    "not_run",
    true,
  ),
  deadline_exceeded: answer(
    504,
    "the deadline passed before the request was sent",
    "not_run",
    true,
  ),
  backend_unreachable: answer(
    502,
    "the backend server refused the connection",
    "not_run",
    true,
  ),
  backend_failed: answer(
    502,
    "the backend server answered with an error",
    "ran",
    false,
  ),
  outcome_unknown: answer(
    502,
    "the request may or may not have run",
    "unknown",
    false,
  ),
  answer_timeout: answer(
    504,
    "no answer came before the deadline",
    "unknown",
    false,
  ),
  answer_truncated: answer(
    502,
    "the answer ended before it was complete",
    "unknown",
    false,
  ),
  token_invalid: answer(403, "the resume token is not valid", "not_run", false),
  stream_gone: answer(
    410,
    "the stream can no longer be resumed",
    "unknown",
    false,
  ),
  platform_unavailable: answer(
    503,
    "the platform is not reachable",
    "not_run",
    true,
  ),
  platform_conflict: answer(
    409,
    "the object changed since it was read",
    "not_run",
    true,
  ),
  platform_outcome_unknown: answer(
    502,
    "the write may have taken effect",
    "unknown",
    false,
  ),
  platform_history_lost: answer(
    410,
    "the platform no longer has the changes since that revision",
    "not_run",
    true,
  ),
  lease_lost: answer(
    409,
    "the lease is held by another process",
    "not_run",
    true,
  ),
  order_rejected: answer(409, "the engine rejected the order", "not_run", true),
  internal: answer(500, "an internal error occurred", "unknown", false),
} as const satisfies Record<string, ErrorResponse>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof ERROR_RESPONSES;

/** A typed failure: its kind, where it happened, and a detail for people. */
export interface ApplicationError {
  readonly kind: ErrorKind;
  /** Where the fault is: a setting, a fleet-file key, a header. */
  readonly path: readonly string[];
  readonly detail: string;
}

/** Creates an error of a kind with a detail and, where it helps, a path. */
export function createError(
  kind: ErrorKind,
  detail: string,
  path: readonly string[] = [],
): ApplicationError {
  return { kind, path, detail };
}

/** The answer that belongs to an error's kind. */
export function errorResponseFor(error: ApplicationError): ErrorResponse {
  return ERROR_RESPONSES[error.kind];
}

/** The JSON body that callers and operators receive for an error. */
export interface ErrorBody {
  readonly error: {
    readonly code: ErrorKind;
    readonly message: string;
    readonly path: readonly string[];
    readonly detail: string;
    readonly run_state: RunState;
    readonly retryable: boolean;
  };
}

/** Builds the JSON body for an error. */
export function toErrorBody(error: ApplicationError): ErrorBody {
  const { text, runState, retryable } = errorResponseFor(error);
  return {
    error: {
      code: error.kind,
      message: text,
      path: error.path,
      detail: error.detail,
      run_state: runState,
      retryable,
    },
  };
}
