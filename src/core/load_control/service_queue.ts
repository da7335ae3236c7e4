/**
 * The requests of one service that wait at one router: who is next, when one may
 * be sent, and which are rejected because they cannot be served in time.
 *
 * A request that would be late by now yields to those that are still on time.
 * Otherwise a backlog makes every response late, although the servers could
 * serve most requests in time.
 */
import {
  type AddOutcome,
  type AdmissionQueue,
  createAdmissionQueue,
  type QueuedRequest,
} from "./admission_queue.ts";
import {
  type ArrivedWork,
  createExpectedWait,
  type Outlook,
  type ServedWork,
} from "./expected_wait.ts";
import type { ServiceRoom } from "./service_room.ts";
import {
  decideWait,
  isLateIfSent,
  type WaitDecision,
  type WaitSituation,
} from "./wait_decision.ts";

/** Shortest interval in which requests whose time is over are looked for. */
const EXPIRY_PERIOD_MILLISECONDS = 25;
/** Interval in which the outlook of waiting requests is estimated anew. */
const OUTLOOK_PERIOD_MILLISECONDS = 250;

/** Requests that a workspace within its share may send at once. */
const BURST_REQUESTS = 8;
/**
 * Part of the rate at which rejected callers are told to come back. The rest is
 * left to callers that arrive meanwhile.
 */
const RETURN_RATE_RATIO = 0.5;

/** A request that waits to be sent; its weight is its cost. */
export interface WaitingRequest extends QueuedRequest {
  readonly arrivedMilliseconds: number;
  /** Time from the arrival in which the first event is on time. */
  readonly objectiveMilliseconds: number;
  readonly timesOutMilliseconds: number;
}

/** A decision and what it was based on. */
export interface WaitAssessment {
  readonly decision: WaitDecision;
  readonly outlook: Outlook | undefined;
  /** Time after which a rejected caller finds room, if it is known. */
  readonly returnMilliseconds: number | undefined;
  /** Requests that wait at this priority or a higher one. */
  readonly requestsAhead: number;
}

/** A request that was removed because it cannot be served in time. */
export interface ShedRequest<T> {
  readonly request: T;
  readonly assessment: WaitAssessment;
}

/** The waiting requests of one service. */
export class ServiceQueue<T extends WaitingRequest> {
  readonly #onTime: AdmissionQueue<T>;
  readonly #late: AdmissionQueue<T>;
  readonly #speed = createExpectedWait();
  #pending = 0;
  /** Requests that may be sent beyond the fair share before the next refresh. */
  #credits = 0;
  #refreshedAt = Number.NEGATIVE_INFINITY;
  #expiredAt = Number.NEGATIVE_INFINITY;
  #assessedAt = Number.NEGATIVE_INFINITY;
  /** When the rejected callers will have come back and been served. */
  #returnsUntil = Number.NEGATIVE_INFINITY;

  constructor(limit: number) {
    const options = { burstRequests: BURST_REQUESTS };
    this.#onTime = createAdmissionQueue(limit, options);
    this.#late = createAdmissionQueue(limit, options);
  }

  get length(): number {
    return this.#onTime.length() + this.#late.length();
  }

  /** Requests that were taken from the queue and are about to be sent. */
  get pending(): number {
    return this.#pending;
  }

