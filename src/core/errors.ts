/**
 * All error kinds and the HTTP response of each. Every failure that a caller,
 * an operator or a peer can see has an entry here.
 */

/** Whether the request ran; `unknown` if neither can be proven. */
export type RunState = "not_run" | "unknown" | "ran";

/** The response to an error of one kind. */
export interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number;
  /** Fixed message of the kind; specifics go into `ApplicationError.detail`. */
  readonly message: string;
  readonly runState: RunState;
  /** True if sending the request again cannot make it run twice. */
  readonly retryable: boolean;
}

function _response(
  status: number,
  text: string,
  runState: RunState,
  retryable: boolean,
): ErrorResponse {
  return { status, message: text, runState, retryable };
}

/** The response to each error kind. */
export const ERROR_RESPONSES = {
  malformed_request: _response(
    400,
    "the request is malformed",
    "not_run",
    false,
  ),
  malformed_body: _response(
    400,
    "the request body is not valid",
    "not_run",
    false,
  ),
  body_too_large: _response(
    413,
    "the request body is too large",
    "not_run",
    false,
  ),
  headers_too_large: _response(
    431,
    "the request headers are too large",
    "not_run",
    false,
  ),
  malformed_frame: _response(400, "the frame is malformed", "not_run", false),
  frame_too_large: _response(413, "the frame is too large", "not_run", false),
  unsupported_version: _response(
    400,
    "the protocol version is not supported",
    "not_run",
    false,
  ),
  invalid_settings: _response(
    400,
    "the settings are not valid",
    "not_run",
    false,
  ),
  invalid_fleet_file: _response(
    400,
    "the fleet file is not valid",
    "not_run",
    false,
  ),
  unauthenticated: _response(
    401,
    "the key is missing or not valid",
    "not_run",
    false,
  ),
  forbidden: _response(403, "the key does not permit this", "not_run", false),
  not_found: _response(404, "there is no such object", "not_run", false),
  configuration_conflict: _response(
    409,
    "another change won",
    "not_run",
    false,
  ),
  request_refused: _response(
    409,
    "the request id is sealed and will not run",
    "not_run",
    true,
  ),
  request_expired: _response(
    410,
    "the request id is too old",
    "unknown",
    false,
  ),
  rate_limited: _response(
    429,
    "the workspace is over its rate limit",
    "not_run",
    true,
  ),
  concurrency_limited: _response(
    429,
    "the workspace is over its concurrency limit",
    "not_run",
    true,
  ),
  overloaded: _response(503, "no backend server has room", "not_run", true),
  no_backend_server: _response(
    503,
    "no backend server can serve this",
    "not_run",
    true,
  ),
  prompt_quarantined: _response(
    503,
    "a part of the prompt has crashed backend servers",
    "not_run",
    true,
  ),
  stopping: _response(503, "the router is stopping", "not_run", true),
  not_ready: _response(
    503,
    "the router has no configuration yet",
    "not_run",
    true,
  ),
  peer_unreachable: _response(
    503,
    "the responsible router is unreachable",
    "not_run",
    true,
  ),
  deadline_exceeded: _response(
    504,
    "the deadline passed before the request was sent",
    "not_run",
    true,
  ),
  backend_unreachable: _response(
    502,
    "the backend server refused the connection",
    "not_run",
    true,
  ),
  backend_failed: _response(
    502,
    "the backend server answered with an error",
    "ran",
    false,
  ),
  outcome_unknown: _response(
    502,
    "the request may or may not have run",
    "unknown",
    false,
  ),
  answer_timeout: _response(
    504,
    "no answer came before the deadline",
    "unknown",
    false,
  ),
  answer_truncated: _response(
    502,
    "the answer ended before it was complete",
    "unknown",
    false,
  ),
  token_invalid: _response(
    403,
    "the resume token is not valid",
    "not_run",
    false,
  ),
  stream_gone: _response(
    410,
    "the stream can no longer be resumed",
    "unknown",
    false,
  ),
  platform_unavailable: _response(
    503,
    "the platform is not reachable",
    "not_run",
    true,
  ),
  platform_conflict: _response(
    409,
    "the object changed since it was read",
    "not_run",
    true,
  ),
  platform_outcome_unknown: _response(
    502,
    "the write may have taken effect",
    "unknown",
    false,
  ),
  platform_silent: _response(
    503,
    "the platform did not respond on an open connection",
    "not_run",
    true,
  ),
  platform_history_lost: _response(
    410,
    "the platform no longer has the changes since that revision",
    "not_run",
    true,
  ),
  lease_lost: _response(
    409,
    "the lease is held by another process",
    "not_run",
    true,
  ),
  order_rejected: _response(
    409,
    "the engine rejected the order",
    "not_run",
    true,
  ),
  internal: _response(500, "an internal error occurred", "unknown", false),
} as const satisfies Record<string, ErrorResponse>;

/** Name of an error kind. */
export type ErrorKind = keyof typeof ERROR_RESPONSES;

/** An error with its location and a human-readable detail. */
export interface ApplicationError {
  readonly kind: ErrorKind;
  /** Location of the error: a setting, a fleet file key or a header. */
  readonly path: readonly string[];
  readonly detail: string;
}

/** Creates an error; `path` locates the invalid input, if any. */
export function createError(
  kind: ErrorKind,
  detail: string,
  path: readonly string[] = [],
): ApplicationError {
  return { kind, path, detail };
}

/** Returns the response to an error. */
export function errorResponseFor(error: ApplicationError): ErrorResponse {
  return ERROR_RESPONSES[error.kind];
}

/** The JSON body of an error response. */
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

/** Creates the JSON body of an error response. */
export function toErrorBody(error: ApplicationError): ErrorBody {
  const { message: text, runState, retryable } = errorResponseFor(error);
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
