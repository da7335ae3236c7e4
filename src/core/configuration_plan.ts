/** Pure parts of an apply: the next head, and who won when a reply was lost. */
import {
  canonicalJson,
  createHead,
  MAXIMUM_RECENT_APPLIES,
  type StoredHead,
} from "./configuration_head.ts";
import type { Drains } from "./fleet_schema.ts";

/** What the next head is made of. */
export interface HeadChange {
  readonly applyId: string;
  readonly chunks: readonly string[];
  /** Wall time, for the removal of superseded chunks. */
  readonly nowMilliseconds: number;
  /** Superseded chunks that no longer exist. */
  readonly removed: readonly string[];
  readonly drains?: Drains;
  readonly generation?: number;
}

/** The next head and what it is based on. */
export interface HeadPlan {
  readonly head: StoredHead;
  readonly baseGeneration: number;
  readonly baseVersion: number;
  readonly baseDigest: string | undefined;
  /** False if chunks and drains are those of the base. */
  readonly changed: boolean;
}

interface _Base {
  readonly head: StoredHead;
  readonly version: number;
}

const NO_DRAINS: Drains = { hosts: [], backendServers: [] };

function _supersede(
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

/** Plans the head that follows a base. */
export function planHead(
  base: _Base | undefined,
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
    superseded: base ? _supersede(base.head, change) : [],
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

/** Who won, as far as a head that was read back shows. */
export type ReadBackResult =
  | { readonly kind: "won" }
  | {
    readonly kind: "lost";
    readonly winner: { readonly generation: number; readonly applyId: string };
  }
  /** The head is the plan's base: the write may still succeed. */
  | { readonly kind: "unchanged" }
  /** Older than the base: the read is stale, or the store went back. */
  | { readonly kind: "older" }
  /** The store went back and repeats versions: another head has the base's version. */
  | { readonly kind: "went_back" }
  /** Too many changes followed to tell, or the store went back. */
  | { readonly kind: "unknown" };

/**
 * Judges the current head before a write, or after a conflict or a lost reply.
 * After a lost reply, a head that skips the plan's generation proves nothing: the
 * change may have been in force before the store went back.
 */
export function classifyReadBack(
  plan: HeadPlan,
  back: _Base | undefined,
  options: { readonly replyLost: boolean },
): ReadBackResult {
  const version = back?.version ?? 0;
  if (version < plan.baseVersion) return { kind: "older" };
  if (version === plan.baseVersion) {
    const isBase = back?.head.digest === plan.baseDigest;
    return { kind: isBase ? "unchanged" : "went_back" };
  }
  if (!back) return { kind: "older" };
  const { generation, applyId } = plan.head;
  const { head } = back;
  const isOwn = head.applyId === applyId ||
    head.recent.some((past) => past.applyId === applyId);
  if (isOwn) return { kind: "won" };
  const oldest = head.recent.at(-1);
  const forgotten = head.recent.length >= MAXIMUM_RECENT_APPLIES && oldest &&
    oldest.generation > generation;
  if (forgotten) return { kind: "unknown" };
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
