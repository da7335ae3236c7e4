/** Pure parts of an apply: builds the next head and resolves lost replies. */
import {
  canonicalJson,
  createHead,
  MAXIMUM_RECENT_APPLIES,
  type StoredHead,
} from "./configuration_head.ts";
import type { Drains } from "./fleet_schema.ts";

/** Input for the next head. */
export interface HeadChange {
  readonly applyId: string;
  readonly chunks: readonly string[];
  /** Wall time, stored with the superseded chunks to time their removal. */
  readonly nowMilliseconds: number;
  /** Superseded chunks that no longer exist in the store. */
  readonly removed: readonly string[];
  readonly drains?: Drains;
  readonly generation?: number;
}

/** The next head and the base that its write is conditional on. */
export interface HeadPlan {
  readonly head: StoredHead;
  readonly baseGeneration: number;
  readonly baseVersion: number;
  readonly baseDigest: string | undefined;
  /** False if the chunks and drains equal those of the base. */
  readonly changed: boolean;
}

interface _VersionedHead {
  readonly head: StoredHead;
  readonly version: number;
}

const NO_DRAINS: Drains = { hosts: [], backendServers: [] };

function _listSuperseded(
  base: StoredHead,
  change: HeadChange,
): StoredHead["superseded"] {
  const used = new Set(change.chunks);
  const listed = new Map(base.superseded.map((entry) => [entry.digest, entry]));
  for (const digest of base.chunks) {
    listed.set(digest, { digest, atMilliseconds: change.nowMilliseconds });
  }
  for (const digest of [...used, ...change.removed]) listed.delete(digest);
  return [...listed.values()];
}

/** Builds the head that follows a base. */
export function planHead(
  base: _VersionedHead | undefined,
  change: HeadChange,
): HeadPlan {
  const baseGeneration = base?.head.generation ?? 0;
  const drains = change.drains ?? base?.head.drains ?? NO_DRAINS;
  const fields = createHead({
    generation: change.generation ?? baseGeneration + 1,
    applyId: change.applyId,
    chunks: change.chunks,
    drains,
  });
  const { generation, applyId } = fields;
  const recent = [{ generation, applyId }, ...base?.head.recent ?? []];
  const head: StoredHead = {
    ...fields,
    chunks: [...fields.chunks],
    drains: {
      hosts: [...drains.hosts],
      backendServers: [...drains.backendServers],
    },
    recent: recent.slice(0, MAXIMUM_RECENT_APPLIES),
    superseded: base ? _listSuperseded(base.head, change) : [],
  };
  const changed = !base ||
    canonicalJson([base.head.chunks, base.head.drains]) !==
      canonicalJson([head.chunks, head.drains]);
  return {
    head,
    baseGeneration,
    baseVersion: base?.version ?? 0,
    baseDigest: base?.head.digest,
    changed,
  };
}

/** What a read of the head shows about the outcome of a plan's write. */
export type ReadBackResult =
  | { readonly kind: "won" }
  | {
    readonly kind: "lost";
    readonly winner: { readonly generation: number; readonly applyId: string };
  }
  /** The head is the plan's base: the write may still succeed. */
  | { readonly kind: "unchanged" }
  /** Older than the base: the read is stale, or the store was rolled back. */
  | { readonly kind: "older" }
  /** Another head has the base's version: the store was rolled back and reuses versions. */
  | { readonly kind: "went_back" }
  /** Too many changes followed to tell, or the store was rolled back. */
  | { readonly kind: "unknown" };

/**
 * Classifies the current head before a write, or after a conflict or a lost
 * reply. After a lost reply, a head whose history skips the plan's generation
 * proves nothing: the change may have been in force before a store rollback.
 */
export function classifyReadBack(
  plan: HeadPlan,
  current: _VersionedHead | undefined,
  options: { readonly replyLost: boolean },
): ReadBackResult {
  const version = current?.version ?? 0;
  if (version < plan.baseVersion) return { kind: "older" };
  if (version === plan.baseVersion) {
    const isBase = current?.head.digest === plan.baseDigest;
    return { kind: isBase ? "unchanged" : "went_back" };
  }
  if (!current) return { kind: "older" };
  const { generation, applyId } = plan.head;
  const { head } = current;
  const isOwn = head.applyId === applyId ||
    head.recent.some((past) => past.applyId === applyId);
  if (isOwn) return { kind: "won" };
  const oldest = head.recent.at(-1);
  const isHistoryTruncated = head.recent.length >= MAXIMUM_RECENT_APPLIES &&
    oldest && oldest.generation > generation;
  if (isHistoryTruncated) return { kind: "unknown" };
  const winner =
    head.recent.findLast((past) => past.generation >= generation) ?? head;
  if (options.replyLost && winner.generation !== generation) {
    return { kind: "unknown" };
  }
  return {
    kind: "lost",
    winner: { generation: winner.generation, applyId: winner.applyId },
  };
}
