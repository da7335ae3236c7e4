/**
 * A bounded queue of requests that wait for a backend server. Higher priorities
 * are served first, weighted fair queueing by tokens divides each priority
 * level among workspaces, and a full queue evicts the lowest priority first.
 * Requests without a workspace share one part of each level.
 */
import type { WorkspaceId } from "../ids.ts";
import { createPriorityLevel, type PriorityLevel } from "./priority_level.ts";

/**
 * While several priorities wait, one removal in this many serves a lower one,
 * so that a steady stream of high-priority requests cannot starve it.
 */
export const REMOVALS_PER_LOWER_PRIORITY = 8;

/** Levels that are kept; beyond this number, empty ones are removed. */
const MAXIMUM_LEVELS = 32;

/** A waiting request. */
export interface QueuedRequest {
  /** Undefined for callers without a key. */
  readonly workspace: WorkspaceId | undefined;
  /** 0 is served first. */
  readonly priority: number;
  /** Cost of the request, in the unit by which workspaces are compared. */
  readonly weightTokens: number;
  /** By the clock of the queue's caller. */
  readonly deadlineMilliseconds: number;
}

/** A waiting request and the cost that is served before it. */
export interface QueuePosition<T> {
  readonly request: T;
  readonly tokensAhead: number;
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
  /** Removes a waiting request; returns whether it was waiting. */
  remove(request: T): boolean;
  removeWhere(matches: (request: T) => boolean): T[];
  /** Removes and returns the requests whose deadline has passed. */
  takeExpired(nowMilliseconds: number): T[];
  removeAll(): T[];
  length(): number;
  /** Number of waiting requests by priority, without empty levels. */
  lengths(): ReadonlyMap<number, number>;
  /** Total weight of the requests waiting at this priority or a higher one. */
  tokensAhead(priority: number): number;
  /** Weight that would be served before a further request of a workspace. */
  tokensBefore(workspace: WorkspaceId | undefined, priority: number): number;
  /**
   * Returns the waiting requests by priority and, within one, in the order of
   * fair queueing, which is that of service unless further requests arrive.
   */
  positions(): QueuePosition<T>[];
}

/** Options of a queue. */
export interface AdmissionQueueOptions {
  /** Requests by which a workspace may be ahead after using less; 0 by default. */
  readonly burstRequests?: number;
}

/** Creates an empty queue that holds at most `initialLimit` requests. */
export function createAdmissionQueue<T extends QueuedRequest>(
  initialLimit: number,
  { burstRequests = 0 }: AdmissionQueueOptions = {},
): AdmissionQueue<T> {
  let limit = initialLimit;
  /** Ordered by priority. */
  let levels: PriorityLevel<T>[] = [];
  const shares = new Map<WorkspaceId | undefined, number>();
  let removalsSinceLowerPriority = 0;
  let removals = 0;
  let total = 0;

  function shareOf(workspace: WorkspaceId | undefined): number {
    return shares.get(workspace) ?? 1;
  }

  function findLevel(priority: number): PriorityLevel<T> | undefined {
    return levels.find((level) => level.priority === priority);
  }

  function levelOf(priority: number): PriorityLevel<T> {
    const existing = findLevel(priority);
    if (existing) return existing;
    const level = createPriorityLevel<T>(priority, {
      shareOf,
      burstRequests,
    });
    if (levels.length >= MAXIMUM_LEVELS) {
      levels = levels.filter((other) => other.length > 0);
    }
    levels.push(level);
    levels.sort((left, right) => left.priority - right.priority);
    return level;
  }

  /**
   * Makes room for a request by evicting the newest request of the workspace
   * with the most waiting requests in the lowest non-empty level. Evicts
   * nothing if that level has a higher priority than the request, or the same
   * one and no workspace has at least two requests more than the request's.
   */
  function evictFor(request: T): T | undefined {
    const lowest = levels.findLast((level) => level.length > 0);
    if (!lowest || lowest.priority < request.priority) return undefined;
    const longest = lowest.longestFlow();
    if (!longest) return undefined;
    // If one flow is longer by one, eviction would only exchange their lengths.
    const isSameLevel = lowest.priority === request.priority;
    if (
      isSameLevel && longest.length <= lowest.flowLength(request.workspace) + 1
    ) return undefined;
    total--;
    return lowest.removeLast(longest.workspace);
  }

  function add(request: T): AddOutcome<T> {
    const full = total >= limit;
    const evicted = full ? evictFor(request) : undefined;
    if (full && !evicted) return { added: false, evicted };
    levelOf(request.priority).add(request);
    total++;
    return { added: true, evicted };
  }

  /**
   * Returns the highest non-empty level or, if this removal is for a lower
   * priority, the lower level that was served least recently.
   */
  function nextLevel(): PriorityLevel<T> | undefined {
    const nonEmpty = levels.filter((level) => level.length > 0);
    const isLowerTurn =
      removalsSinceLowerPriority >= REMOVALS_PER_LOWER_PRIORITY - 1;
    if (!isLowerTurn || nonEmpty.length < 2) return nonEmpty[0];
    const lower = nonEmpty.slice(1);
    return lower.reduce((best, level) =>
      level.lastRemoval < best.lastRemoval ? level : best
    );
  }

  function take(): T | undefined {
    const level = nextLevel();
    if (!level) return undefined;
    const isHighest =
      levels.find((candidate) => candidate.length > 0) === level;
    removalsSinceLowerPriority = isHighest ? removalsSinceLowerPriority + 1 : 0;
    level.lastRemoval = ++removals;
    total--;
    return level.take();
  }

  function remove(request: T): boolean {
    const isRemoved = findLevel(request.priority)?.remove(request) ?? false;
    if (isRemoved) total--;
    return isRemoved;
  }

  function removeWhere(matches: (request: T) => boolean): T[] {
    const removed = levels.flatMap((level) => level.removeWhere(matches));
    total -= removed.length;
    return removed;
  }

  function tokensAhead(priority: number): number {
    let sum = 0;
    for (const level of levels) {
      if (level.priority <= priority) sum += level.tokens;
    }
    return sum;
  }

  function tokensBefore(
    workspace: WorkspaceId | undefined,
    priority: number,
  ): number {
    const level = findLevel(priority);
    if (!level) return tokensAhead(priority);
    return tokensAhead(priority) - level.tokens +
      level.tokensBefore(workspace);
  }

  function positions(): QueuePosition<T>[] {
    let ahead = 0;
    return levels.flatMap((level) =>
      level.inOrder().map((request) => {
        const position = { request, tokensAhead: ahead };
        ahead += request.weightTokens;
        return position;
      })
    );
  }

  return {
    setLimit: (next) => void (limit = next),
    setShare: (workspace, share) => void shares.set(workspace, share),
    add,
    peek: () => nextLevel()?.peek(),
    take,
    remove,
    removeWhere,
    takeExpired: (now) =>
      removeWhere((request) => request.deadlineMilliseconds <= now),
    removeAll: () => removeWhere(() => true),
    length: () => total,
    lengths: () =>
      new Map(
        levels.filter((level) => level.length > 0)
          .map((level) => [level.priority, level.length]),
      ),
    tokensAhead,
    tokensBefore,
    positions,
  };
}
