/** Reading whole answers of backend servers. */
import { err, ok, type Result } from "neverthrow";
import type { UnreadResponse } from "./backend_transport.ts";
import { type ApplicationError, createError } from "./core/errors.ts";

/** A whole answer; error statuses of the backend server are answers too. */
export interface BackendResponse {
  readonly status: number;
  readonly headers: UnreadResponse["headers"];
  readonly body: Buffer;
}

/** Reads an answer to its end; too large or broken off is `outcome_unknown`. */
export async function readWhole(
  answer: UnreadResponse,
  maximumBytes: number,
): Promise<Result<BackendResponse, ApplicationError>> {
  const parts: Buffer[] = [];
  let length = 0;
  try {
    for await (const part of answer.body) {
      parts.push(part as Buffer);
      length += (part as Buffer).length;
      if (length > maximumBytes) {
        const detail = `the answer is larger than ${maximumBytes} bytes`;
        return err(createError("outcome_unknown", detail));
      }
    }
  } catch (cause) {
    return err(createError("outcome_unknown", String(cause)));
  } finally {
    answer.release();
  }
  const { status, headers } = answer;
  return ok({ status, headers, body: Buffer.concat(parts) });
}

/** Turns an error status into `backend_failed`. */
export function expectSuccess(
  answer: BackendResponse,
): Result<BackendResponse, ApplicationError> {
  if (answer.status >= 200 && answer.status < 300) return ok(answer);
  return err(createError("backend_failed", `status ${answer.status}`));
}

/** Parses JSON; undefined if it is not valid. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}
