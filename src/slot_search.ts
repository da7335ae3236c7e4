/**
 * Finds a slot among the candidates of a request: requests one from each owner
 * in turn, then waits at the server with the shortest expected wait, and starts
 * over if the wait is long, as another server may have capacity by then.
 */
import { err, ok, type Result } from "neverthrow";
import type { AdmissionClient, Slot, SlotOptions } from "./admission_client.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { BackendServerId } from "./core/ids.ts";
import type { SlotRefusal } from "./core/server_owner.ts";
import type { TimerService } from "./timer_service.ts";

/** Owners tried in one attempt; each costs a round trip. */
const MAXIMUM_CANDIDATES = 4;
/** Longest wait in one owner's queue before candidates are chosen again. */
export const MAXIMUM_QUEUE_WAIT_MILLISECONDS = 500;
/** Pause before another attempt if no owner could queue the request. */
export const RETRY_DELAY_MILLISECONDS = 100;

/** A server that can serve the request, and the load it would add there. */
export interface SlotCandidate {
  readonly backendServer: BackendServerId;
  readonly loadTokens: number;
}

/** Options of a search; `candidates` is called for every attempt. */
export interface SlotSearchOptions
  extends Omit<SlotOptions, "backendServer" | "mayQueue" | "weightTokens"> {
  readonly candidates: () => readonly SlotCandidate[];
  readonly mayQueue: boolean;
}

interface _Refused {
  readonly candidate: SlotCandidate;
  readonly refusal: SlotRefusal;
}

function _slotOptions(
  { backendServer, loadTokens }: SlotCandidate,
  options: SlotSearchOptions,
) {
  return { ...options, backendServer, weightTokens: loadTokens };
}

/** Tries each candidate once; sorts the refusals by expected wait. */
async function _requestAll(
  client: AdmissionClient,
  options: SlotSearchOptions,
): Promise<Slot | _Refused[]> {
  const refused: _Refused[] = [];
  for (
    const candidate of options.candidates().slice(
      0,
      MAXIMUM_CANDIDATES,
    )
  ) {
    const response = await client.requestSlot({
      ..._slotOptions(candidate, options),
      mayQueue: false,
    });
    if (response.granted) return response.slot;
    refused.push({ candidate, refusal: response.refusal });
  }
  return refused.sort((left, right) =>
    left.refusal.expectedWaitMilliseconds -
    right.refusal.expectedWaitMilliseconds
  );
}

function _canWait({ refusal: { reason } }: _Refused): boolean {
  return reason === "above_bound" || reason === "above_capacity" ||
    reason === "queue_busy";
}

function _toError(
  refusal: SlotRefusal | undefined,
  hasAttempted: boolean,
): ApplicationError {
  if (refusal) return createError("overloaded", refusal.reason);
  return hasAttempted
    ? createError(
      "no_backend_server",
      "no backend server serves this now",
    )
    : createError(
      "deadline_exceeded",
      "deadline passed before a slot was requested",
    );
}

/**
 * Finds a slot before the deadline, or fails with `overloaded`,
 * `no_backend_server` or `deadline_exceeded`.
 */
export async function findSlot(
  client: AdmissionClient,
  timers: TimerService,
  options: SlotSearchOptions,
): Promise<Result<Slot, ApplicationError>> {
  let refusal: SlotRefusal | undefined;
  let hasAttempted = false;
  while (true) {
    const now = timers.clock.monotonicMilliseconds();
    if (now >= options.deadlineMilliseconds || options.signal?.aborted) break;
    hasAttempted = true;
    const result = await _requestAll(client, options);
    if (!Array.isArray(result)) return ok(result);
    refusal = result[0]?.refusal ?? refusal;
    if (!options.mayQueue) break;
    const shortest = result.find(_canWait);
    if (!shortest) {
      await timers.sleep(RETRY_DELAY_MILLISECONDS, "admission.attempt");
      continue;
    }
    const waitEnd = timers.clock.monotonicMilliseconds() +
      MAXIMUM_QUEUE_WAIT_MILLISECONDS;
    const response = await client.requestSlot({
      ..._slotOptions(shortest.candidate, options),
      deadlineMilliseconds: Math.min(options.deadlineMilliseconds, waitEnd),
      mayQueue: true,
    });
    if (response.granted) return ok(response.slot);
    refusal = response.refusal;
    if (refusal.reason !== "deadline_exceeded") {
      await timers.sleep(RETRY_DELAY_MILLISECONDS, "admission.attempt");
    }
  }
  return err(_toError(refusal, hasAttempted));
}
