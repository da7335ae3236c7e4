/**
 * The owner of one backend server: grants requests under the load bound and
 * queues those that must wait for load to be released.
 */
import {
  type AdmissionSettings,
  createAdmission,
  type GrantRefusal,
  type GrantRequest,
  type HeldGrant,
} from "./admission.ts";
import type { LoadReading } from "./load_estimate.ts";
import type { PoolLoad } from "./pool_share.ts";
import {
  createAdmissionQueue,
  type QueuedRequest,
} from "./load_control/admission_queue.ts";
import {
  type ConfigurationSnapshot,
  PRIORITIES,
  type Priority,
} from "./fleet_schema.ts";
import type { BackendServerId, HostId } from "./ids.ts";

/** Time constant of the release rate that expected waits are based on. */
const RELEASE_RATE_WINDOW_MILLISECONDS = 5_000;
const MAXIMUM_EXPECTED_WAIT_MILLISECONDS = 60_000;

/** Why a slot was refused. */
export type SlotRefusalReason =
  | GrantRefusal
  | "queue_busy"
  | "queue_full"
  | "deadline_exceeded"
  | "cancelled"
  | "not_steward"
  | "steward_unreachable";

/** A refusal with the data by which an entry router chooses where to queue. */
export interface SlotRefusal {
  readonly reason: SlotRefusalReason;
  readonly loadTokens: number;
  readonly meanTokens: number;
  readonly expectedWaitMilliseconds: number;
}

/** Returns a refusal by a router that does not know the server's load. */
export function refusalWithoutLoad(reason: SlotRefusalReason): SlotRefusal {
  return { reason, loadTokens: 0, meanTokens: 0, expectedWaitMilliseconds: 0 };
}

/** A request for a slot at one backend server. */
export interface SlotRequest extends GrantRequest {
  readonly priority: Priority;
  /** When a queued request stops waiting, by the owner's clock. */
  readonly deadlineMilliseconds: number;
  readonly mayQueue: boolean;
}

/** The immediate decision on a request. */
export type SlotDecision =
  | { readonly kind: "granted" }
  | { readonly kind: "queued" }
  | { readonly kind: "refused"; readonly refusal: SlotRefusal };

/** The outcome of a queued request; granted if there is no refusal. */
export interface SlotOutcome {
  readonly grantId: string;
  readonly refusal: SlotRefusal | undefined;
}

/** Settings of a server owner. */
export interface ServerOwnerSettings extends AdmissionSettings {
  readonly queueLength: number;
}

/** Owns the admission to one backend server. */
export interface ServerOwner {
  configure(settings: ServerOwnerSettings): void;
  recordLoad(reading: LoadReading, nowMilliseconds: number): void;
  setPool(pool: PoolLoad | undefined, nowMilliseconds: number): void;
  request(request: SlotRequest, nowMilliseconds: number): SlotDecision;
  renew(
    holder: HostId,
    grants: readonly HeldGrant[],
    nowMilliseconds: number,
  ): void;
  release(grantId: string, nowMilliseconds: number): void;
  /** Cancels a request, whether it is queued or granted. */
  cancel(grantId: string, nowMilliseconds: number): void;
  /**
   * Grants queued requests that now fit and returns the outcomes of all that
   * left the queue.
   */
  processQueue(nowMilliseconds: number): SlotOutcome[];
  /** Refuses all queued requests and returns their outcomes. */
  close(reason: SlotRefusalReason, nowMilliseconds: number): SlotOutcome[];
  /**
   * Returns the grants in the form in which holders report them, for the next
   * owner.
   */
  exportGrants(nowMilliseconds: number): HeldGrant[];
  isLoadKnown(nowMilliseconds: number): boolean;
  /** Lower bound of the tokens in flight; pool means are computed from it. */
  minimumLoadTokens(): number;
  describe(nowMilliseconds: number): unknown;
}

/** Whether the configuration allows new requests to a backend server. */
export function isInService(
  backendServer: BackendServerId,
  { fleet, drains }: ConfigurationSnapshot,
): boolean {
  const host = fleet.backendServers[backendServer]?.host;
  return !drains.backendServers.includes(backendServer) &&
    (host === undefined || !drains.hosts.includes(host));
}

interface _WaitingRequest extends QueuedRequest {
  readonly slot: SlotRequest;
}

function _rankOf(priority: Priority): number {
  return PRIORITIES.indexOf(priority);
}

function _toWaitingRequest(slot: SlotRequest): _WaitingRequest {
  const { workspace, weightTokens, deadlineMilliseconds } = slot;
  const priority = _rankOf(slot.priority);
  return { slot, workspace, priority, weightTokens, deadlineMilliseconds };
}

