/**
 * Finds a slot among the candidates of a request: asks each steward in turn,
 * then waits where the expected wait is shortest, and begins anew if the wait
 * is long, as another server may have room by then.
 */
import { err, ok, type Result } from "neverthrow";
import type { AdmissionClient, Slot, SlotOptions } from "./admission_client.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { BackendServerId } from "./core/ids.ts";
import type { SlotRefusal } from "./core/server_owner.ts";
import type { TimerService } from "./timer_service.ts";

/** Stewards asked in one attempt; each costs a round trip. */
const MAXIMUM_ASKED = 4;
/** Longest wait at one steward before the candidates are chosen again. */
export const MAXIMUM_QUEUE_WAIT_MILLISECONDS = 500;
/** Pause before another attempt when no steward could be asked. */
export const RETRY_DELAY_MILLISECONDS = 100;

/** A server that may take the request, and the load it would add there. */
export interface SlotCandidate {
  readonly backendServer: BackendServerId;
  readonly loadTokens: number;
}

/** Options of a search; candidates are chosen anew for every attempt. */
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

/** Asks every candidate once; the refusals are ordered by expected wait. */
async function _askAll(
  client: AdmissionClient,
  options: SlotSearchOptions,
): Promise<Slot | _Refused[]> {
  const refused: _Refused[] = [];
  for (const candidate of options.candidates().slice(0, MAXIMUM_ASKED)) {
    const answer = await client.requestSlot({
      ..._slotOptions(candidate, options),
      mayQueue: false,
    });
    if (answer.granted) return answer.slot;
    refused.push({ candidate, refusal: answer.refusal });
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
  hasAsked: boolean,
): ApplicationError {
  if (refusal) return createError("overloaded", refusal.reason);
  return hasAsked
    ? createError("no_backend_server", "no backend server serves this now")
    : createError("deadline_exceeded", "before a slot was looked for");
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
  let hasAsked = false;
  while (true) {
    const now = timers.clock.monotonicMilliseconds();
    if (now >= options.deadlineMilliseconds || options.signal?.aborted) break;
    hasAsked = true;
    const asked = await _askAll(client, options);
    if (!Array.isArray(asked)) return ok(asked);
    refusal = asked[0]?.refusal ?? refusal;
    if (!options.mayQueue) break;
    const waitAt = asked.find(_canWait);
    if (!waitAt) {
      await timers.sleep(RETRY_DELAY_MILLISECONDS, "admission.attempt");
      continue;
    }
    const sliceEnd = timers.clock.monotonicMilliseconds() +
      MAXIMUM_QUEUE_WAIT_MILLISECONDS;
    const answer = await client.requestSlot({
      ..._slotOptions(waitAt.candidate, options),
      deadlineMilliseconds: Math.min(options.deadlineMilliseconds, sliceEnd),
      mayQueue: true,
    });
    if (answer.granted) return ok(answer.slot);
    refusal = answer.refusal;
    if (refusal.reason !== "deadline_exceeded") {
      await timers.sleep(RETRY_DELAY_MILLISECONDS, "admission.attempt");
    }
  }
  return err(_toError(refusal, hasAsked));
}
