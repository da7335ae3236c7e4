/**
 * The waiting requests of one priority. Weighted fair queueing divides the
 * service among workspaces: the workspace that has been served the least, in
 * proportion to its share, is next.
 */
import type { WorkspaceId } from "../ids.ts";

type _Workspace = WorkspaceId | undefined;

/** What a level reads of a waiting request. */
export interface LevelRequest {
  readonly workspace: WorkspaceId | undefined;
  readonly weightTokens: number;
}

/** The waiting requests of one workspace within a priority level. */
interface _Flow<T> {
  readonly waiting: T[];
  tokens: number;
  /** Grows by the tokens served, divided by the workspace's share. */
  virtualTime: number;
}

/** The length of one workspace's part of a level. */
export interface FlowLength {
  readonly workspace: WorkspaceId | undefined;
  readonly length: number;
}

/** How workspaces share a level. */
export interface LevelSharing {
  readonly shareOf: (workspace: WorkspaceId | undefined) => number;
  /**
   * Requests of average weight that a workspace may be ahead of its share after
   * it used less. Without them, each of its small bursts waits for the backlogs
   * of others.
   */
  readonly burstRequests: number;
}

/** Part of a new weight in the average. */
const NEW_WEIGHT_RATIO = 0.1;

/** One priority level; create it with {@link createPriorityLevel}. */
export class PriorityLevel<T extends LevelRequest> {
  readonly priority: number;
  readonly #sharing: LevelSharing;
  readonly #flows = new Map<_Workspace, _Flow<T>>();
  /**
   * Virtual times of workspaces without waiting requests, while later than the
   * earliest start of a new one.
   */
  readonly #idleVirtualTimes = new Map<_Workspace, number>();
  /** Virtual time of the last served flow before its request was counted. */
  #virtualTime = 0;
  #length = 0;
  #tokens = 0;
  #meanWeight = 0;
  /** Sequence number of the last removal from this level. */
  lastRemoval = 0;

  constructor(priority: number, sharing: LevelSharing) {
    this.priority = priority;
    this.#sharing = sharing;
  }

  get length(): number {
    return this.#length;
  }

  /** Total weight of the waiting requests. */
  get tokens(): number {
    return this.#tokens;
  }

  flowLength(workspace: _Workspace): number {
    return this.#flows.get(workspace)?.waiting.length ?? 0;
  }

  /** Returns the workspace with the most waiting requests. */
  longestFlow(): FlowLength | undefined {
    let longest: FlowLength | undefined;
    for (const [workspace, { waiting }] of this.#flows) {
      if (waiting.length <= (longest?.length ?? 0)) continue;
      longest = { workspace, length: waiting.length };
    }
    return longest;
  }

  add(request: T): void {
    const flow = this.#flows.get(request.workspace) ??
      this.#createFlow(request.workspace);
    flow.waiting.push(request);
    flow.tokens += request.weightTokens;
    this.#length++;
    this.#tokens += request.weightTokens;
  }

  /** Returns the request to serve next. */
  peek(): T | undefined {
    const workspace = this.#nextWorkspace();
    return this.#flows.get(workspace)?.waiting[0];
  }

