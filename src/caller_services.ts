/** The operations of a router that its HTTP interface exposes. */
import type { Result } from "neverthrow";
import type { AuthenticatedWorkspace } from "./key_authenticator.ts";
import type { ChatRequest } from "./chat_request.ts";
import type { ApplicationError } from "./core/errors.ts";
import type { RequestId, WorkspaceId } from "./core/ids.ts";
import type { RequestOutcome } from "./execution_task.ts";
import type { ServiceCall, ServiceResponse } from "./service_call.ts";

/** One event of a chat response as the caller receives it. */
export interface ChatResponseEvent {
  /** Tokens received up to and including this event. */
  readonly offset: number;
  readonly text: string;
  /** True on the last event of a complete response. */
  readonly done: boolean;
  /** Signed token with which the stream can be resumed after this event. */
  readonly resumeToken: string;
  readonly usage?: ChatUsage | undefined;
}

/** Token counts as the engine reported them. */
export interface ChatUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** A chat response whose stream has started. */
export interface ChatResponse {
  readonly backendServer: string;
  /** The last item is a `done` event or an error. */
  readonly events: AsyncIterable<Result<ChatResponseEvent, ApplicationError>>;
}

/** The address of a router that a caller may use. */
export interface AdvertisedAddress {
  readonly address: string;
  readonly data_centre: string;
  readonly incarnation: string;
  /** Epoch of the request ids that the caller creates for this incarnation. */
  readonly epoch: number;
}

/** The addresses that a caller may use, and for how long. */
export interface AddressResponse {
  readonly addresses: readonly AdvertisedAddress[];
  readonly keep_milliseconds: number;
}

/** The services behind the HTTP interface of a router. */
export abstract class CallerServices {
  abstract newRequestId(): RequestId;
  abstract monotonicMilliseconds(): number;
  abstract addresses(workspace: AuthenticatedWorkspace): AddressResponse;
  abstract chat(
    request: ChatRequest,
  ): Promise<Result<ChatResponse, ApplicationError>>;
  abstract resumeChat(
    workspace: WorkspaceId,
    resumeToken: string,
  ): Promise<Result<ChatResponse, ApplicationError>>;
  abstract callService(
    call: ServiceCall,
  ): Promise<Result<ServiceResponse, ApplicationError>>;
  abstract outcome(
    id: RequestId,
    workspace: WorkspaceId,
  ): Promise<Result<RequestOutcome, ApplicationError>>;
  /** True once the router can serve callers. */
  abstract isReady(): boolean;
  /** True once a graceful shutdown has begun. */
  abstract isStopping(): boolean;
  abstract status(): unknown;
  abstract dump(): unknown;
  /** Begins a graceful shutdown. */
  abstract beginStop(): void;
}
