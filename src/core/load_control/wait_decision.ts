/**
 * Decides whether a request is sent, waits or is rejected.
 *
 * A request that cannot end within its timeout is rejected. One whose first
 * event would come after its latency objective is rejected while the rejection
 * still comes early, if the Retry-After lets it come back to a shorter queue and
 * be on time; otherwise it waits, since a late response is worth more than a
 * late rejection.
 */
import type { Outlook } from "./expected_wait.ts";

/** A rejection costs the caller little within this part of its objective. */
export const EARLY_REJECTION_RATIO = 1 / 8;
/**
 * Part of the time until the objective that the expected wait may take. Requests
 * that are expected to be just on time are late as often as not.
 */
export const EXPECTED_WAIT_RATIO = 0.8;

/** A request that waits or is about to. */
export interface WaitSituation {
  /** Whether a server has room and no other request waits. */
  readonly hasRoom: boolean;
  /** Undefined before the speed of the service is known. */
  readonly outlook: Outlook | undefined;
  /** Time since the request arrived. */
  readonly elapsedMilliseconds: number;
  /** Time from the arrival in which the first event is on time. */
  readonly objectiveMilliseconds: number;
  /** Time until the request times out. */
  readonly remainingMilliseconds: number;
}

/** What to do with a request, and why it is rejected. */
export type WaitDecision =
  | "send"
  | "wait"
  /** It cannot end within its timeout. */
  | "reject_timeout"
  /** It would be late, and can come back in time. */
  | "reject_late";

/** Whether a request that is sent now would miss its objective. */
export function isLateIfSent(
  { outlook, elapsedMilliseconds, objectiveMilliseconds }: WaitSituation,
): boolean {
  if (!outlook) return elapsedMilliseconds > objectiveMilliseconds;
  const { waitMilliseconds, firstEventMilliseconds } = outlook;
  const service = firstEventMilliseconds - waitMilliseconds;
  return elapsedMilliseconds + service > objectiveMilliseconds;
}

/** Decides whether a request is sent, waits or is rejected. */
export function decideWait(situation: WaitSituation): WaitDecision {
  const { outlook, elapsedMilliseconds, objectiveMilliseconds } = situation;
  if (situation.hasRoom) return "send";
  if (!outlook) return "wait";
  const { waitMilliseconds, firstEventMilliseconds } = outlook;
  if (outlook.endMilliseconds > situation.remainingMilliseconds) {
    return "reject_timeout";
  }
  // A request that is late even without a wait gains nothing by coming back.
  if (isLateIfSent(situation)) return "wait";
  const service = firstEventMilliseconds - waitMilliseconds;
  const allowed = EXPECTED_WAIT_RATIO *
    (objectiveMilliseconds - elapsedMilliseconds - service);
  const isEarly =
    elapsedMilliseconds <= EARLY_REJECTION_RATIO * objectiveMilliseconds;
  return waitMilliseconds > allowed && isEarly ? "reject_late" : "wait";
}
