/** Router processes of the soak, each behind a fault-injecting proxy. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp } from "node:fs/promises";
import { createWriteStream, readFileSync, type WriteStream } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  SETTINGS_VARIABLE,
  type SoakRouterSettings,
  writeSettings,
} from "../platform/soak_fleet.ts";
import { findFreeAddresses } from "../stand_ins/free_ports.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";
import { killAndWait, waitForEnd } from "./process_end.ts";
import { replaceFile } from "./replaced_file.ts";

/** Data centres of routers and servers, in turn. */
export const DATA_CENTRES = ["north", "south"];
const RETRY_ALLOWANCE_REQUESTS = 100;
const BYTES_IN_KIB = 1_024;
const READY_POLL_MILLISECONDS = 50;
/** Grace period of the router settings plus a margin for a busy machine. */
const STOP_TIMEOUT_MILLISECONDS = 6_000;

/** A router process that can be restarted. */
export class SoakRouter {
  readonly settings: SoakRouterSettings;
  readonly proxy: LoopbackProxy;
  /** Address that callers connect to: the proxy in front of the router. */
  proxyAddress = "";
  /** Words that start the program, after the one for Node.js. */
  readonly #command: readonly string[];
  #settingsPath = "";
  #log: WriteStream | undefined;
  #child: ChildProcess | undefined;
  #isExitExpected = false;
  #isReady = false;
  #lastRestart: Promise<void> = Promise.resolve();
  /** Called with the exit code or signal of a process that nobody stopped. */
  onUnexpectedExit: (cause: string) => void = () => undefined;
  /** Called when a running process gets its first stop signal. */
  onStopSignal: () => void = () => undefined;

  constructor(settings: SoakRouterSettings, command: readonly string[]) {
    this.#command = command;
    this.settings = settings;
    this.proxy = new LoopbackProxy(() => settings.callers);
  }

  async prepare(logFolder: string): Promise<void> {
    this.proxyAddress = await this.proxy.start();
    const folder = await mkdtemp(join(tmpdir(), "sapphirecart-soak-"));
    this.#settingsPath = join(folder, "settings.json");
    this.#log = createWriteStream(join(logFolder, `${this.settings.host}.log`));
    await this.rewriteSettings(this.settings.retryAllowance);
  }

  /** Returns the most memory that the current process has taken; 0 without one. */
  readPeakBytes(): number {
    try {
      const path = `/proc/${this.#child?.pid ?? "none"}/status`;
      const [, kilobytes = "0"] =
        /VmHWM:\s+(\d+)/.exec(readFileSync(path, "utf8")) ?? [];
      return Number(kilobytes) * BYTES_IN_KIB;
    } catch {
      // The process has ended.
      return 0;
    }
  }

  /** Rewrites the settings file, which the process watches; SIGHUP also reloads it. */
  async rewriteSettings(retryAllowance: number): Promise<void> {
    await replaceFile(
      this.#settingsPath,
      writeSettings({ ...this.settings, retryAllowance }),
    );
  }

  start(): void {
    this.#isExitExpected = false;
    this.#isReady = false;
    const child = spawn(process.execPath, this.#command, {
      env: { ...process.env, [SETTINGS_VARIABLE]: this.#settingsPath },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    for (const stream of [child.stdout, child.stderr]) {
      if (this.#log) stream?.pipe(this.#log, { end: false });
    }
    child.once("exit", (code, signal) => {
      if (this.#isExitExpected) return;
      this.onUnexpectedExit(signal ?? `code ${code ?? "unknown"}`);
    });
  }

  /** Polls the status address; resolves with whether the router became ready. */
  async waitUntilReady(timeoutMilliseconds: number): Promise<boolean> {
    const deadline = Date.now() + timeoutMilliseconds;
    while (Date.now() < deadline) {
      const status = await fetch(`http://${this.settings.status}/ready`)
        .then(({ status }) => status, () => 0);
      if (status === 200) {
        this.#isReady = true;
        return true;
      }
      await sleep(READY_POLL_MILLISECONDS);
    }
    return false;
  }

  /** Whether the process was told to end and has not ended yet. */
  get isStopping(): boolean {
    return this.#isExitExpected && this.#child?.exitCode === null &&
      this.#child.signalCode === null;
  }

  /** Whether the current process has become ready and was not told to end. */
  get isReady(): boolean {
    return this.#isReady && !this.#isExitExpected;
  }

  signal(signal: "SIGSTOP" | "SIGCONT" | "SIGHUP" | "SIGTERM"): void {
    this.#child?.kill(signal);
  }

  /** Ends the process and starts a new one; concurrent restarts are serialised. */
  async restart(
    mode: "kill" | "terminate",
    readyTimeoutMilliseconds: number,
  ): Promise<void> {
    const previous = this.#lastRestart;
    const restarted = previous.then(async () => {
      if (mode === "kill") await this.kill();
      else await this.terminate();
      this.start();
      await this.waitUntilReady(readyTimeoutMilliseconds);
    });
    this.#lastRestart = restarted;
    await restarted;
  }

  async kill(): Promise<void> {
    this.#isExitExpected = true;
    if (this.#child) await killAndWait(this.#child);
  }

  /** Sends SIGTERM; kills the process if it has not exited after the timeout. */
  async terminate(): Promise<void> {
    this.#isExitExpected = true;
    this.onStopSignal();
    const child = this.#child;
    if (!child) return;
    child.kill("SIGTERM");
    if (!await waitForEnd(child, STOP_TIMEOUT_MILLISECONDS)) await this.kill();
  }

  stop(): void {
    this.proxy.stop();
    this.#log?.end();
  }
}

/** Settings that all routers of a run share. */
export type CommonSettings = Pick<
  SoakRouterSettings,
  "store" | "evacuateMilliseconds" | "memoryMegabytes" | "descriptors"
>;

/** Creates the routers of a fleet; they are not started. */
export async function createRouters(
  count: number,
  command: readonly string[],
  settings: CommonSettings,
): Promise<SoakRouter[]> {
  const addresses = await findFreeAddresses(count * 4);
  return Array.from({ length: count }, (_, index) => {
    const [callers, status, entry, peers] = addresses.slice(index * 4) as [
      string,
      string,
      string,
      string,
    ];
    return new SoakRouter({
      host: `entry-${index}`,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? "",
      callers,
      status,
      entry,
      peers,
      seeds: [addresses[3] ?? "", addresses[7] ?? ""],
      ...settings,
      retryAllowance: RETRY_ALLOWANCE_REQUESTS,
    }, command);
  });
}
