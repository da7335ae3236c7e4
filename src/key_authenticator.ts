/**
 * Authenticates callers and operators by bearer key. The fleet file stores keys
 * as SHA-256 hashes; the index from hash to workspace or operator is rebuilt
 * for each configuration.
 */
import { hash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { ConfigurationSnapshot, Workspace } from "./core/fleet_schema.ts";
import { brandId, type WorkspaceId } from "./core/ids.ts";
import type { ConfigurationView } from "./configuration_view.ts";

/** A workspace that was identified by its key. */
export interface AuthenticatedWorkspace {
  readonly id: WorkspaceId;
  readonly settings: Workspace;
}

/** Checks bearer keys against the current configuration. */
export interface KeyAuthenticator {
  /** Identifies a workspace, or fails with `unauthenticated` or `not_ready`. */
  authenticateWorkspace(
    authorization: string | undefined,
  ): Result<AuthenticatedWorkspace, ApplicationError>;
  /**
   * Returns the name of an operator, or fails with `unauthenticated`,
   * `forbidden` or `not_ready`.
   */
  authenticateOperator(
    authorization: string | undefined,
  ): Result<string, ApplicationError>;
}

interface _KeyIndex {
  readonly snapshot: ConfigurationSnapshot;
  readonly workspaces: ReadonlyMap<string, AuthenticatedWorkspace>;
  readonly operators: ReadonlyMap<string, string>;
}

/** Returns the hash of a key in the form that the fleet file stores. */
export function hashKey(key: string): string {
  return hash("sha256", key);
}

function _buildIndex(snapshot: ConfigurationSnapshot): _KeyIndex {
  const { workspaces, operators } = snapshot.fleet;
  return {
    snapshot,
    workspaces: new Map(
      Object.entries(workspaces).map(([name, settings]) =>
        [settings.keyHash, {
          id: brandId<WorkspaceId>(name),
          settings,
        }] as const
      ),
    ),
    operators: new Map(
      Object.entries(operators).map(([name, { keyHash }]) => [keyHash, name]),
    ),
  };
}

function _bearerKey(
  authorization: string | undefined,
): Result<string, ApplicationError> {
  const match = /^Bearer ([!-~]{1,512})$/.exec(authorization ?? "");
  if (match) return ok(match[1] as string);
  return err(
    createError("unauthenticated", "expected `Bearer KEY`", ["authorization"]),
  );
}

/** Creates an authenticator that follows a configuration view. */
export function createKeyAuthenticator(
  configuration: ConfigurationView,
): KeyAuthenticator {
  let index: _KeyIndex | undefined;

  function currentIndex(): Result<_KeyIndex, ApplicationError> {
    const snapshot = configuration.current();
    if (!snapshot) return err(createError("not_ready", "no configuration yet"));
    if (index?.snapshot !== snapshot) index = _buildIndex(snapshot);
    return ok(index);
  }

  return {
    authenticateWorkspace(authorization) {
      return currentIndex().andThen(({ workspaces }) =>
        _bearerKey(authorization).andThen((key) => {
          const workspace = workspaces.get(hashKey(key));
          if (workspace) return ok(workspace);
          return err(
            createError("unauthenticated", "unknown workspace key", [
              "authorization",
            ]),
          );
        })
      );
    },
    authenticateOperator(authorization) {
      return currentIndex().andThen(({ workspaces, operators }) =>
        _bearerKey(authorization).andThen((key) => {
          const keyHash = hashKey(key);
          const operator = operators.get(keyHash);
          if (operator !== undefined) return ok(operator);
          const kind = workspaces.has(keyHash)
            ? "forbidden"
            : "unauthenticated";
          return err(
            createError(kind, "an operator key is required", ["authorization"]),
          );
        })
      );
    },
  };
}
