/**
 * Starts the fleet's processes for the demo and the failure runs, and stops
 * only the processes that it started.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { readdir, readFile } from "node:fs/promises";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const START_TIMEOUT_MILLISECONDS = 15_000;
const MAXIMUM_OUTPUT_LINES = 200;

/** A child process. */
export interface ManagedProcess {
  readonly name: string;
  readonly processId: number;
  /** The `ip:port` that the process printed at start. */
  readonly address: string;
  /** The most recent lines of stdout and stderr. */
  readonly output: readonly string[];
  isRunning(): boolean;
  /** Sends SIGKILL and waits for the exit. */
  kill(): Promise<void>;
  /** Sends SIGTERM and resolves with the exit code. */
  terminate(): Promise<number | null>;
  pause(): void;
  resume(): void;
}

/** Child processes that are stopped together. */
export interface ProcessGroup {
  /** Starts a compiled program and waits until it prints its address. */
  start(
    name: string,
    program: string,
    parameters: readonly string[],
  ): Promise<ManagedProcess>;
  /** Kills all processes that are still running. */
  stop(): Promise<void>;
}

/** Returns the path of a compiled program, such as `stand_ins/engine_main.js`. */
function _pathOf(program: string): string {
  return fileURLToPath(new URL(`../${program}`, import.meta.url));
}

function _exitOf(child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve(child.exitCode);
  }
  return new Promise((resolve) => child.once("exit", (code) => resolve(code)));
}

function _parseAddress(line: string): string | undefined {
  const match = /"callerAddress":"([\d.]+:\d+)"/.exec(line) ??
    /"address":"([\d.]+:\d+)"/.exec(line) ??
    /listening on ([\d.]+:\d+)/.exec(line);
  return match?.[1];
}

function _waitForAddress(
  child: ChildProcess,
  output: string[],
): Promise<string> {
  return new Promise((resolve, reject) => {
    function fail(reason: string): void {
      reject(new Error([reason, ...output].join("\n")));
    }
    const timer = setTimeout(
      () => fail("the process did not print its address in time"),
      START_TIMEOUT_MILLISECONDS,
    );
    child.once(
      "exit",
      () => fail("the process exited before it printed its address"),
    );
    for (const stream of [child.stdout, child.stderr]) {
      if (!stream) continue;
      createInterface({ input: stream }).on("line", (line) => {
        output.push(line);
        if (output.length > MAXIMUM_OUTPUT_LINES) output.shift();
        const address = _parseAddress(line);
        if (address === undefined) return;
        clearTimeout(timer);
        resolve(address);
      });
    }
  });
}

/** Creates an empty group, killed when this process exits. */
export function createProcessGroup(): ProcessGroup {
  const children = new Set<ChildProcess>();
  process.once("exit", () => {
    for (const child of children) child.kill("SIGKILL");
  });

  async function killChild(child: ChildProcess): Promise<void> {
    child.kill("SIGCONT");
    child.kill("SIGKILL");
    await _exitOf(child);
  }

  return {
    async start(name, program, parameters) {
      const child = spawn(process.execPath, [_pathOf(program), ...parameters], {
        stdio: ["ignore", "pipe", "pipe"],
      });
      children.add(child);
      child.once("exit", () => children.delete(child));
      const output: string[] = [];
      const address = await _waitForAddress(child, output);
      return {
        name,
        processId: child.pid ?? 0,
        address,
        output,
        isRunning: () => child.exitCode === null && child.signalCode === null,
        kill: () => killChild(child),
        async terminate() {
          child.kill("SIGTERM");
          return _exitOf(child);
        },
        pause: () => void child.kill("SIGSTOP"),
        resume: () => void child.kill("SIGCONT"),
      };
    },
    async stop() {
      await Promise.all([...children].map(killChild));
    },
  };
}

/** Returns the CPU time of a process's current threads in microseconds. */
export async function readProcessorMicroseconds(
  { processId }: ManagedProcess,
): Promise<number> {
  const threads = await readdir(`/proc/${processId}/task`);
  // The first field of schedstat is the thread's CPU time in nanoseconds.
  const nanoseconds = await Promise.all(threads.map(async (thread) => {
    const path = `/proc/${processId}/task/${thread}/schedstat`;
    return Number((await readFile(path, "utf8")).split(" ")[0]);
  }));
  return nanoseconds.reduce((sum, time) => sum + time, 0) / 1_000;
}
