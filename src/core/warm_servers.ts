/**
 * The servers that recently served a workspace through this router. They have
 * the workspace's shared prompt cached, so a request that cannot use the cache
 * of its chat can still reuse that part of its prompt.
 */
import type { BackendServerId, WorkspaceId } from "./ids.ts";

/** Servers remembered per workspace. */
export const WARM_SERVERS_PER_WORKSPACE = 8;
/** Workspaces remembered; a router serves a few hundred at a time. */
const DEFAULT_MAXIMUM_WORKSPACES = 2_048;

/** A bounded cache of workspaces' warm servers. */
export interface WarmServers {
  /** Records that a server served the workspace. */
  recordServed(workspace: WorkspaceId, backendServer: BackendServerId): void;
  /** Returns the servers of a workspace, most recent first. */
  serversOf(workspace: WorkspaceId): readonly BackendServerId[];
  /** Removes servers that are gone or lost their cache. */
  retain(isKept: (backendServer: BackendServerId) => boolean): void;
}

/** Creates an empty cache that evicts the least recently used workspace. */
export function createWarmServers(
  maximumWorkspaces = DEFAULT_MAXIMUM_WORKSPACES,
): WarmServers {
  const byWorkspace = new Map<WorkspaceId, readonly BackendServerId[]>();
  return {
    recordServed(workspace, backendServer) {
      const otherServers = (byWorkspace.get(workspace) ?? [])
        .filter((server) => server !== backendServer)
        .slice(0, WARM_SERVERS_PER_WORKSPACE - 1);
      byWorkspace.delete(workspace);
      byWorkspace.set(workspace, [backendServer, ...otherServers]);
      if (byWorkspace.size <= maximumWorkspaces) return;
      for (const oldest of byWorkspace.keys()) {
        byWorkspace.delete(oldest);
        return;
      }
    },
    serversOf(workspace) {
      return byWorkspace.get(workspace) ?? [];
    },
    retain(isKept) {
      for (const [workspace, servers] of byWorkspace) {
        const kept = servers.filter(isKept);
        if (kept.length > 0) byWorkspace.set(workspace, kept);
        else byWorkspace.delete(workspace);
      }
    },
  };
}
