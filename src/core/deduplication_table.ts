/**
 * The table that makes a non-idempotent request run at most once. Only the
 * incarnation named in a request id keeps that id here, and an id is recorded
 * before any byte of the request goes to a backend server. An id that was told
 * "not run" is sealed and never runs later.
 */
import type { IncarnationId, RequestId, WorkspaceId } from "./ids.ts";
import { formatRequestId, safeParseRequestId } from "./request_id.ts";

/** Length of an epoch, in milliseconds. */
export const EPOCH_MILLISECONDS = 30_000;
/** Epochs for which ids are remembered: 10 minutes. */
export const RETAINED_EPOCHS = 20;
/** How far the clock of the router that made an id may be ahead, in epochs. */
const MAXIMUM_LEAD_EPOCHS = 2;
const DEFAULT_MAXIMUM_ENTRIES = 50_000;
const DEFAULT_MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/** Decision about a request that arrived with an id. */
export type DeduplicationDecision<Answer> =
  /** The id is new and now recorded as running; the caller of `begin` must run it. */
  | { readonly kind: "run" }
  /** A copy is running; wait for its outcome. */
  | { readonly kind: "running" }
  /** The request ran; the answer is missing if it was too large to keep. */
  | { readonly kind: "finished"; readonly answer: Answer | undefined }
  /** The id never ran and never will. */
  | { readonly kind: "refused" }
  /** The request was sent and its outcome is not known. */
  | { readonly kind: "unknown" }
  /** The id is older than the retention, so nothing can be said about it. */
  | { readonly kind: "expired" }
  /** The id belongs to another incarnation. */
  | { readonly kind: "foreign" }
  /** The id was used by another workspace. */
  | { readonly kind: "forbidden" };

/** How a running request ended. */
export type DeduplicationOutcome<Answer> =
  | {
    readonly kind: "finished";
    readonly answer: Answer;
    readonly answerBytes: number;
  }
  | { readonly kind: "refused" }
  | { readonly kind: "unknown" };

/** Options of a ledger. */
export interface DeduplicationTableOptions {
  readonly incarnation: IncarnationId;
  readonly maximumEntries?: number;
  /** Kept answers beyond this are dropped; the fact that the request ran stays. */
  readonly maximumAnswerBytes?: number;
}

/**
 * The at-most-once table of one incarnation. Times are wall milliseconds, as ids
 * carry epochs between hosts. A clock that jumps can expire ids early, but never
 * permits a second run: an id is forgotten only once its epoch is refused.
 */
export interface DeduplicationTable<Answer> {
  /** Returns the epoch for ids made now. */
  epochAt(nowMilliseconds: number): number;
  /** Makes a fresh id. */
  issue(randomPart: string, nowMilliseconds: number): RequestId;
  /** Decides whether a request may run, and records it as running if so. */
  begin(
    id: RequestId,
    workspace: WorkspaceId,
    nowMilliseconds: number,
  ): DeduplicationDecision<Answer>;
  /** Records how a running request ended. */
  settle(id: RequestId, outcome: DeduplicationOutcome<Answer>): void;
  /** Returns the state of an id. An id that was never seen is sealed. */
  query(
    id: RequestId,
    workspace: WorkspaceId,
    nowMilliseconds: number,
  ): DeduplicationDecision<Answer>;
  /** Returns the number of ids per state. */
  counts(): Readonly<Record<string, number>>;
}

interface _Entry<Answer> {
  state: "running" | "finished" | "refused" | "unknown";
  readonly epoch: number;
  readonly workspace: WorkspaceId;
  answer: Answer | undefined;
  answerBytes: number;
}

/** Creates the ledger of one incarnation. */
export function createDeduplicationTable<Answer>(
  options: DeduplicationTableOptions,
): DeduplicationTable<Answer> {
  const maximumEntries = options.maximumEntries ?? DEFAULT_MAXIMUM_ENTRIES;
  const maximumAnswerBytes = options.maximumAnswerBytes ??
    DEFAULT_MAXIMUM_ANSWER_BYTES;
  const entries = new Map<RequestId, _Entry<Answer>>();
  let answerBytes = 0;
  let oldestEpoch = 0;

  function epochAt(now: number): number {
    return Math.floor(now / EPOCH_MILLISECONDS);
  }

  function forgetBefore(epoch: number): void {
    if (epoch <= oldestEpoch) return;
    oldestEpoch = epoch;
    for (const [id, entry] of entries) {
      if (entry.epoch >= epoch || entry.state === "running") continue;
      answerBytes -= entry.answerBytes;
      entries.delete(id);
    }
  }

  /**
   * Ids of forgotten epochs are refused as expired, so forgetting never permits
   * a second run. The present epoch stays, or every new id would be refused.
   */
  function makeRoom(now: number): void {
    let oldest = Infinity;
    for (const entry of entries.values()) {
      if (entry.state !== "running") oldest = Math.min(oldest, entry.epoch);
    }
    if (oldest < epochAt(now)) forgetBefore(oldest + 1);
  }

  function decisionOf(entry: _Entry<Answer>): DeduplicationDecision<Answer> {
    return entry.state === "finished"
      ? { kind: "finished", answer: entry.answer }
      : { kind: entry.state };
  }

  function lookUp(
    id: RequestId,
    workspace: WorkspaceId,
    now: number,
    unseen: "running" | "refused",
  ): DeduplicationDecision<Answer> | undefined {
    forgetBefore(epochAt(now) - RETAINED_EPOCHS);
    const parts = safeParseRequestId(id);
    if (parts.isErr() || parts.value.incarnation !== options.incarnation) {
      return { kind: "foreign" };
    }
    const known = entries.get(id);
    if (known) {
      return known.workspace === workspace
        ? decisionOf(known)
        : { kind: "forbidden" };
    }
    const { epoch } = parts.value;
    if (entries.size >= maximumEntries) makeRoom(now);
    if (epoch < oldestEpoch || epoch > epochAt(now) + MAXIMUM_LEAD_EPOCHS) {
      return { kind: "expired" };
    }
    entries.set(id, {
      state: unseen,
      epoch,
      workspace,
      answer: undefined,
      answerBytes: 0,
    });
    return undefined;
  }

  function dropOldestAnswers(): void {
    for (const entry of entries.values()) {
      if (answerBytes <= maximumAnswerBytes) return;
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
      lookUp(id, workspace, now, "running") ?? { kind: "run" },
    query: (id, workspace, now) =>
      lookUp(id, workspace, now, "refused") ?? { kind: "refused" },
    settle(id, outcome) {
      const entry = entries.get(id);
      if (!entry || entry.state !== "running") return;
      entry.state = outcome.kind;
      if (outcome.kind !== "finished") return;
      entry.answer = outcome.answer;
      entry.answerBytes = outcome.answerBytes;
      answerBytes += outcome.answerBytes;
      dropOldestAnswers();
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
