/** Decides where a request goes, or why it cannot be served now. */
import { err, ok, type Result } from "neverthrow";
import type { ErrorKind } from "./core/errors.ts";
import type { Placement } from "./core/load_control/placement.ts";
import type { UnavailableServer } from "./core/load_control/server_capacity.ts";
import type { PromptCrashes, Quarantine } from "./core/prompt_crashes.ts";
import type { RejectionCause } from "./core/load_control/retry_after.ts";
import type { CheckedRequest } from "./request_check.ts";
import type { RequestHistory } from "./request_history.ts";
import {
  assessServers,
  chooseServer,
  isAnyFull,
  type ServerChoiceContext,
  type ServiceWait,
  unavailableServers,
  waitOfService,
} from "./server_choice.ts";

/** Dependencies of the decision. */
export interface PlacementContext extends ServerChoiceContext {
  readonly crashes: PromptCrashes;
}

/** The chosen server, and the servers that could not be chosen. */
export interface PlacedRequest {
  readonly placement: Placement;
  readonly listUnavailable: () => readonly UnavailableServer[];
}

/** What a placement needs to know of the request's attempts. */
export interface PlacementOptions
  extends Pick<RequestHistory, "tried" | "runs"> {
  /** Whether this request waits while all servers are full. */
  readonly mayWait: boolean;
}

/** Why a request cannot be sent to a server. */
export interface PlacementRefusal {
  readonly kind: ErrorKind;
  readonly detail: string;
  readonly cause: RejectionCause;
  /** Time for which no retry can succeed, if it is known. */
  readonly waitMilliseconds: number | undefined;
  /** Whether the request waits until a server that is full has room. */
  readonly canWait?: boolean;
}

function _refuseQuarantined(
  { crashes, remainingMilliseconds }: Quarantine,
): PlacementRefusal {
  return {
    kind: "prompt_quarantined",
    detail: `a part of the prompt has crashed ${crashes} servers`,
    cause: "full",
    waitMilliseconds: remainingMilliseconds,
  };
}

const TOO_LARGE: PlacementRefusal = {
  kind: "overloaded",
  detail: "it needs more memory than a backend server has",
  cause: "full",
  waitMilliseconds: undefined,
};

const WAIT_DETAILS: Readonly<Record<ServiceWait["reason"], string>> = {
  pausing: "all backend servers want a pause",
  limited: "all backend servers have reached their rate limits",
  cold: "all backend servers have just started and take few requests",
  memory: "the memory of all backend servers is in use",
  connections: "all connections to the backend servers are in use",
};

function _refuseWithoutServer(
  wait: ServiceWait | undefined,
): PlacementRefusal {
  return {
    kind: "no_backend_server",
    detail: wait ? WAIT_DETAILS[wait.reason] : "no backend server is left",
    cause: wait === undefined || wait.reason === "pausing"
      ? "no_server"
      : "full",
    waitMilliseconds: wait?.milliseconds,
  };
}

function _refuse(
  refusal: PlacementRefusal,
  runs: number,
): Result<never, PlacementRefusal> {
  // An earlier attempt may have run, so it cannot be said that none did.
  return err(runs > 0 ? { ...refusal, kind: "outcome_unknown" } : refusal);
}

/** Returns the server for the next attempt of a request. */
export function placeRequest(
  context: PlacementContext,
  checked: CheckedRequest,
  { tried, runs, mayWait }: PlacementOptions,
): Result<PlacedRequest, PlacementRefusal> {
  const now = context.timers.clock.monotonicMilliseconds();
  const { sharedPartKeys } = checked.metadata;
  const quarantine = context.crashes.findQuarantine(sharedPartKeys, now);
  if (quarantine) return _refuse(_refuseQuarantined(quarantine), runs);
  if (context.capacity.isTooLarge(checked.service, checked)) {
    return _refuse(TOO_LARGE, runs);
  }
  const assessment = assessServers(context, checked);
  const placement = chooseServer(context, checked, tried, {
    assessment,
    mayWait,
  });
  if (placement) {
    return ok({
      placement,
      listUnavailable: () => unavailableServers(context, checked, assessment),
    });
  }
  const wait = waitOfService(context, checked, assessment);
  const canWait = mayWait && isAnyFull(assessment, tried);
  return _refuse({ ..._refuseWithoutServer(wait), canWait }, runs);
}
