/**
 * The requests that wait at one gateway until a server of their service has
 * room. Each is asked again when a request of this router ends at the service,
 * when reports change the load, and periodically. No decision waits for a
 * message from another router.
 */
import type { ServiceId } from "./core/gateway_configuration.ts";
import type { LoadStatements } from "./core/load_control/load_statements.ts";
import {
  NO_DEMAND,
  type RequestDemand,
} from "./core/load_control/server_capacity.ts";
import type { PermittedRegions } from "./core/permitted_regions.ts";
import type { RegisteredServer } from "./core/server_registry.ts";
import {
  createServiceQueue,
  type ServiceQueue,
  type WaitAssessment,
  type WaitingRequest,
} from "./core/load_control/service_queue.ts";
import {
  createServiceRoom,
  type RoomSource,
  type ServiceRoom,
} from "./core/load_control/service_room.ts";
import type { ServedWork } from "./core/load_control/expected_wait.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

/** Bounds the memory of waiting requests of one router. */
export const MAXIMUM_WAITING_REQUESTS = 5_000;
/** Interval in which waiting requests are asked again. */
const WAKE_PERIOD_MILLISECONDS = 50;

/** Why a request that would have waited is rejected. */
export type WaitRefusalCause = "timeout" | "late" | "queue_full";

/** The rejection of a request, and what it was based on. */
export interface WaitRefusal {
  readonly cause: WaitRefusalCause;
  readonly assessment: WaitAssessment;
}

/** A request that waits, and what is called at the end of its wait. */
export interface Waiter extends WaitingRequest {
  readonly service: ServiceId;
  readonly demand: RequestDemand;
  /**
   * Called when it may be sent. The room is reserved for it until `settle` or
   * `leave` is called.
   */
  onTurn(): void;
  onRefused(refusal: WaitRefusal): void;
  /** Called when the configuration has changed. */
  onConfigurationChange(): void;
}

/** Dependencies of the waiting requests. */
export interface WaitingRequestsOptions {
  readonly timers: TimerService;
  readonly statements: LoadStatements;
  readonly room: RoomSource;
  /** Returns the servers of a service that lie in the permitted regions. */
  readonly servers: (
    service: ServiceId,
    permitted: PermittedRegions,
  ) => readonly RegisteredServer[];
  /** Whether no server of a service can ever take a request. */
  readonly isTooLarge: (service: ServiceId, demand: RequestDemand) => boolean;
  /** Age of the oldest figures about other routers, in milliseconds. */
  readonly loadAgeMilliseconds: (now: number) => number;
}

/** The waiting requests of one service, as metrics and dumps show them. */
export interface WaitingSummary {
  readonly service: ServiceId;
  readonly lengths: ReadonlyMap<number, number>;
  readonly oldestMilliseconds: number;
  /** Undefined before the speed of the service is known. */
  readonly expectedWaitMilliseconds: number | undefined;
}

/**
 * Requests of one service that may use the same regions. A request that waits for
 * full servers of its regions does not delay those that may use others.
 */
interface _Group {
  readonly service: ServiceId;
  readonly permittedRegions: PermittedRegions;
  readonly queue: ServiceQueue<Waiter>;
}

/** The waiting requests of one gateway. */
export class WaitingRequests {
  readonly #options: WaitingRequestsOptions;
  readonly #room: ServiceRoom;
  /** By service, then by permitted regions. */
  readonly #groups = new Map<ServiceId, Map<string, _Group>>();
  /** Requests whose turn has come and that were not sent yet. */
  readonly #reserved = new Set<Waiter>();
  #timer: Subscription | undefined;
  #wakeSoon: Subscription | undefined;
  #isWaking = false;
  #configurationVersion: number | undefined;
  #count = 0;

  constructor(options: WaitingRequestsOptions) {
    this.#options = options;
    this.#room = createServiceRoom(options.room);
  }

  /** Whether requests may have to wait: only where servers state their pace. */
  get isActive(): boolean {
    return this.#options.statements.hasStatedPace();
  }

  /** Number of waiting requests. */
  get length(): number {
    return this.#count;
  }

