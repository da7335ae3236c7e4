/**
 * A bounded queue of requests that wait for a backend server. Higher priorities
 * are served first, weighted fair queueing by tokens divides each priority
 * level among workspaces, and a full queue evicts the lowest priority first.
 */
import { PRIORITIES, type Priority } from "./fleet_schema.ts";
import type { WorkspaceId } from "./ids.ts";

/**
 * While several priorities wait, one removal in this many serves a lower one,
 * so that a steady stream of high-priority requests cannot starve it.
 */
export const REMOVALS_PER_LOWER_PRIORITY = 8;

/** A waiting request. */
export interface QueuedRequest {
  /** Id of the grant that the request waits for. */
  readonly grantId: string;
  readonly workspace: WorkspaceId;
  readonly priority: Priority;
  readonly weightTokens: number;
  /** By the clock of the queue's caller. */
  readonly deadlineMilliseconds: number;
}

/** The result of adding a request. */
export interface AddOutcome<T> {
  readonly added: boolean;
  /** A waiting request that was evicted to make room. */
  readonly evicted: T | undefined;
}

/**
 * A bounded queue of waiting requests without timers: the caller removes
 * expired ones with `takeExpired`.
 */
export interface AdmissionQueue<T extends QueuedRequest> {
  setLimit(limit: number): void;
  /** Sets a workspace's share in fair queueing; the default is 1. */
  setShare(workspace: WorkspaceId, share: number): void;
  add(request: T): AddOutcome<T>;
  /** Returns the request to serve next without removing it. */
  peek(): T | undefined;
  /** Removes the request that `peek` returns. */
  take(): T | undefined;
  remove(grantId: string): T | undefined;
  /** Removes and returns the requests whose deadline has passed. */
  takeExpired(nowMilliseconds: number): T[];
  removeAll(): T[];
  length(): number;
  /** Total weight of the requests waiting at this priority or a higher one. */
  tokensAhead(priority: Priority): number;
}

/** The waiting requests of one workspace within a priority level. */
interface _Flow<T> {
  readonly waiting: T[];
  /** Grows by the tokens served, divided by the workspace's share. */
  virtualTime: number;
}

interface _PriorityLevel<T> {
  readonly flows: Map<WorkspaceId, _Flow<T>>;
  /**
   * Virtual times of workspaces without waiting requests, while ahead of the
   * level's.
   */
  readonly idleVirtualTimes: Map<WorkspaceId, number>;
  /** Virtual time of the last served flow before its request was counted. */
  virtualTime: number;
  /** Sequence number of the last removal from this level. */
  lastRemoval: number;
  length: number;
  tokens: number;
}

function _createPriorityLevel<T>(): _PriorityLevel<T> {
  return {
    flows: new Map(),
    idleVirtualTimes: new Map(),
    virtualTime: 0,
    lastRemoval: 0,
    length: 0,
    tokens: 0,
  };
}

function _longestFlow<T>(
  level: _PriorityLevel<T>,
): [WorkspaceId, _Flow<T>] | undefined {
  let longest: [WorkspaceId, _Flow<T>] | undefined;
  for (const candidate of level.flows) {
    if (candidate[1].waiting.length > (longest?.[1].waiting.length ?? 0)) {
      longest = candidate;
    }
  }
  return longest;
}

