/** What all requests of a gateway share. */
import type { BodyReserve } from "./body_reserve.ts";
import type { ConnectionShedder } from "./connection_shedder.ts";
import type { ClientLimits } from "./core/client_limits.ts";
import type { PromptCrashes } from "./core/prompt_crashes.ts";
import type { MemoryAccount } from "./core/memory_account.ts";
import type { LoopStalls } from "./core/load_control/stream_gaps.ts";
import type { RetryBudget } from "./core/retry_budget.ts";
import type { ReadListener } from "./memory_reclamation.ts";
import type { PlannedStop } from "./planned_stop.ts";
import type { AttemptContext } from "./request_attempt.ts";
import type { RequestLogContext } from "./request_log.ts";
import type { ServerChoiceContext } from "./server_choice.ts";
import type { WaitingRequests } from "./waiting_requests.ts";

/** Dependencies shared by all requests. */
export interface PassThroughContext
  extends AttemptContext, RequestLogContext, ServerChoiceContext {
  readonly retries: (service: string) => RetryBudget;
  readonly crashes: PromptCrashes;
  readonly plannedStop: PlannedStop;
  /** Closes kept connections while this router is overloaded. */
  readonly shedder: ConnectionShedder;
  /** When this process did not run what was due. */
  readonly loopStalls: LoopStalls;
  readonly waiting: WaitingRequests;
  readonly limits: ClientLimits;
  /** Memory that all clients share. */
  readonly memory: MemoryAccount;
  /** Memory that the bodies of all requests share. */
  readonly bodies: BodyReserve;
  /** Called with bytes that were read from clients. */
  readonly onRead: ReadListener;
  /** Called once when a request has ended, whatever its outcome. */
  readonly onFinished: () => void;
}
