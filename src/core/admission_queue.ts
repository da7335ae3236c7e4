/**
 * The bounded queue of requests that wait for a backend server. Higher
 * priorities go first, workspaces within a priority share by weighted tokens,
 * and the lowest priority is shed first when the queue is full.
 */
import { PRIORITIES, type Priority } from "./fleet_schema.ts";
import type { WorkspaceId } from "./ids.ts";

/**
 * While several priorities wait, one removal in this many goes to a lower one,
 * so that a steady stream of high priority cannot starve it.
 */
export const REMOVALS_PER_LOWER_TURN = 8;

/** A request that waits. */
export interface QueuedRequest {
  readonly grantId: string;
  readonly workspace: WorkspaceId;
  readonly priority: Priority;
  readonly weightTokens: number;
  readonly deadlineMilliseconds: number;
}

/** What happened when a request was added. */
export interface AddOutcome<T> {
  readonly added: boolean;
  /** A waiting request that was dropped to make room. */
  readonly shed: T | undefined;
}

/** A bounded queue of waiting requests. */
export interface AdmissionQueue<T extends QueuedRequest> {
  setLimit(limit: number): void;
  /** Sets a workspace's share; the default is 1. */
  setShare(workspace: WorkspaceId, share: number): void;
  add(request: T): AddOutcome<T>;
  /** The request that is served next. */
  peek(): T | undefined;
  /** Removes the request that `peek` returns. */
  take(): T | undefined;
  remove(grantId: string): T | undefined;
  /** Removes and returns the requests whose deadline has passed. */
  expire(nowMilliseconds: number): T[];
  removeAll(): T[];
  length(): number;
  /** Tokens that would be served before a new request of this priority. */
  tokensAhead(priority: Priority): number;
}

interface _Lane<T> {
  readonly waiting: T[];
  /** Tokens served, divided by the workspace's share. */
  virtualTime: number;
}

interface _Class<T> {
  readonly lanes: Map<WorkspaceId, _Lane<T>>;
  /** Virtual times of workspaces with nothing waiting but recent service. */
  readonly idleTimes: Map<WorkspaceId, number>;
  /** Virtual time at which the last served request started. */
  virtualTime: number;
  /** Number of the removal that last served this class. */
  lastRemoval: number;
  length: number;
  tokens: number;
}

function _createClass<T>(): _Class<T> {
  return {
    lanes: new Map(),
    idleTimes: new Map(),
    virtualTime: 0,
    lastRemoval: 0,
    length: 0,
    tokens: 0,
  };
}

function _longestLane<T>(
  entry: _Class<T>,
): [WorkspaceId, _Lane<T>] | undefined {
  let longest: [WorkspaceId, _Lane<T>] | undefined;
  for (const candidate of entry.lanes) {
    if (candidate[1].waiting.length > (longest?.[1].waiting.length ?? 0)) {
      longest = candidate;
    }
  }
  return longest;
}

/** The workspace with the least service so far, by weighted tokens. */
function _nextLane<T>(entry: _Class<T>): [WorkspaceId, _Lane<T>] | undefined {
  let next: [WorkspaceId, _Lane<T>] | undefined;
  for (const candidate of entry.lanes) {
    if (!next || candidate[1].virtualTime < next[1].virtualTime) {
      next = candidate;
    }
  }
  return next;
}