  /** Whether a request of a service has to wait or be rejected. */
  mustWait(service: ServiceId, demand: RequestDemand): boolean {
    // The placement rejects what no server can ever take.
    if (!this.isActive || this.#options.isTooLarge(service, demand)) {
      return false;
    }
    const queue = this.#findGroup(service, demand)?.queue;
    if (queue !== undefined && queue.length > 0) return true;
    const pending = this.#pendingOf(service);
    const hasFreeSlot = this.#room.hasFreeSlot(
      this.#options.servers(service, demand.permittedRegions),
      demand,
      this.#now(),
      pending,
    );
    if (hasFreeSlot) return false;
    const room = this.#measure(service, demand);
    return !room.isClosed && !room.hasRoom(pending);
  }

  /** Lets a request wait, or refuses it at once. */
  enter(waiter: Waiter): WaitAssessment {
    const now = this.#now();
    const { queue } = this.#groupOf(waiter.service, waiter.demand);
    const room = this.#measure(waiter.service, waiter.demand);
    const assessment = queue.assess(waiter, room, now);
    if (assessment.decision !== "wait") {
      queue.recordRejected(waiter, assessment, room, now);
      waiter.onRefused({ cause: _causeOf(assessment), assessment });
      return assessment;
    }
    const others = this.#count - queue.length;
    const limit = MAXIMUM_WAITING_REQUESTS - others;
    const { added, evicted } = queue.add(waiter, limit, now);
    this.#count += (added ? 1 : 0) - (evicted ? 1 : 0);
    const refused = added ? evicted : waiter;
    refused?.onRefused({ cause: "queue_full", assessment });
    this.#updateTimer();
    return assessment;
  }

  /** Ends the reservation of a request that is sent now. */
  settle(waiter: Waiter): void {
    if (!this.#reserved.delete(waiter)) return;
    this.#findGroup(waiter.service, waiter.demand)?.queue.settle();
  }

  /** Removes a request that has ended, whether it waits or its turn has come. */
  leave(waiter: Waiter): void {
    this.settle(waiter);
    const group = this.#findGroup(waiter.service, waiter.demand);
    if (group?.queue.remove(waiter)) this.#count--;
    this.#updateTimer();
  }

  /** Records a request that was served, which shows the speed of the service. */
  recordServed(
    service: ServiceId,
    demand: RequestDemand,
    work: ServedWork,
  ): void {
    if (!this.isActive) return;
    this.#groupOf(service, demand).queue.recordServed(work, this.#now());
  }

  /** Wakes a waiting request after one of this router ended at its service. */
  recordEnded(service: ServiceId, demand: RequestDemand): void {
    const own = this.#findGroup(service, demand);
    const group = own && own.queue.length > 0
      ? own
      : this.#waitingGroups(service)[0];
    const first = group?.queue.peek();
    if (!group || !first) return;
    group.queue.recordEnded(this.#measure(service, first.demand));
    this.#wake();
  }

  /** Wakes waiting requests soon, after reports of other routers were read. */
  recordReports(): void {
    if (this.#count === 0) return;
    this.#wakeSoon ??= this.#options.timers.after(0, "waiting requests", () => {
      this.#wakeSoon = undefined;
      this.#wake();
    });
  }

  /** Asks all waiting requests, after a change, whether they are still valid. */
  recordConfiguration(version: number | undefined): void {
    if (version === this.#configurationVersion) return;
    this.#configurationVersion = version;
    for (const { queue } of this.#allGroups()) {
      for (const waiter of queue.list()) waiter.onConfigurationChange();
    }
    this.#forgetIdleGroups();
  }

  /** Returns what waits, by service. */
  describe(): WaitingSummary[] {
    return [...this.#groups].map(([service, groups]) =>
      this.#describe(service, [...groups.values()])
    );
  }

  #describe(service: ServiceId, groups: readonly _Group[]): WaitingSummary {
    const now = this.#now();
    const lengths = new Map<number, number>();
    let oldestMilliseconds = 0;
    let expectedWaitMilliseconds: number | undefined;
    for (const { queue, permittedRegions } of groups) {
      for (const [priority, count] of queue.lengths()) {
        lengths.set(priority, (lengths.get(priority) ?? 0) + count);
      }
      oldestMilliseconds = Math.max(
        oldestMilliseconds,
        queue.oldestMilliseconds(now),
      );
      const room = this.#measure(service, {
        ...NO_DEMAND,
        permittedRegions,
      });
      const expected = queue.expectedWaitMilliseconds(room, now);
      if (expected === undefined) continue;
      expectedWaitMilliseconds = Math.max(
        expectedWaitMilliseconds ?? 0,
        expected,
      );
    }
    return { service, lengths, oldestMilliseconds, expectedWaitMilliseconds };
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  #measure(service: ServiceId, demand: RequestDemand): ServiceRoom {
    const servers = this.#options.servers(service, demand.permittedRegions);
    this.#room.measure(servers, demand, this.#now());
    return this.#room;
  }

  #findGroup(
    service: ServiceId,
    { permittedRegions }: RequestDemand,
  ): _Group | undefined {
    return this.#groups.get(service)?.get(_regionsKey(permittedRegions));
  }

  #groupOf(
    service: ServiceId,
    { permittedRegions }: RequestDemand,
  ): _Group {
    const groups = this.#groups.get(service) ?? new Map<string, _Group>();
    this.#groups.set(service, groups);
    const key = _regionsKey(permittedRegions);
    let group = groups.get(key);
    if (!group) {
      const queue = createServiceQueue<Waiter>(MAXIMUM_WAITING_REQUESTS);
      group = { service, permittedRegions, queue };
      groups.set(key, group);
    }
    return group;
  }

  #allGroups(): _Group[] {
    return [...this.#groups.values()].flatMap((groups) => [...groups.values()]);
  }

  /** A later configuration may name other regions. */
  #forgetIdleGroups(): void {
    for (const groups of this.#groups.values()) {
      for (const [key, { queue, permittedRegions }] of groups) {
        const isIdle = queue.length === 0 && queue.pending === 0;
        if (permittedRegions && isIdle) groups.delete(key);
      }
    }
  }

  /** Returns the groups of a service in which requests wait, most urgent first. */
  #waitingGroups(service: ServiceId): _Group[] {
    const groups = this.#groups.get(service);
    if (!groups) return [];
    return [...groups.values()].filter(({ queue }) => queue.length > 0)
      .sort((left, right) => _compareHeads(left.queue, right.queue));
  }

  /** Requests of a service that are about to be sent. */
  #pendingOf(service: ServiceId): number {
    let pending = 0;
    for (const { queue } of this.#groups.get(service)?.values() ?? []) {
      pending += queue.pending;
    }
    return pending;
  }

  /** Sends what may be sent; the listeners of a request may end others, or fail. */
  #wake(): void {
    if (this.#isWaking) return;
    this.#isWaking = true;
    try {
      for (const service of this.#groups.keys()) {
        for (const group of this.#waitingGroups(service)) {
          this.#wakeGroup(group);
        }
      }
    } finally {
      this.#isWaking = false;
      this.#updateTimer();
    }
  }

  #wakeGroup({ service, permittedRegions, queue }: _Group): void {
    const now = this.#now();
    const age = this.#options.loadAgeMilliseconds(now);
    const head = queue.peek()?.demand ?? { ...NO_DEMAND, permittedRegions };
    queue.refresh(
      this.#measure(service, head),
      Math.max(WAKE_PERIOD_MILLISECONDS, age),
      now,
    );
    for (const { request, assessment } of queue.shed(this.#room, now)) {
      this.#count--;
      request.onRefused({ cause: _causeOf(assessment), assessment });
    }
    for (let next = queue.peek(); next; next = queue.peek()) {
      const room = this.#measure(service, next.demand);
      const others = this.#pendingOf(service) - queue.pending;
      const waiter = queue.takeNext(room, now, others);
      if (!waiter) return;
      this.#count--;
      this.#reserved.add(waiter);
      waiter.onTurn();
    }
  }

  /** Wakes periodically while something waits. */
  #updateTimer(): void {
    if (this.#count > 0) {
      this.#timer ??= this.#options.timers.every(
        WAKE_PERIOD_MILLISECONDS,
        "waiting requests",
        () => this.#wake(),
      );
      return;
    }
    this.#timer?.cancel();
    this.#timer = undefined;
  }
}

function _regionsKey(permitted: PermittedRegions): string {
  // JSON, so that names with any separator do not collide. No list permits all
  // regions, while an empty one permits none.
  return permitted ? JSON.stringify(permitted) : "";
}

/** Orders two queues by the priority and the arrival of their first requests. */
function _compareHeads(
  left: ServiceQueue<Waiter>,
  right: ServiceQueue<Waiter>,
): number {
  const [first, second] = [left.peek(), right.peek()];
  if (!first || !second) return 0;
  return first.priority - second.priority ||
    first.arrivedMilliseconds - second.arrivedMilliseconds;
}

function _causeOf({ decision }: WaitAssessment): WaitRefusalCause {
  return decision === "reject_late" ? "late" : "timeout";
}

/** Creates the waiting requests of a gateway; none waits. */
export function createWaitingRequests(
  options: WaitingRequestsOptions,
): WaitingRequests {
  return new WaitingRequests(options);
}
