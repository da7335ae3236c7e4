/**
 * Which cached chats a leaving engine exports, and where to. The most recently
 * used chats go first, up to a byte budget. Each goes to the next server in the
 * chat's rank that has room: an import into a full cache displaces chats that
 * are about as likely to return.
 */
import type { BackendServerId, ChatId, WorkspaceId } from "./ids.ts";
import { rankByRendezvous } from "./rendezvous.ts";

/** A chat in the cache of a leaving engine. */
export interface ExportableChat {
  readonly workspace: WorkspaceId;
  readonly chat: ChatId;
  /** The whole prefix, shared prompt included. */
  readonly prefixTokens: number;
  readonly sharedTokens: number;
}

/** A server that may import chats. */
export interface ExportTarget {
  readonly backendServer: BackendServerId;
  /** Estimated free room in its cache. */
  readonly freeTokens: number;
  /** Whether it holds the workspace's shared prompt, as far as known. */
  holdsShared(workspace: WorkspaceId): boolean;
}

/** One chat to move. */
export interface ExportStep {
  readonly chat: ExportableChat;
  readonly to: BackendServerId;
  readonly bytes: number;
}

/** What an export may cost. */
export interface ExportBudget {
  readonly bytes: number;
  readonly bytesPerToken: number;
}

/** Plans an export; chats are given most recently used first. */
export function planExport(
  chats: readonly ExportableChat[],
  targets: readonly ExportTarget[],
  budget: ExportBudget,
): readonly ExportStep[] {
  const steps: ExportStep[] = [];
  const free = new Map(
    targets.map((target) => [target.backendServer, target.freeTokens]),
  );
  const sharedMoved = new Set<string>();
  let bytesLeft = budget.bytes;

  function tokensTo(chat: ExportableChat, target: ExportTarget): number {
    const held = target.holdsShared(chat.workspace) ||
      sharedMoved.has(`${target.backendServer}/${chat.workspace}`);
    return chat.prefixTokens - (held ? chat.sharedTokens : 0);
  }

  for (const chat of chats) {
    const ranked = rankByRendezvous(
      `${chat.workspace}/${chat.chat}`,
      targets,
      (target) => target.backendServer,
    );
    const target = ranked.find((candidate) =>
      (free.get(candidate.backendServer) ?? 0) >= tokensTo(chat, candidate)
    ) ?? ranked[0];
    if (!target) {
      break;
    }
    const to = target.backendServer;
    const tokens = tokensTo(chat, target);
    const bytes = tokens * budget.bytesPerToken;
    if (bytes > bytesLeft) {
      break;
    }
    bytesLeft -= bytes;
    free.set(to, (free.get(to) ?? 0) - tokens);
    sharedMoved.add(`${to}/${chat.workspace}`);
    steps.push({ chat, to, bytes });
  }
  return steps;
}
