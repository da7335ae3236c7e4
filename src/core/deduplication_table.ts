/**
 * Runs a non-idempotent request at most once. Only the router incarnation named
 * in a request id stores that id, and it records the id before any byte of the
 * request goes to a backend server. An id reported as "not run" is marked as
 * refused and never runs later.
 */
import type { IncarnationId, RequestId, WorkspaceId } from "./ids.ts";
import { formatRequestId, safeParseRequestId } from "./request_id.ts";

/** Length of the epochs that request ids name. */
export const EPOCH_MILLISECONDS = 30_000;
/** Epochs for which ids are stored: 10 minutes. */
export const RETAINED_EPOCHS = 20;
/** Tolerated clock skew: epochs by which an id may lie in the future. */
const MAXIMUM_SKEW_EPOCHS = 2;
const DEFAULT_MAXIMUM_ENTRIES = 50_000;
const DEFAULT_MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Decision about a request that arrived with an id. */
export type DeduplicationDecision<Response> =
  /** The id was new and is now recorded as running; run the request. */
  | { readonly kind: "run" }
  /** A request with this id is running; wait for its outcome. */
  | { readonly kind: "running" }
  /** The request ran. The response is undefined if it was dropped for space. */
  | { readonly kind: "finished"; readonly answer: Response | undefined }
  /** The id never ran and never will. */
  | { readonly kind: "refused" }
  /** The request was sent, but its outcome is unknown. */
  | { readonly kind: "unknown" }
  /** The id is outside the retained epochs, so its state is not known. */
  | { readonly kind: "expired" }
  /** The id belongs to another incarnation. */
  | { readonly kind: "foreign" }
  /** The id was used by another workspace. */
  | { readonly kind: "forbidden" };

/** How a running request ended. */
export type DeduplicationOutcome<Response> =
  | {
    readonly kind: "finished";
    readonly answer: Response;
    readonly answerBytes: number;
  }
  | { readonly kind: "refused" }
  | { readonly kind: "unknown" };

/** Options of a deduplication table. */
export interface DeduplicationTableOptions {
  readonly incarnation: IncarnationId;
  readonly maximumEntries?: number;
  /** Limit above which the oldest responses are dropped; ids stay finished. */
  readonly maximumResponseBytes?: number;
}

/**
 * The request ids of one router incarnation. Times are wall-clock milliseconds,
 * because epochs are compared across hosts. A clock jump can expire ids early
 * but never permits a second run: an id is evicted only once all ids of its
 * epoch are refused.
 */
export interface DeduplicationTable<Response> {
  /** Returns the epoch of ids created now. */
  epochAt(nowMilliseconds: number): number;
  /** Creates an id without recording it. */
  issue(randomPart: string, nowMilliseconds: number): RequestId;
  /** Decides whether a request may run, and records it as running if so. */
  begin(
    id: RequestId,
    workspace: WorkspaceId,
    nowMilliseconds: number,
  ): DeduplicationDecision<Response>;
  /** Records how a running request ended. */
  complete(id: RequestId, outcome: DeduplicationOutcome<Response>): void;
  /** Returns the state of an id. A new id is refused from now on. */
  query(
    id: RequestId,
    workspace: WorkspaceId,
    nowMilliseconds: number,
  ): DeduplicationDecision<Response>;
  /** Returns the number of ids per state and the bytes of stored responses. */
  counts(): Readonly<Record<string, number>>;
}

interface _Entry<Response> {
  state: "running" | "finished" | "refused" | "unknown";
  readonly epoch: number;
  readonly workspace: WorkspaceId;
  answer: Response | undefined;
  answerBytes: number;
}

/** Creates the deduplication table of one router incarnation. */
export function createDeduplicationTable<Response>(
  options: DeduplicationTableOptions,
): DeduplicationTable<Response> {
  const maximumEntries = options.maximumEntries ?? DEFAULT_MAXIMUM_ENTRIES;
  const maximumResponseBytes = options.maximumResponseBytes ??
    DEFAULT_MAXIMUM_RESPONSE_BYTES;
  const entries = new Map<RequestId, _Entry<Response>>();
  let answerBytes = 0;
  let oldestEpoch = 0;

  function epochAt(now: number): number {
    return Math.floor(now / EPOCH_MILLISECONDS);
  }

  function evictBefore(epoch: number): void {
    if (epoch <= oldestEpoch) return;
    oldestEpoch = epoch;
    for (const [id, entry] of entries) {
      if (entry.epoch >= epoch || entry.state === "running") continue;
      answerBytes -= entry.answerBytes;
      entries.delete(id);
    }
  }

  /**
   * Ids of evicted epochs are refused as expired, so eviction never permits a
   * second run. The current epoch is kept, or every new id would be refused.
   */
  function evictOldestEpoch(now: number): void {
    let oldest = Infinity;
    for (const entry of entries.values()) {
      if (entry.state !== "running") oldest = Math.min(oldest, entry.epoch);
    }
    if (oldest < epochAt(now)) evictBefore(oldest + 1);
  }

  function decisionOf(
    entry: _Entry<Response>,
  ): DeduplicationDecision<Response> {
    return entry.state === "finished"
      ? { kind: "finished", answer: entry.answer }
      : { kind: entry.state };
  }

  /** Returns the decision on an id, or undefined after recording a new id. */
  function findOrRecord(
    id: RequestId,
    workspace: WorkspaceId,
    now: number,
    initialState: "running" | "refused",
  ): DeduplicationDecision<Response> | undefined {
    evictBefore(epochAt(now) - RETAINED_EPOCHS);
    const parts = safeParseRequestId(id);
    if (parts.isErr() || parts.value.incarnation !== options.incarnation) {
      return { kind: "foreign" };
    }
    const existing = entries.get(id);
    if (existing) {
      return existing.workspace === workspace
        ? decisionOf(existing)
        : { kind: "forbidden" };
    }
    const { epoch } = parts.value;
    if (entries.size >= maximumEntries) evictOldestEpoch(now);
    if (epoch < oldestEpoch || epoch > epochAt(now) + MAXIMUM_SKEW_EPOCHS) {
      return { kind: "expired" };
    }
    entries.set(id, {
      state: initialState,
      epoch,
      workspace,
      answer: undefined,
      answerBytes: 0,
    });
    return undefined;
  }

  function dropOldestResponses(): void {
    for (const entry of entries.values()) {
      if (answerBytes <= maximumResponseBytes) return;
      answerBytes -= entry.answerBytes;
      entry.answer = undefined;
      entry.answerBytes = 0;
    }
  }

  return {
    epochAt,
    issue: (randomPart, now) =>
      formatRequestId(options.incarnation, epochAt(now), randomPart),
    begin: (id, workspace, now) =>
      findOrRecord(id, workspace, now, "running") ?? { kind: "run" },
    query: (id, workspace, now) =>
      findOrRecord(id, workspace, now, "refused") ?? { kind: "refused" },
    complete(id, outcome) {
      const entry = entries.get(id);
      if (!entry || entry.state !== "running") return;
      entry.state = outcome.kind;
      if (outcome.kind !== "finished") return;
      entry.answer = outcome.answer;
      entry.answerBytes = outcome.answerBytes;
      answerBytes += outcome.answerBytes;
      dropOldestResponses();
    },
    counts() {
      const counts: Record<string, number> = {
        running: 0,
        finished: 0,
        refused: 0,
        unknown: 0,
      };
      for (const entry of entries.values()) {
        counts[entry.state] = (counts[entry.state] ?? 0) + 1;
      }
      return { ...counts, answerBytes };
    },
  };
}
