/**
 * Finds a backend server with room for a request: asks the stewards of the
 * candidates in order, then waits in the queue where the wait is shortest.
 */
import { err, ok, type Result } from "neverthrow";
import type { AdmissionClient, Slot } from "./admission_client.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { Priority } from "./core/fleet_schema.ts";
import type { BackendServerId, WorkspaceId } from "./core/ids.ts";
import type { SlotRefusal } from "./core/steward.ts";
import type { Clock } from "./timer_service.ts";

/** Stewards asked before a request waits; each costs one round trip. */
const MAXIMUM_ASKED = 4;

/** A server that may take the request, and the load it would add there. */
export interface SlotCandidate {
  readonly backendServer: BackendServerId;
  readonly loadTokens: number;
}

/** What a request needs a slot for. */
export interface SlotSearch {
  readonly workspace: WorkspaceId;
  readonly priority: Priority;
  /** On the monotonic clock. */
  readonly deadlineMilliseconds: number;
  readonly queueWaitMilliseconds: number;
  readonly candidates: readonly SlotCandidate[];
}

interface _Refused {
  readonly candidate: SlotCandidate;
  readonly refusal: SlotRefusal;
}

/** Refusals after which waiting in the server's queue can help. */
function _isWorthWaiting({ refusal: { reason } }: _Refused): boolean {
  return reason === "above_bound" || reason === "above_capacity" ||
    reason === "queue_busy";
}

function _toError(refused: readonly _Refused[]): ApplicationError {
  const reasons = refused.map(({ candidate, refusal }) =>
    `${candidate.backendServer}: ${refusal.reason}`
  );
  return createError("overloaded", reasons.join("; "));
}

/** Returns a slot, or fails with `overloaded`, `deadline_exceeded` or `no_backend_server`. */
export async function findSlot(
  search: SlotSearch,
  admission: AdmissionClient,
  clock: Clock,
): Promise<Result<Slot, ApplicationError>> {
  if (search.candidates.length === 0) {
    return err(
      createError(
        "no_backend_server",
        "no backend server serves this request now",
      ),
    );
  }
  const refused: _Refused[] = [];
  for (const candidate of search.candidates.slice(0, MAXIMUM_ASKED)) {
    if (clock.monotonicMilliseconds() >= search.deadlineMilliseconds) {
      return err(createError("deadline_exceeded", "while looking for a slot"));
    }
    const answer = await request(candidate, false, search.deadlineMilliseconds);
    if (answer.granted) return ok(answer.slot);
    refused.push({ candidate, refusal: answer.refusal });
  }
  const [best] = refused.filter(_isWorthWaiting).sort((left, right) =>
    left.refusal.expectedWaitMilliseconds -
    right.refusal.expectedWaitMilliseconds
  );
  if (!best) return err(_toError(refused));
  const waitUntil = clock.monotonicMilliseconds() +
    search.queueWaitMilliseconds;
  const answer = await request(
    best.candidate,
    true,
    Math.min(waitUntil, search.deadlineMilliseconds),
  );
  if (answer.granted) return ok(answer.slot);
  return err(
    _toError([{ candidate: best.candidate, refusal: answer.refusal }]),
  );

  function request(
    candidate: SlotCandidate,
    mayQueue: boolean,
    deadlineMilliseconds: number,
  ) {
    return admission.requestSlot({
      backendServer: candidate.backendServer,
      workspace: search.workspace,
      priority: search.priority,
      weightTokens: candidate.loadTokens,
      deadlineMilliseconds,
      mayQueue,
    });
  }
}
