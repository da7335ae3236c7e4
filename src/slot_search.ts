/**
 * Finds a slot among the candidates of a request: asks each steward in turn,
 * then waits where the expected wait is shortest, and begins anew if the wait
 * is long, as another server may have room by then.
 */
import type { AdmissionClient, Slot, SlotOptions } from "./admission_client.ts";
import type { BackendServerId } from "./core/ids.ts";
import { refusalWithoutLoad, type SlotRefusal } from "./core/steward.ts";
import type { TimerService } from "./timer_service.ts";

/** Longest wait at one steward before the candidates are chosen again. */
export const QUEUE_SLICE_MILLISECONDS = 500;
/** Pause before another attempt when no steward could be asked. */
export const ATTEMPT_PAUSE_MILLISECONDS = 100;

/** Options of a search; candidates are chosen anew for every attempt. */
export interface SlotSearchOptions
  extends Omit<SlotOptions, "backendServer" | "mayQueue"> {
  readonly candidates: () => readonly BackendServerId[];
  readonly mayQueue: boolean;
}

/** A slot, or the last refusal. */
export type SlotSearchResult =
  | { readonly granted: true; readonly slot: Slot }
  | { readonly granted: false; readonly refusal: SlotRefusal };

/** Asks every candidate once; the refusals are ordered by expected wait. */
async function _askAll(
  client: AdmissionClient,
  options: SlotSearchOptions,
): Promise<Slot | [BackendServerId, SlotRefusal][]> {
  const refused: [BackendServerId, SlotRefusal][] = [];
  for (const backendServer of options.candidates()) {
    const answer = await client.requestSlot({
      ...options,
      backendServer,
      mayQueue: false,
    });
    if (answer.granted) return answer.slot;
    refused.push([backendServer, answer.refusal]);
  }
  return refused.sort(([, left], [, right]) =>
    left.expectedWaitMilliseconds - right.expectedWaitMilliseconds
  );
}

function _canWait({ reason }: SlotRefusal): boolean {
  return reason === "above_bound" || reason === "above_capacity" ||
    reason === "queue_busy";
}

/** Finds a slot before the deadline. */
export async function findSlot(
  client: AdmissionClient,
  timers: TimerService,
  options: SlotSearchOptions,
): Promise<SlotSearchResult> {
  let refusal = refusalWithoutLoad("deadline_exceeded");
  while (true) {
    const now = timers.clock.monotonicMilliseconds();
    if (now >= options.deadlineMilliseconds || options.signal?.aborted) break;
    const asked = await _askAll(client, options);
    if (!Array.isArray(asked)) return { granted: true, slot: asked };
    refusal = asked[0]?.[1] ?? refusal;
    if (!options.mayQueue) break;
    const waitAt = asked.find(([, entry]) => _canWait(entry));
    if (!waitAt) {
      await timers.sleep(ATTEMPT_PAUSE_MILLISECONDS, "admission.attempt");
      continue;
    }
    const answer = await client.requestSlot({
      ...options,
      backendServer: waitAt[0],
      deadlineMilliseconds: Math.min(
        options.deadlineMilliseconds,
        timers.clock.monotonicMilliseconds() + QUEUE_SLICE_MILLISECONDS,
      ),
      mayQueue: true,
    });
    if (answer.granted) return answer;
    refusal = answer.refusal;
    if (refusal.reason !== "deadline_exceeded") {
      await timers.sleep(ATTEMPT_PAUSE_MILLISECONDS, "admission.attempt");
    }
  }
  return { granted: false, refusal };
}
