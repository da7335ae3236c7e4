/** The filters that hold a workspace to its rate and concurrency limits. */
import { err, ok, type Result } from "neverthrow";
import type { ChatAnswer } from "./caller_services.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { WorkspaceId } from "./core/ids.ts";
import type { LimitsTask } from "./limits_task.ts";

function _acquire(
  workspace: WorkspaceId,
  limits: LimitsTask,
): Result<void, ApplicationError> {
  const decision = limits.tryAcquire(workspace);
  if (decision === "ok") return ok(undefined);
  return err(createError(decision, `workspace ${workspace}`, ["workspace"]));
}

/** Runs a call within the workspace's limits. */
export async function limitCall<Answer>(
  workspace: WorkspaceId,
  limits: LimitsTask,
  run: () => Promise<Result<Answer, ApplicationError>>,
): Promise<Result<Answer, ApplicationError>> {
  const acquired = _acquire(workspace, limits);
  if (acquired.isErr()) return err(acquired.error);
  try {
    return await run();
  } finally {
    limits.release(workspace);
  }
}

/** Runs a chat within the workspace's limits; it counts until its stream has ended. */
export async function limitChat(
  workspace: WorkspaceId,
  limits: LimitsTask,
  run: () => Promise<Result<ChatAnswer, ApplicationError>>,
): Promise<Result<ChatAnswer, ApplicationError>> {
  const acquired = _acquire(workspace, limits);
  if (acquired.isErr()) return err(acquired.error);
  const started = await run();
  if (started.isErr()) {
    limits.release(workspace);
    return err(started.error);
  }
  const { backendServer, events } = started.value;
  return ok({
    backendServer,
    events: _releaseAtEnd(events, () => limits.release(workspace)),
  });
}

async function* _releaseAtEnd<Event>(
  events: AsyncIterable<Event>,
  release: () => void,
): AsyncGenerator<Event, void> {
  try {
    yield* events;
  } finally {
    release();
  }
}
