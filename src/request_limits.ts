/** Enforces the rate and concurrency limits of workspaces. */
import { err, ok, type Result } from "neverthrow";
import type { ChatResponse } from "./caller_services.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { ConfigurationSnapshot } from "./core/fleet_schema.ts";
import type { WorkspaceId } from "./core/ids.ts";
import type { WorkspaceLimits } from "./core/limit_owner.ts";
import type { LimitsTask } from "./limits_task.ts";
import type { Clock } from "./timer_service.ts";

type Outcome<Value> = Promise<Result<Value, ApplicationError>>;

/** Runs calls and chats within the limits of their workspace. */
export interface RequestLimits {
  /** Runs a call within the workspace's limits. */
  limitCall<Value>(
    workspace: WorkspaceId,
    run: () => Outcome<Value>,
  ): Outcome<Value>;
  /** Runs a chat within the limits; it is counted until its stream ends. */
  limitChat(
    workspace: WorkspaceId,
    run: () => Outcome<ChatResponse>,
  ): Outcome<ChatResponse>;
}

/** Returns the limits of a workspace in a configuration. */
export function limitsOf(
  workspace: WorkspaceId,
  snapshot: ConfigurationSnapshot | undefined,
): WorkspaceLimits | undefined {
  const settings = snapshot?.fleet.workspaces[workspace];
  if (!snapshot || !settings) return undefined;
  return {
    requestsPerSecond: settings.requestsPerSecond,
    concurrency: settings.concurrency,
    addresses: snapshot.fleet.fleet.addressesPerWorkspace,
  };
}

/**
 * Calls `release` once when the events end or their consumer stops. A generator
 * is unsuitable: if it is never started, its `finally` block does not run.
 */
function _releaseAtEnd<Event>(
  events: AsyncIterable<Event>,
  release: () => void,
): AsyncIterable<Event> {
  const source = events[Symbol.asyncIterator]();
  let isReleased = false;
  function releaseOnce(): void {
    if (isReleased) return;
    isReleased = true;
    release();
  }
  const iterator: AsyncIterator<Event, undefined> = {
    async next() {
      const next = await source.next();
      if (!next.done) return next;
      releaseOnce();
      return { done: true, value: undefined };
    },
    async return() {
      releaseOnce();
      await source.return?.();
      return { done: true, value: undefined };
    },
  };
  return { [Symbol.asyncIterator]: () => iterator };
}

/** Creates request limits from this router's share of the limits. */
export function createRequestLimits(
  limits: LimitsTask,
  clock: Clock,
): RequestLimits {
  function acquire(workspace: WorkspaceId): Result<void, ApplicationError> {
    const decision = limits.tryAcquire(
      workspace,
      clock.monotonicMilliseconds(),
    );
    if (decision === "ok") return ok(undefined);
    return err(createError(decision, `workspace ${workspace}`, ["workspace"]));
  }

  function release(workspace: WorkspaceId): void {
    limits.release(workspace, clock.monotonicMilliseconds());
  }

  return {
    async limitCall(workspace, run) {
      const acquired = acquire(workspace);
      if (acquired.isErr()) return err(acquired.error);
      try {
        return await run();
      } finally {
        release(workspace);
      }
    },
    async limitChat(workspace, run) {
      const acquired = acquire(workspace);
      if (acquired.isErr()) return err(acquired.error);
      const started = await run().catch((cause: unknown) => {
        release(workspace);
        throw cause;
      });
      if (started.isErr()) {
        release(workspace);
        return err(started.error);
      }
      const { backendServer, events } = started.value;
      return ok({
        backendServer,
        events: _releaseAtEnd(events, () => release(workspace)),
      });
    },
  };
}
