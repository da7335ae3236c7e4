/**
 * Starts the fleet's processes for the demo and the failure runs, and ends
 * exactly those that it started.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { readdir, readFile } from "node:fs/promises";
import { createServer } from "node:net";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const START_TIMEOUT_MILLISECONDS = 15_000;
const KEPT_OUTPUT_LINES = 200;

/** A started process. */
export interface ManagedProcess {
  readonly name: string;
  readonly processId: number;
  /** The `ip:port` that the process announced. */
  readonly address: string;
  /** The last lines of its output. */
  readonly output: readonly string[];
  isRunning(): boolean;
  /** Ends it at once. */
  kill(): Promise<void>;
  /** Asks it to stop and waits until it has; resolves with its exit code. */
  terminate(): Promise<number | null>;
  pause(): void;
  resume(): void;
}

/** Processes that end together. */
export interface ProcessGroup {
  /** Starts a compiled program and waits until it announces an address. */
  start(
    name: string,
    program: string,
    parameters: readonly string[],
  ): Promise<ManagedProcess>;
  /** Kills everything that still runs. */
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

function _announcedAddress(line: string): string | undefined {
  const announced = /"callerAddress":"([\d.]+:\d+)"/.exec(line) ??
    /"address":"([\d.]+:\d+)"/.exec(line) ??
    /listening on ([\d.]+:\d+)/.exec(line);
  return announced?.[1];
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
      () => fail("no address was announced"),
      START_TIMEOUT_MILLISECONDS,
    );
    child.once("exit", () => fail("the process ended before it was ready"));
    for (const stream of [child.stdout, child.stderr]) {
      if (!stream) continue;
      createInterface({ input: stream }).on("line", (line) => {
        output.push(line);
        if (output.length > KEPT_OUTPUT_LINES) output.shift();
        const address = _announcedAddress(line);
        if (address === undefined) return;
        clearTimeout(timer);
        resolve(address);
      });
    }
  });
}

/** Creates an empty group. */
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

/**
 * Below the range from which the system takes ports of outgoing connections, or
 * a port found free could be taken before the process has opened it.
 */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;

function _isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/** Returns distinct free ports on the loopback address. */
export async function findFreePorts(count: number): Promise<number[]> {
  const found = new Set<number>();
  while (found.size < count) {
    const port = FIRST_PORT + randomInt(PORT_COUNT);
    if (!found.has(port) && await _isFree(port)) found.add(port);
  }
  return [...found];
}

/** Returns the processor time that a process has used, in microseconds. */
export async function readProcessorMicroseconds(
  { processId }: ManagedProcess,
): Promise<number> {
  const threads = await readdir(`/proc/${processId}/task`);
  // The first field is the thread's time on a processor in nanoseconds.
  const nanoseconds = await Promise.all(threads.map(async (thread) => {
    const path = `/proc/${processId}/task/${thread}/schedstat`;
    return Number((await readFile(path, "utf8")).split(" ")[0]);
  }));
  return nanoseconds.reduce((sum, each) => sum + each, 0) / 1_000;
}
