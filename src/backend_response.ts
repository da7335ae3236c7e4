/** Reads complete responses of backend servers. */
import { err, ok, type Result } from "neverthrow";
import type { UnreadResponse } from "./backend_transport.ts";
import { createByteBuffer } from "./core/byte_buffer.ts";
import { type ApplicationError, createError } from "./core/errors.ts";

/** A complete response of any status, including error statuses. */
export interface BackendResponse {
  readonly status: number;
  readonly headers: UnreadResponse["headers"];
  readonly body: Buffer;
}

/**
 * Reads a whole response. A response that is too large or cut off is
 * `outcome_unknown`, as the request may have run.
 */
export async function readResponse(
  response: UnreadResponse,
  maximumBytes: number,
): Promise<Result<BackendResponse, ApplicationError>> {
  const received = createByteBuffer();
  try {
    for await (const chunk of response.body) {
      received.append(chunk as Buffer);
      if (received.length > maximumBytes) {
        const detail = `the response is larger than ${maximumBytes} bytes`;
        return err(createError("outcome_unknown", detail));
      }
    }
  } catch (cause) {
    return err(createError("outcome_unknown", String(cause)));
  } finally {
    response.release();
  }
  const { status, headers } = response;
  return ok({ status, headers, body: received.bytes() });
}

/** Fails with `backend_failed` unless the status is 2xx. */
export function requireSuccessStatus(
  response: BackendResponse,
): Result<BackendResponse, ApplicationError> {
  if (response.status >= 200 && response.status < 300) return ok(response);
  return err(
    createError(
      "backend_failed",
      `the backend server returned status ${response.status}`,
    ),
  );
}

/** Parses JSON; returns undefined if it is invalid. */
export function parseJson(body: Buffer | string): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}
