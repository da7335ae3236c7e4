/** Creates the request for a backend server from the caller's request. */
import type { IncomingMessage } from "node:http";
import type { Placement } from "./core/load_control/placement.ts";
import {
  type AttemptContext,
  type AttemptOptions,
  RequestAttempt,
} from "./request_attempt.ts";
import { bodyToSend, type RequestBody } from "./request_body.ts";
import type { CheckedRequest } from "./request_check.ts";
import {
  cacheSourceAddress,
  type ServerChoiceContext,
} from "./server_choice.ts";

/** A request to forward to the chosen server. */
export interface ForwardOptions
  extends Pick<AttemptOptions, "listener" | "silenceMilliseconds"> {
  readonly request: IncomingMessage;
  readonly checked: CheckedRequest;
  readonly placement: Placement;
  readonly body: RequestBody | undefined;
  /** Remaining time that the caller waits. */
  readonly remainingMilliseconds: number;
  /** Resumes an event stream after this event. */
  readonly lastEventId: string | undefined;
}

/** Forwards a caller's request to the chosen server. */
export function forwardRequest(
  context: AttemptContext & ServerChoiceContext,
  options: ForwardOptions,
): RequestAttempt {
  const { request, checked, placement, listener } = options;
  const { remainingMilliseconds, lastEventId, silenceMilliseconds } = options;
  const { workspace, urgency, requestId } = checked;
  const { server } = placement;
  return new RequestAttempt(context, {
    server,
    requestId,
    method: request.method ?? "GET",
    path: request.url ?? "/",
    headers: context.protocol.forwardHeaders(request.rawHeaders, {
      expectedServer: server.id,
      remainingMilliseconds,
      workspace,
      urgency,
      cacheSource: cacheSourceAddress(context, checked, placement),
      lastEventId,
    }),
    body: bodyToSend(options.body),
    demand: checked,
    uncachedTokens: placement.uncachedTokens,
    silenceMilliseconds,
    listener,
  });
}
