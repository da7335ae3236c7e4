/**
 * Request ids. An id names the only router incarnation that may run the
 * request and the epoch in which it was made: `<incarnation>.<epoch>.<random>`.
 */
import { err, ok, type Result } from "neverthrow";
import { type ApplicationError, createError } from "./errors.ts";
import { brandId, type IncarnationId, type RequestId } from "./ids.ts";

const REQUEST_ID_PATTERN =
  /^([a-z0-9-]{1,80})\.(\d{1,12})\.([a-zA-Z0-9-]{8,64})$/;

/** The parts of a request id. */
export interface RequestIdParts {
  readonly incarnation: IncarnationId;
  /** Period of the owner's monotonic clock in which the id was made. */
  readonly epoch: number;
}

/** Builds an id from its parts. */
export function formatRequestId(
  incarnation: IncarnationId,
  epoch: number,
  randomPart: string,
): RequestId {
  return brandId<RequestId>(`${incarnation}.${epoch}.${randomPart}`);
}

/** Reads the parts of an id, or fails with `malformed_request`. */
export function safeParseRequestId(
  value: string,
): Result<RequestIdParts, ApplicationError> {
  const match = REQUEST_ID_PATTERN.exec(value);
  if (!match) {
    return err(
      createError("malformed_request", "not a request id", [
        "x-sapphirecart-request-id",
      ]),
    );
  }
  return ok({
    incarnation: brandId<IncarnationId>(match[1] as string),
    epoch: Number(match[2]),
  });
}