  /** Removes the request that `peek` returns and counts it as served. */
  take(): T | undefined {
    const workspace = this.#nextWorkspace();
    const flow = this.#flows.get(workspace);
    if (!flow) return undefined;
    this.#virtualTime = Math.max(this.#virtualTime, flow.virtualTime);
    const weight = flow.waiting[0]?.weightTokens ?? 0;
    this.#meanWeight += NEW_WEIGHT_RATIO * (weight - this.#meanWeight);
    flow.virtualTime += weight / this.#shareOf(workspace);
    const taken = this.#removeAt(workspace, flow, 0);
    for (const [idle, time] of this.#idleVirtualTimes) {
      if (time <= this.#earliestStart()) this.#idleVirtualTimes.delete(idle);
    }
    return taken;
  }

  /** Removes the newest request of a workspace. */
  removeLast(workspace: _Workspace): T | undefined {
    const flow = this.#flows.get(workspace);
    return flow && this.#removeAt(workspace, flow, flow.waiting.length - 1);
  }

  remove(request: T): boolean {
    const flow = this.#flows.get(request.workspace);
    const index = flow?.waiting.indexOf(request) ?? -1;
    if (!flow || index < 0) return false;
    this.#removeAt(request.workspace, flow, index);
    return true;
  }

  removeWhere(matches: (request: T) => boolean): T[] {
    const removed: T[] = [];
    for (const [workspace, flow] of [...this.#flows]) {
      for (const request of flow.waiting.filter(matches)) {
        this.#removeAt(workspace, flow, flow.waiting.indexOf(request));
        removed.push(request);
      }
    }
    return removed;
  }

  /** Weight that would be served before a further request of a workspace. */
  tokensBefore(workspace: _Workspace): number {
    const own = this.#flows.get(workspace);
    const start = (own?.virtualTime ?? this.#startOf(workspace)) +
      (own?.tokens ?? 0) / this.#shareOf(workspace);
    let tokens = own?.tokens ?? 0;
    for (const [other, flow] of this.#flows) {
      if (flow === own) continue;
      if (flow.virtualTime > start) continue;
      const served = (start - flow.virtualTime) * this.#shareOf(other) +
        (flow.waiting[0]?.weightTokens ?? 0);
      tokens += Math.min(flow.tokens, served);
    }
    return tokens;
  }

  /** Returns the waiting requests in the order of their virtual start times. */
  inOrder(): T[] {
    const starts: { request: T; start: number }[] = [];
    for (const [workspace, flow] of this.#flows) {
      let start = flow.virtualTime;
      for (const request of flow.waiting) {
        starts.push({ request, start });
        start += request.weightTokens / this.#shareOf(workspace);
      }
    }
    return starts.sort((left, right) => left.start - right.start)
      .map(({ request }) => request);
  }

  #shareOf(workspace: _Workspace): number {
    return this.#sharing.shareOf(workspace);
  }

  /** The earliest virtual time at which a workspace without waiting requests starts. */
  #earliestStart(): number {
    return this.#virtualTime - this.#sharing.burstRequests * this.#meanWeight;
  }

  #startOf(workspace: _Workspace): number {
    return Math.max(
      this.#earliestStart(),
      this.#idleVirtualTimes.get(workspace) ?? Number.NEGATIVE_INFINITY,
    );
  }

  #createFlow(workspace: _Workspace): _Flow<T> {
    const virtualTime = this.#startOf(workspace);
    const flow: _Flow<T> = { waiting: [], tokens: 0, virtualTime };
    this.#idleVirtualTimes.delete(workspace);
    this.#flows.set(workspace, flow);
    return flow;
  }

  /** Returns the workspace with the lowest virtual time. */
  #nextWorkspace(): _Workspace {
    let next: _Workspace;
    let least = Number.POSITIVE_INFINITY;
    for (const [workspace, { virtualTime }] of this.#flows) {
      if (virtualTime < least) [next, least] = [workspace, virtualTime];
    }
    return next;
  }

  #removeAt(
    workspace: _Workspace,
    flow: _Flow<T>,
    index: number,
  ): T | undefined {
    const [removed] = flow.waiting.splice(index, 1);
    if (!removed) return undefined;
    this.#length--;
    this.#tokens -= removed.weightTokens;
    flow.tokens -= removed.weightTokens;
    if (flow.waiting.length === 0) {
      this.#flows.delete(workspace);
      this.#idleVirtualTimes.set(workspace, flow.virtualTime);
    }
    // Sums of fractions leave a remainder.
    if (this.#length === 0) this.#tokens = 0;
    return removed;
  }
}

/** Creates an empty level of a priority; 0 is the highest. */
export function createPriorityLevel<T extends LevelRequest>(
  priority: number,
  sharing: LevelSharing,
): PriorityLevel<T> {
  return new PriorityLevel(priority, sharing);
}
