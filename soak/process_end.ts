/** Ends processes and waits for their end. */
import type { ChildProcess } from "node:child_process";

/** The part of a child process that is needed to end it. */
export type EndableProcess = Pick<
  ChildProcess,
  "exitCode" | "signalCode" | "kill" | "once"
>;

function _hasEnded({ exitCode, signalCode }: EndableProcess): boolean {
  return exitCode !== null || signalCode !== null;
}

/** Resolves with whether the process has ended within the time. */
export async function waitForEnd(
  child: EndableProcess,
  timeoutMilliseconds: number,
): Promise<boolean> {
  if (_hasEnded(child)) return true;
  return await new Promise((resolve) => {
    const timer = setTimeout(() => resolve(false), timeoutMilliseconds);
    child.once("exit", () => {
      clearTimeout(timer);
      resolve(true);
    });
  });
}

/**
 * Kills a process, even a paused one, and resolves once it has ended. Until then it
 * holds its ports; without processor time it may need seconds to end.
 */
export async function killAndWait(child: EndableProcess): Promise<void> {
  if (_hasEnded(child)) return;
  const ended = new Promise<void>((resolve) =>
    child.once("exit", () => resolve())
  );
  child.kill("SIGCONT");
  child.kill("SIGKILL");
  await ended;
}
