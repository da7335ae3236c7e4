/** What the HTTP interface asks of a router. */
import type { Result } from "neverthrow";
import type { AuthenticatedWorkspace } from "./key_authenticator.ts";
import type { ChatRequest } from "./chat_request.ts";
import type { ApplicationError } from "./core/errors.ts";
import type { RequestId, WorkspaceId } from "./core/ids.ts";
import type { RequestOutcome } from "./execution_task.ts";
import type { ServiceCall, ServiceResponse } from "./service_call.ts";

/** One event of a chat answer as the caller receives it. */
export interface ChatResponseEvent {
  /** Tokens that the caller has after this event. */
  readonly offset: number;
  readonly text: string;
  /** True on the last event of a complete answer. */
  readonly done: boolean;
  /** Signed position for resuming after this event. */
  readonly resumeToken: string;
  readonly usage?: ChatUsage | undefined;
}

/** Token counts as the engine reported them. */
export interface ChatUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** A chat answer that has begun. */
export interface ChatResponse {
  readonly backendServer: string;
  /** Ends with an event that is `done`, or with an error result. */
  readonly events: AsyncIterable<Result<ChatResponseEvent, ApplicationError>>;
}

/** One address that a caller may use. */
export interface AdvertisedAddress {
  readonly address: string;
  readonly data_centre: string;
  readonly incarnation: string;
  /** Epoch for the request ids that the caller makes for this incarnation. */
  readonly epoch: number;
}

/** The answer to "which addresses may I use, and for how long". */
export interface AddressResponse {
  readonly addresses: readonly AdvertisedAddress[];
  readonly keep_milliseconds: number;
}

/** The parts of a router behind its HTTP interface. */
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
  /** True once callers may be served. */
  abstract isReady(): boolean;
  /** True once a planned stop has begun. */
  abstract isStopping(): boolean;
  abstract status(): unknown;
  abstract dump(): unknown;
  /** Begins a planned stop. */
  abstract beginStop(): void;
}
