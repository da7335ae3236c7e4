/** Workspace limits. This first version admits everything; the limits land with their own change. */
import type { WorkspaceId } from "./core/ids.ts";
import { Task } from "./task.ts";

/** Admits every request. */
export class LimitsTask extends Task {
  override readonly name = "limits";

  constructor(_options: unknown) {
    super();
  }

  override async start(): Promise<void> {}

  override async stop(): Promise<void> {}

  override describe(): unknown {
    return { enforced: false };
  }

  tryAcquire(
    _workspace: WorkspaceId,
  ): "ok" | "rate_limited" | "concurrency_limited" {
    return "ok";
  }

  release(_workspace: WorkspaceId): void {}
}