/** Returns the flow to serve next, which has the lowest virtual time. */
function _nextFlow<T>(
  level: _PriorityLevel<T>,
): [WorkspaceId, _Flow<T>] | undefined {
  let next: [WorkspaceId, _Flow<T>] | undefined;
  for (const candidate of level.flows) {
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
  const levels = PRIORITIES.map(() => _createPriorityLevel<T>());
  const shares = new Map<WorkspaceId, number>();
  let removalsSinceLowerPriority = 0;
  let removals = 0;

  function length(): number {
    return levels.reduce((sum, level) => sum + level.length, 0);
  }

  function levelOf(priority: Priority): _PriorityLevel<T> {
    return levels[PRIORITIES.indexOf(priority)] as _PriorityLevel<T>;
  }

  function removeAt(
    level: _PriorityLevel<T>,
    workspace: WorkspaceId,
    index: number,
  ): T | undefined {
    const flow = level.flows.get(workspace);
    const [removed] = flow?.waiting.splice(index, 1) ?? [];
    if (!flow || !removed) return undefined;
    level.length--;
    level.tokens -= removed.weightTokens;
    if (flow.waiting.length === 0) {
      level.flows.delete(workspace);
      level.idleVirtualTimes.set(workspace, flow.virtualTime);
    }
    return removed;
  }

  /**
   * Makes room for a request by evicting the newest request of the workspace
   * with the most waiting requests in the lowest non-empty level. Evicts
   * nothing if that level has a higher priority than the request, or the same
   * one and no workspace has at least two requests more than the request's.
   */
  function evictFor(request: T): T | undefined {
    const lowest = levels.findLast((level) => level.length > 0);
    if (!lowest) return undefined;
    const requestLevel = levelOf(request.priority);
    if (levels.indexOf(lowest) < levels.indexOf(requestLevel)) return undefined;
    const longest = _longestFlow(lowest);
    if (!longest) return undefined;
    const [workspace, flow] = longest;
    const requestFlowLength =
      requestLevel.flows.get(request.workspace)?.waiting.length ?? 0;
    // If one flow is longer by one, eviction would only exchange their lengths.
    if (
      lowest === requestLevel && flow.waiting.length <= requestFlowLength + 1
    ) {
      return undefined;
    }
    return removeAt(lowest, workspace, flow.waiting.length - 1);
  }

  function add(request: T): AddOutcome<T> {
    const full = length() >= limit;
    const evicted = full ? evictFor(request) : undefined;
    if (full && !evicted) return { added: false, evicted };
    const level = levelOf(request.priority);
    const flow = level.flows.get(request.workspace);
    if (flow) flow.waiting.push(request);
    else {
      const idleTime = level.idleVirtualTimes.get(request.workspace) ??
        0;
      const virtualTime = Math.max(level.virtualTime, idleTime);
      level.idleVirtualTimes.delete(request.workspace);
      level.flows.set(request.workspace, { waiting: [request], virtualTime });
    }
    level.length++;
    level.tokens += request.weightTokens;
    return { added: true, evicted };
  }

  /**
   * Returns the highest non-empty level or, if this removal is for a lower
   * priority, the lower level that was served least recently.
   */
  function nextLevel(): _PriorityLevel<T> | undefined {
    const nonEmpty = levels.filter((level) => level.length > 0);
    const isLowerTurn =
      removalsSinceLowerPriority >= REMOVALS_PER_LOWER_PRIORITY - 1;
    if (!isLowerTurn || nonEmpty.length < 2) return nonEmpty[0];
    const lower = nonEmpty.slice(1);
    return lower.reduce((best, level) =>
      level.lastRemoval < best.lastRemoval ? level : best
    );
  }

  function peek(): T | undefined {
    const level = nextLevel();
    return level && _nextFlow(level)?.[1].waiting[0];
  }

  function take(): T | undefined {
    const level = nextLevel();
    const next = level && _nextFlow(level);
    if (!level || !next) return undefined;
    const [workspace, flow] = next;
    const isHighest =
      levels.find((candidate) => candidate.length > 0) === level;
    removalsSinceLowerPriority = isHighest ? removalsSinceLowerPriority + 1 : 0;
    level.lastRemoval = ++removals;
    level.virtualTime = Math.max(level.virtualTime, flow.virtualTime);
    const weight = flow.waiting[0]?.weightTokens ?? 0;
    flow.virtualTime += weight / (shares.get(workspace) ?? 1);
    const taken = removeAt(level, workspace, 0);
    for (const [id, time] of level.idleVirtualTimes) {
      if (time <= level.virtualTime) level.idleVirtualTimes.delete(id);
    }
    return taken;
  }

  function removeWhere(matches: (request: T) => boolean): T[] {
    const removed: T[] = [];
    for (const level of levels) {
      for (const [workspace, flow] of [...level.flows]) {
        for (let index = flow.waiting.length - 1; index >= 0; index--) {
          if (!matches(flow.waiting[index] as T)) continue;
          const request = removeAt(level, workspace, index);
          if (request) removed.push(request);
        }
      }
    }
    return removed;
  }

  function tokensAhead(priority: Priority): number {
    const last = PRIORITIES.indexOf(priority);
    return levels.slice(0, last + 1)
      .reduce((sum, level) => sum + level.tokens, 0);
  }

  return {
    setLimit: (next) => void (limit = next),
    setShare: (workspace, share) => void shares.set(workspace, share),
    add,
    peek,
    take,
    remove: (grantId) =>
      removeWhere((request) => request.grantId === grantId)[0],
    takeExpired: (now) =>
      removeWhere((request) => request.deadlineMilliseconds <= now),
    removeAll: () => removeWhere(() => true),
    length,
    tokensAhead,
  };
}
