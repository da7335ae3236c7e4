/**
 * Plans which cached chats a leaving engine exports, and to which servers. The
 * most recently used chats go first, up to a byte budget. Each goes to the
 * first server in its rendezvous order with enough free cache, because an
 * import into a full cache evicts chats that are about as likely to continue;
 * if there is none, to the first server.
 */
import type { BackendServerId, ChatId, WorkspaceId } from "./ids.ts";
import { rankByRendezvous } from "./rendezvous.ts";

/** A chat in the cache of a leaving engine. */
export interface ExportableChat {
  readonly workspace: WorkspaceId;
  readonly chat: ChatId;
  /** Length of the cached prefix, including the shared prompt. */
  readonly prefixTokens: number;
  /** Length of the shared prompt at the start of the prefix. */
  readonly sharedTokens: number;
}

/** A server that may import chats. */
export interface ExportTarget {
  readonly backendServer: BackendServerId;
  /** Estimated free space in its cache. */
  readonly freeTokens: number;
  /** Whether the server is known to have a workspace's shared prompt cached. */
  holdsShared(workspace: WorkspaceId): boolean;
}

/** The export of one chat. */
export interface ExportStep {
  readonly chat: ExportableChat;
  readonly to: BackendServerId;
  readonly bytes: number;
}

/** Limits the size of an export. */
export interface ExportBudget {
  readonly bytes: number;
  readonly bytesPerToken: number;
}

/** Plans an export of chats, which must be sorted most recently used first. */
export function planExport(
  chats: readonly ExportableChat[],
  targets: readonly ExportTarget[],
  budget: ExportBudget,
): readonly ExportStep[] {
  const steps: ExportStep[] = [];
  const freeTokens = new Map(
    targets.map((target) => [target.backendServer, target.freeTokens]),
  );
  const sharedSent = new Set<string>();
  let bytesLeft = budget.bytes;

  function tokensToMove(chat: ExportableChat, target: ExportTarget): number {
    const hasShared = target.holdsShared(chat.workspace) ||
      sharedSent.has(`${target.backendServer}/${chat.workspace}`);
    return chat.prefixTokens - (hasShared ? chat.sharedTokens : 0);
  }

  for (const chat of chats) {
    const ranked = rankByRendezvous(
      `${chat.workspace}/${chat.chat}`,
      targets,
      (target) => target.backendServer,
    );
    const target = ranked.find((candidate) =>
      (freeTokens.get(candidate.backendServer) ?? 0) >=
        tokensToMove(chat, candidate)
    ) ?? ranked[0];
    if (!target) {
      break;
    }
    const to = target.backendServer;
    const tokens = tokensToMove(chat, target);
    const bytes = tokens * budget.bytesPerToken;
    if (bytes > bytesLeft) {
      break;
    }
    bytesLeft -= bytes;
    freeTokens.set(to, (freeTokens.get(to) ?? 0) - tokens);
    sharedSent.add(`${to}/${chat.workspace}`);
    steps.push({ chat, to, bytes });
  }
  return steps;
}
