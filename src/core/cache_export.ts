/**
 * Plans the export of a leaving engine's KV cache: the most recently served
 * chats first, each to the engine that ranks highest for the chat.
 */
import type { Drains, Fleet } from "./fleet_schema.ts";
import { isUsable } from "./orders.ts";

/** A recently served chat whose KV cache the engine may hold. */
export interface HotChat {
  readonly chat: string;
  /** Orders chats: greater for a chat that was served later, in any unit. */
  readonly servedAt: number;
}

/** The chats that one export request sends to one engine. */
export interface ExportBatch {
  readonly target: string;
  readonly chats: readonly string[];
}

/** Input of `planCacheExport`. */
export interface CacheExportInput {
  readonly chats: readonly HotChat[];
  /** Engines that may import chats, without the leaving engine. */
  readonly targets: readonly string[];
  /** Sorts the targets by preference for a chat, best first. */
  readonly rank: (chat: string, targets: readonly string[]) => string[];
  readonly chatsPerBatch: number;
}

/**
 * Returns the engines that can continue the chats of an engine: those that
 * share a placement with it and are not drained themselves.
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

/** Returns the batches in the order in which to export them. */
export function planCacheExport(
  { chats, targets, rank, chatsPerBatch }: CacheExportInput,
): ExportBatch[] {
  if (targets.length === 0) return [];
  const newestFirst = [...chats].sort((left, right) =>
    right.servedAt - left.servedAt
  );
  const batches: { target: string; chats: string[] }[] = [];
  const openBatches = new Map<string, { target: string; chats: string[] }>();
  for (const { chat } of newestFirst) {
    const target = rank(chat, targets)[0];
    if (target === undefined) continue;
    let batch = openBatches.get(target);
    if (!batch || batch.chats.length >= chatsPerBatch) {
      batch = { target, chats: [] };
      openBatches.set(target, batch);
      batches.push(batch);
    }
    batch.chats.push(chat);
  }
  return batches;
}
