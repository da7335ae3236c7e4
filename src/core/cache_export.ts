/**
 * Plans which chats' KV cache a leaving engine hands to which other engines:
 * the most recently served chats first, each to the next engine in its rank.
 */
import type { Drains, Fleet } from "./fleet_schema.ts";
import { isUsable } from "./orders.ts";

/** A chat whose KV cache an engine may hold. */
export interface HotChat {
  readonly chat: string;
  /** Any number that is higher for a chat served later. */
  readonly servedAt: number;
}

/** Chats to move to one engine in one export. */
export interface ExportBatch {
  readonly target: string;
  readonly chats: readonly string[];
}

/** What an export is planned on. */
export interface CacheExportInput {
  readonly chats: readonly HotChat[];
  /** The engines that may take over; without the leaving one. */
  readonly targets: readonly string[];
  /** Orders the targets by preference for a chat. */
  readonly rank: (chat: string, targets: readonly string[]) => string[];
  readonly chatsPerBatch: number;
}

/**
 * Returns the engines that can continue an engine's chats: those that share a
 * placement with it and are themselves not leaving.
 */
export function exportTargets(
  fleet: Fleet,
  drains: Drains,
  engine: string,
): string[] {
  const names = Object.values(fleet.placements)
    .filter((placement) => placement.backendServers.includes(engine))
    .flatMap((placement) => placement.backendServers);
  return [...new Set(names)].filter((name) =>
    name !== engine && isUsable(fleet, drains, name)
  );
}

/** Returns the batches in the order in which they are to be exported. */
export function planCacheExport(
  { chats, targets, rank, chatsPerBatch }: CacheExportInput,
): ExportBatch[] {
  if (targets.length === 0) return [];
  const newestFirst = [...chats].sort((left, right) =>
    right.servedAt - left.servedAt
  );
  const batches: { target: string; chats: string[] }[] = [];
  const open = new Map<string, { target: string; chats: string[] }>();
  for (const { chat } of newestFirst) {
    const target = rank(chat, targets)[0];
    if (target === undefined) continue;
    let batch = open.get(target);
    if (!batch || batch.chats.length >= chatsPerBatch) {
      batch = { target, chats: [] };
      open.set(target, batch);
      batches.push(batch);
    }
    batch.chats.push(chat);
  }
  return batches;
}