  /** Number of waiting requests by priority. */
  lengths(): ReadonlyMap<number, number> {
    const lengths = new Map(this.#onTime.lengths());
    for (const [priority, count] of this.#late.lengths()) {
      lengths.set(priority, (lengths.get(priority) ?? 0) + count);
    }
    return lengths;
  }

  /** Time since the arrival of the oldest waiting request; 0 if none waits. */
  oldestMilliseconds(now: number): number {
    let oldest = 0;
    for (const queue of [this.#onTime, this.#late]) {
      for (const { request } of queue.positions()) {
        oldest = Math.max(oldest, now - request.arrivedMilliseconds);
      }
    }
    return oldest;
  }

  /** Records a request that was served, which shows the speed of the service. */
  recordServed(work: ServedWork, now: number): void {
    this.#speed.recordServed(work, now);
  }

  /** Lets a request replace one of this router's that ended. */
  recordEnded(room: ServiceRoom): void {
    if (!room.isBelowShare(this.#pending)) this.#credits++;
  }

  /** Decides what to do with a request that arrives. */
  assess(request: T, room: ServiceRoom, now: number): WaitAssessment {
    const { workspace, priority } = request;
    const ahead = this.#onTime.tokensBefore(workspace, priority);
    return this.#assess(request, ahead, room, now);
  }

  /**
   * Records that a request was rejected and its caller told when to come back.
   * The next one is told a later time, by the time that this one takes.
   */
  recordRejected(
    request: T,
    { outlook, returnMilliseconds }: WaitAssessment,
    room: ServiceRoom,
    now: number,
  ): void {
    if (!outlook || returnMilliseconds === undefined) return;
    const { waitMilliseconds, endMilliseconds } = outlook;
    this.#returnsUntil = now + returnMilliseconds +
      (endMilliseconds - waitMilliseconds) /
        (RETURN_RATE_RATIO * _concurrency(room));
  }

  /** Returns the expected wait behind all requests that are on time, if it is known. */
  expectedWaitMilliseconds(room: ServiceRoom, now: number): number | undefined {
    return this.#speed.estimate({
      cost: 0,
      priority: 0,
      workspace: undefined,
      costAhead: this.#onTime.tokensAhead(Number.POSITIVE_INFINITY),
      concurrency: _concurrency(room),
    }, now)?.waitMilliseconds;
  }

  /**
   * Adds a request, unless `limit` requests wait and none of them has to yield.
   * Returns whether it was added, and a request that was evicted for it.
   */
  add(request: T, limit: number, now: number): AddOutcome<T> {
    this.#onTime.setLimit(Math.max(0, limit - this.#late.length()));
    const outcome = this.#onTime.add(request);
    if (outcome.added) this.#speed.recordArrival(_workOf(request), now);
    return outcome;
  }

  remove(request: T): boolean {
    return this.#onTime.remove(request) || this.#late.remove(request);
  }

  removeAll(): T[] {
    return [...this.#onTime.removeAll(), ...this.#late.removeAll()];
  }

  /** Returns the waiting requests, first those that are on time. */
  list(): T[] {
    return [...this.#onTime.positions(), ...this.#late.positions()]
      .map(({ request }) => request);
  }

  /** Returns the request that is served next. */
  peek(): T | undefined {
    return this.#onTime.peek() ?? this.#late.peek();
  }

  /**
   * Renews the number of requests that may be sent beyond the fair share. All
   * routers act on the same figures, so each sends its part of the free slots
   * and then waits until the figures include what the others sent.
   */
  refresh(
    room: ServiceRoom,
    figuresAgeMilliseconds: number,
    now: number,
  ): void {
    if (now - this.#refreshedAt < figuresAgeMilliseconds) return;
    this.#refreshedAt = now;
    this.#credits = room.freeShare;
  }

  /**
   * Removes and returns the next request if it may be sent now. `otherPending` are
   * requests of other queues that are about to be sent to the same servers.
   */
  takeNext(room: ServiceRoom, now: number, otherPending = 0): T | undefined {
    if (!this.#maySend(room, otherPending)) return undefined;
    this.#demoteLate(now);
    const request = this.#onTime.take() ?? this.#late.take();
    if (!request) return undefined;
    if (!room.isBelowShare(this.#pending + otherPending)) this.#credits--;
    this.#pending++;
    return request;
  }

  /** Ends the reservation of a request that `takeNext` returned. */
  settle(): void {
    this.#pending--;
  }

  /** Removes and returns the requests that cannot be served in time. */
  shed(room: ServiceRoom, now: number): ShedRequest<T>[] {
    if (now - this.#expiredAt < EXPIRY_PERIOD_MILLISECONDS) return [];
    this.#expiredAt = now;
    const expired = [
      ...this.#onTime.takeExpired(now),
      ...this.#late.takeExpired(now),
    ].map((request) => ({
      request,
      assessment: {
        ...this.assess(request, room, now),
        decision: "reject_timeout" as const,
      },
    }));
    if (now - this.#assessedAt < OUTLOOK_PERIOD_MILLISECONDS) return expired;
    this.#assessedAt = now;
    return [...expired, ...this.#shedUnservable(room, now)];
  }

  #shedUnservable(room: ServiceRoom, now: number): ShedRequest<T>[] {
    const shed = this.#shedFrom(this.#onTime, 0, room, now);
    const ahead = this.#onTime.tokensAhead(Number.POSITIVE_INFINITY);
    return [...shed, ...this.#shedFrom(this.#late, ahead, room, now)];
  }

  #shedFrom(
    queue: AdmissionQueue<T>,
    costAhead: number,
    room: ServiceRoom,
    now: number,
  ): ShedRequest<T>[] {
    const shed: ShedRequest<T>[] = [];
    let removed = 0;
    for (const { request, tokensAhead } of queue.positions()) {
      const ahead = costAhead + tokensAhead - removed;
      const assessment = this.#assess(request, ahead, room, now);
      if (assessment.decision === "wait") continue;
      queue.remove(request);
      removed += request.weightTokens;
      shed.push({ request, assessment });
    }
    return shed;
  }

  #maySend(room: ServiceRoom, otherPending: number): boolean {
    const pending = this.#pending + otherPending;
    if (room.isClosed || room.isBelowShare(pending)) return true;
    return this.#credits > 0 && room.freeSlots > pending;
  }

  /** Lets requests that would be late yield to others that are on time. */
  #demoteLate(now: number): void {
    let next = this.#onTime.peek();
    while (next && this.#onTime.length() > 1 && this.#isLate(next, now)) {
      this.#onTime.remove(next);
      this.#late.add(next);
      next = this.#onTime.peek();
    }
  }

  #isLate(request: T, now: number): boolean {
    const outlook = this.#speed.estimate({
      ..._workOf(request),
      costAhead: 0,
      concurrency: 1,
    }, now);
    return isLateIfSent(_situationOf(request, outlook, now));
  }

  #assess(
    request: T,
    costAhead: number,
    room: ServiceRoom,
    now: number,
  ): WaitAssessment {
    const concurrency = _concurrency(room);
    const outlook = this.#speed.estimate(
      { ..._workOf(request), costAhead, concurrency },
      now,
    );
    return {
      decision: decideWait(_situationOf(request, outlook, now)),
      outlook,
      returnMilliseconds: this.#returnMilliseconds(request, outlook, now),
      requestsAhead: this.#requestsAhead(request.priority),
    };
  }

  /**
   * Callers that were rejected before come back before this one. One that is
   * told to come back after more than its timeout gives up.
   */
  #returnMilliseconds(
    request: T,
    outlook: Outlook | undefined,
    now: number,
  ): number | undefined {
    if (!outlook) return undefined;
    const timeout = request.timesOutMilliseconds - request.arrivedMilliseconds;
    return Math.min(
      timeout,
      Math.max(outlook.waitMilliseconds, this.#returnsUntil - now),
    );
  }

  #requestsAhead(priority: number): number {
    let requests = 0;
    for (const [other, count] of this.#onTime.lengths()) {
      if (other <= priority) requests += count;
    }
    return requests;
  }
}

/** Requests that this router can have in flight at the service. */
function _concurrency(room: ServiceRoom): number {
  return Math.max(1, room.ownInFlight, room.fairShare);
}

function _workOf(
  { workspace, priority, weightTokens }: WaitingRequest,
): ArrivedWork {
  return { workspace, priority, cost: weightTokens };
}

function _situationOf(
  request: WaitingRequest,
  outlook: Outlook | undefined,
  now: number,
): WaitSituation {
  return {
    hasRoom: false,
    outlook,
    elapsedMilliseconds: now - request.arrivedMilliseconds,
    objectiveMilliseconds: request.objectiveMilliseconds,
    remainingMilliseconds: request.timesOutMilliseconds - now,
  };
}

/** Creates an empty queue of at most `limit` requests. */
export function createServiceQueue<T extends WaitingRequest>(
  limit: number,
): ServiceQueue<T> {
  return new ServiceQueue(limit);
}
