/** Handles the requests that arrive at the caller port. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ApplicationError } from "./core/errors.ts";
import { passThrough } from "./pass_through.ts";
import type { PassThroughContext } from "./pass_through_context.ts";
import { sendRejection } from "./rejection.ts";
import { checkRequest } from "./request_check.ts";
import { RequestLog } from "./request_log.ts";

/** Rejects and logs a request that failed the checks. */
function _rejectInvalid(
  context: PassThroughContext,
  request: IncomingMessage,
  response: ServerResponse,
  error: ApplicationError,
): void {
  const rejection = sendRejection(response, error, {
    cause: "starting",
    remainingMilliseconds: undefined,
    random: context.random,
    isClosing: context.plannedStop.isStopping || !request.complete,
  });
  const { requestId } = context.protocol.readRequest(request.headers);
  new RequestLog(context).ended(
    "request.rejected",
    {
      requestId,
      route: undefined,
      attempts: 0,
      runs: 0,
      milliseconds: 0,
      firstByteMilliseconds: undefined,
    },
    error.kind,
    { detail: error.detail, status: rejection.status },
  );
  context.onFinished();
}

/** Checks a request, then forwards or rejects it. */
export function handleRequest(
  context: PassThroughContext,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const checked = checkRequest(request, context);
  if (checked.isErr()) {
    _rejectInvalid(context, request, response, checked.error);
  } else passThrough(context, request, response, checked.value);
}