/** Creates the owner of one backend server. */
export function createServerOwner(initial: ServerOwnerSettings): ServerOwner {
  const admission = createAdmission(initial);
  const queue = createAdmissionQueue<_WaitingRequest>(initial.queueLength);
  let accepting = initial.accepting;
  let outcomes: SlotOutcome[] = [];
  let releaseTokensPerWindow = 0;
  let releaseRateUpdatedAt = 0;

  function decayReleaseRate(now: number): void {
    const elapsed = Math.max(0, now - releaseRateUpdatedAt);
    releaseTokensPerWindow *= Math.exp(
      -elapsed / RELEASE_RATE_WINDOW_MILLISECONDS,
    );
    releaseRateUpdatedAt = now;
  }

  function expectedWait(priority: Priority, weight: number): number {
    const tokens = queue.tokensAhead(_rankOf(priority)) + weight;
    const waitMilliseconds = RELEASE_RATE_WINDOW_MILLISECONDS * tokens /
      Math.max(1, releaseTokensPerWindow);
    return Math.round(
      Math.min(MAXIMUM_EXPECTED_WAIT_MILLISECONDS, waitMilliseconds),
    );
  }

  function refusalFor(
    reason: SlotRefusalReason,
    { priority, weightTokens }: SlotRequest,
    now: number,
  ): SlotRefusal {
    return {
      reason,
      loadTokens: Math.round(admission.loadTokens()),
      meanTokens: Math.round(admission.meanTokens(now)),
      expectedWaitMilliseconds: expectedWait(priority, weightTokens),
    };
  }

  function refuse(
    reason: SlotRefusalReason,
    request: SlotRequest,
    now: number,
  ): void {
    const refusal = refusalFor(reason, request, now);
    outcomes.push({ grantId: request.grantId, refusal });
  }

  function enqueue(request: SlotRequest, now: number): SlotDecision {
    const { added, evicted } = queue.add(_toWaitingRequest(request));
    if (evicted) refuse("queue_full", evicted.slot, now);
    return added
      ? { kind: "queued" }
      : { kind: "refused", refusal: refusalFor("queue_full", request, now) };
  }

  function request(slot: SlotRequest, now: number): SlotDecision {
    const hasRequestsAhead = queue.tokensAhead(_rankOf(slot.priority)) > 0;
    const reason = hasRequestsAhead && accepting
      ? "queue_busy"
      : admission.tryGrant(slot, now);
    if (!reason) return { kind: "granted" };
    const mayWait = slot.mayQueue && accepting &&
      admission.canEverFit(slot.weightTokens);
    if (mayWait) return enqueue(slot, now);
    return { kind: "refused", refusal: refusalFor(reason, slot, now) };
  }

  function release(grantId: string, now: number): void {
    const weight = admission.release(grantId, now);
    if (weight === 0) return;
    decayReleaseRate(now);
    releaseTokensPerWindow += weight;
  }

  function processQueue(now: number): SlotOutcome[] {
    admission.expire(now);
    for (const expired of queue.takeExpired(now)) {
      refuse("deadline_exceeded", expired.slot, now);
    }
    if (!accepting) {
      for (const { slot } of queue.removeAll()) refuse("leaving", slot, now);
    }
    for (let next = queue.peek(); next; next = queue.peek()) {
      const { slot } = next;
      if (admission.tryGrant(slot, now)) break;
      queue.take();
      outcomes.push({ grantId: slot.grantId, refusal: undefined });
    }
    const processed = outcomes;
    outcomes = [];
    return processed;
  }

  function close(reason: SlotRefusalReason, now: number): SlotOutcome[] {
    for (const { slot } of queue.removeAll()) refuse(reason, slot, now);
    const processed = outcomes;
    outcomes = [];
    return processed;
  }

  function configure(settings: ServerOwnerSettings): void {
    admission.configure(settings);
    queue.setLimit(settings.queueLength);
    accepting = settings.accepting;
  }

  return {
    configure,
    recordLoad: (reading, now) => admission.recordLoad(reading, now),
    setPool: (pool, now) => admission.setPool(pool, now),
    request,
    renew: (holder, grants, now) => admission.renew(holder, grants, now),
    release,
    cancel: (grantId, now) => {
      queue.removeWhere(({ slot }) => slot.grantId === grantId);
      release(grantId, now);
    },
    processQueue,
    close,
    exportGrants: (now) => admission.exportGrants(now),
    isLoadKnown: (now) => admission.isLoadKnown(now),
    minimumLoadTokens: () => admission.minimumLoadTokens(),
    describe: (now) => ({
      accepting,
      loadTokens: admission.loadTokens(),
      meanTokens: admission.meanTokens(now),
      grants: admission.grantCount(),
      queued: queue.length(),
      tokensByWorkspace: Object.fromEntries(admission.tokensByWorkspace()),
    }),
  };
}
