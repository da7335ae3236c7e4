/** The router processes of the soak and the proxies before them. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, writeFile } from "node:fs/promises";
import { createWriteStream, type WriteStream } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
  PLATFORM_PROGRAM,
  SETTINGS_VARIABLE,
  type SoakRouterSettings,
  writeSettings,
} from "../platform/soak_fleet.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";

const READY_POLL_MILLISECONDS = 50;
/** The grace time of the settings, with a margin for a busy machine. */
const STOP_LIMIT_MILLISECONDS = 6_000;
const PROGRAM = fileURLToPath(
  new URL(`../${PLATFORM_PROGRAM}`, import.meta.url),
);

/** One router, restarted after each end. */
export class SoakRouter {
  readonly settings: SoakRouterSettings;
  readonly proxy: LoopbackProxy;
  /** Where callers connect: the proxy before the router's port. */
  proxyAddress = "";
  #path = "";
  #log: WriteStream | undefined;
  #child: ChildProcess | undefined;
  #isEndExpected = false;
  #restarts: Promise<void> = Promise.resolve();
  /** Called when the process ends without having been told to. */
  onUnexpectedEnd: (code: number | null) => void = () => undefined;

  constructor(settings: SoakRouterSettings) {
    this.settings = settings;
    this.proxy = new LoopbackProxy(() => settings.callers);
  }

  async prepare(logFolder: string): Promise<void> {
    this.proxyAddress = await this.proxy.start();
    const folder = await mkdtemp(join(tmpdir(), "sapphirecart-soak-"));
    this.#path = join(folder, "settings.json");
    this.#log = createWriteStream(join(logFolder, `${this.settings.host}.log`));
    await this.rewriteSettings(this.settings.retryAllowance);
  }

  /** Changes the settings file; the process notices by itself or by a signal. */
  async rewriteSettings(retryAllowance: number): Promise<void> {
    await writeFile(
      this.#path,
      writeSettings({ ...this.settings, retryAllowance }),
    );
  }

  start(): void {
    this.#isEndExpected = false;
    const child = spawn(process.execPath, [PROGRAM], {
      env: { ...process.env, [SETTINGS_VARIABLE]: this.#path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    for (const stream of [child.stdout, child.stderr]) {
      if (this.#log) stream?.pipe(this.#log, { end: false });
    }
    child.once("exit", (code) => {
      if (!this.#isEndExpected) this.onUnexpectedEnd(code);
    });
  }

  /** Resolves when the router says that it is ready; false after a while. */
  async untilReady(limitMilliseconds: number): Promise<boolean> {
    const end = Date.now() + limitMilliseconds;
    while (Date.now() < end) {
      const answer = await fetch(`http://${this.settings.status}/ready`)
        .then(({ status }) => status, () => 0);
      if (answer === 200) return true;
      await sleep(READY_POLL_MILLISECONDS);
    }
    return false;
  }

  signal(signal: "SIGSTOP" | "SIGCONT" | "SIGHUP"): void {
    this.#child?.kill(signal);
  }

  /** Ends the process and starts another one; restarts follow each other. */
  async restart(how: "kill" | "terminate", limit: number): Promise<void> {
    const before = this.#restarts;
    const restarted = before.then(async () => {
      if (how === "kill") await this.kill();
      else await this.terminate();
      this.start();
      await this.untilReady(limit);
    });
    this.#restarts = restarted;
    await restarted;
  }

  async kill(): Promise<void> {
    this.#isEndExpected = true;
    this.#child?.kill("SIGCONT");
    this.#child?.kill("SIGKILL");
    await this.#untilEnd(STOP_LIMIT_MILLISECONDS);
  }

  /** Asks the process to stop; kills it after the grace time. */
  async terminate(): Promise<void> {
    this.#isEndExpected = true;
    this.#child?.kill("SIGTERM");
    if (!await this.#untilEnd(STOP_LIMIT_MILLISECONDS)) await this.kill();
  }

  stop(): void {
    this.proxy.stop();
    this.#log?.end();
  }

  async #untilEnd(limitMilliseconds: number): Promise<boolean> {
    const child = this.#child;
    const hasEnded = child?.exitCode !== null || child.signalCode !== null;
    if (!child || hasEnded) return true;
    return await new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), limitMilliseconds);
      child.once("exit", () => {
        clearTimeout(timer);
        resolve(true);
      });
    });
  }
}