/** Creates an empty queue that holds at most `initialLimit` requests. */
export function createAdmissionQueue<T extends QueuedRequest>(
  initialLimit: number,
): AdmissionQueue<T> {
  let limit = initialLimit;
  const classes = PRIORITIES.map(() => _createClass<T>());
  const shares = new Map<WorkspaceId, number>();
  let removalsSinceLowerTurn = 0;
  let removals = 0;

  function length(): number {
    return classes.reduce((sum, entry) => sum + entry.length, 0);
  }

  function classOf(priority: Priority): _Class<T> {
    return classes[PRIORITIES.indexOf(priority)] as _Class<T>;
  }

  function detach(
    entry: _Class<T>,
    workspace: WorkspaceId,
    index: number,
  ): T | undefined {
    const lane = entry.lanes.get(workspace);
    const [removed] = lane?.waiting.splice(index, 1) ?? [];
    if (!lane || !removed) return undefined;
    entry.length--;
    entry.tokens -= removed.weightTokens;
    if (lane.waiting.length === 0) {
      entry.lanes.delete(workspace);
      entry.idleTimes.set(workspace, lane.virtualTime);
    }
    return removed;
  }

  /** Drops the newest request of the longest lane of the lowest class. */
  function shedFor(request: T): T | undefined {
    const lowest = classes.findLast((entry) => entry.length > 0);
    if (!lowest) return undefined;
    const own = classOf(request.priority);
    if (classes.indexOf(lowest) < classes.indexOf(own)) return undefined;
    const longest = _longestLane(lowest);
    if (!longest) return undefined;
    const [workspace, lane] = longest;
    const ownLength = own.lanes.get(request.workspace)?.waiting.length ?? 0;
    if (lowest === own && lane.waiting.length <= ownLength + 1) {
      return undefined;
    }
    return detach(lowest, workspace, lane.waiting.length - 1);
  }

  function add(request: T): AddOutcome<T> {
    const full = length() >= limit;
    const shed = full ? shedFor(request) : undefined;
    if (full && !shed) return { added: false, shed };
    const entry = classOf(request.priority);
    const lane = entry.lanes.get(request.workspace);
    if (lane) lane.waiting.push(request);
    else {
      const idleTime = entry.idleTimes.get(request.workspace) ?? 0;
      const virtualTime = Math.max(entry.virtualTime, idleTime);
      entry.idleTimes.delete(request.workspace);
      entry.lanes.set(request.workspace, { waiting: [request], virtualTime });
    }
    entry.length++;
    entry.tokens += request.weightTokens;
    return { added: true, shed };
  }

  /** The class whose turn it is: the highest, or now and then the next lower. */
  function nextClass(): _Class<T> | undefined {
    const waiting = classes.filter((entry) => entry.length > 0);
    const lowerTurn = removalsSinceLowerTurn >= REMOVALS_PER_LOWER_TURN - 1;
    if (!lowerTurn || waiting.length < 2) return waiting[0];
    const lower = waiting.slice(1);
    return lower.reduce((best, entry) =>
      entry.lastRemoval < best.lastRemoval ? entry : best
    );
  }

  function peek(): T | undefined {
    const entry = nextClass();
    return entry && _nextLane(entry)?.[1].waiting[0];
  }

  function take(): T | undefined {
    const entry = nextClass();
    const next = entry && _nextLane(entry);
    if (!entry || !next) return undefined;
    const [workspace, lane] = next;
    const isHighest = classes.find((other) => other.length > 0) === entry;
    removalsSinceLowerTurn = isHighest ? removalsSinceLowerTurn + 1 : 0;
    entry.lastRemoval = ++removals;
    entry.virtualTime = Math.max(entry.virtualTime, lane.virtualTime);
    const weight = lane.waiting[0]?.weightTokens ?? 0;
    lane.virtualTime += weight / (shares.get(workspace) ?? 1);
    const taken = detach(entry, workspace, 0);
    for (const [idle, idleTime] of entry.idleTimes) {
      if (idleTime <= entry.virtualTime) entry.idleTimes.delete(idle);
    }
    return taken;
  }

  function removeWhere(matches: (request: T) => boolean): T[] {
    const removed: T[] = [];
    for (const entry of classes) {
      for (const [workspace, lane] of [...entry.lanes]) {
        for (let index = lane.waiting.length - 1; index >= 0; index--) {
          if (!matches(lane.waiting[index] as T)) continue;
          const request = detach(entry, workspace, index);
          if (request) removed.push(request);
        }
      }
    }
    return removed;
  }

  function tokensAhead(priority: Priority): number {
    const last = PRIORITIES.indexOf(priority);
    return classes.slice(0, last + 1)
      .reduce((sum, entry) => sum + entry.tokens, 0);
  }

  return {
    setLimit: (next) => void (limit = next),
    setShare: (workspace, share) => void shares.set(workspace, share),
    add,
    peek,
    take,
    remove: (grantId) =>
      removeWhere((request) => request.grantId === grantId)[0],
    expire: (now) =>
      removeWhere((request) => request.deadlineMilliseconds <= now),
    removeAll: () => removeWhere(() => true),
    length,
    tokensAhead,
  };
}
