/**
 * Request ids: `<incarnation>.<epoch>.<random>`. An id names the only router
 * incarnation that may run the request, and the epoch of the id's creation.
 */
import { err, ok, type Result } from "neverthrow";
import { type ApplicationError, createError } from "./errors.ts";
import { brandId, type IncarnationId, type RequestId } from "./ids.ts";

const REQUEST_ID_PATTERN =
  /^([a-z0-9-]{1,80})\.(\d{1,12})\.([a-zA-Z0-9-]{8,64})$/;

/** The parts of a request id that the router evaluates. */
export interface RequestIdParts {
  readonly incarnation: IncarnationId;
  /** Epoch of the router's wall clock in which the id was created. */
  readonly epoch: number;
}

/** Formats an id from its parts. */
export function formatRequestId(
  incarnation: IncarnationId,
  epoch: number,
  randomPart: string,
): RequestId {
  return brandId<RequestId>(`${incarnation}.${epoch}.${randomPart}`);
}

/** Parses an id, or returns a `malformed_request` error. */
export function safeParseRequestId(
  value: string,
): Result<RequestIdParts, ApplicationError> {
  const match = REQUEST_ID_PATTERN.exec(value);
  if (!match) {
    return err(
      createError(
        "malformed_request",
        "expected a request id of the form <incarnation>.<epoch>.<random>",
        [
          "x-sapphirecart-request-id",
        ],
      ),
    );
  }
  return ok({
    incarnation: brandId<IncarnationId>(match[1] as string),
    epoch: Number(match[2]),
  });
}
