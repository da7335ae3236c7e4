/**
 * Routers of the failure run of planned stops: the program as deployed, each a seed
 * of the others, stopped as the platform does it.
 */
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type BundledProgram,
  startBundledProgram,
} from "../platform/bundled_program.ts";
import type { SoakRouterSettings } from "../platform/soak_fleet.ts";
import { findFreeAddresses } from "../stand_ins/free_ports.ts";

const MAXIMUM_SEEDS = 3;
const RETRY_ALLOWANCE = 100;
/** A process on a busy machine may not become ready in time. */
const MAXIMUM_STARTS = 3;
/** Time in which the last lines of an ended process are read. */
const LAST_LINES_MILLISECONDS = 200;

/** How a router was stopped, with what it wrote until its end. */
export interface RouterStop {
  readonly router: string;
  readonly signalledAt: number;
  readonly endedAt: number;
  /** Null after a SIGKILL. */
  readonly exitCode: number | null;
  readonly lines: readonly string[];
}

/** A time in which a stopping process gets no processor time. */
export interface Suspension {
  /** Time from the signal to its start. */
  readonly afterMilliseconds: number;
  readonly milliseconds: number;
}

/** A router process that can be stopped and started again. */
export class StopRouter {
  readonly settings: SoakRouterSettings;
  readonly #bundle: string;
  #program: BundledProgram | undefined;

  constructor(bundle: string, settings: SoakRouterSettings) {
    this.#bundle = bundle;
    this.settings = settings;
  }

  get name(): string {
    return this.settings.host;
  }

  /** Starts the process; resolves once it is ready. */
  async start(): Promise<void> {
    for (let starts = 1;; starts++) {
      try {
        await this.#startOnce();
        return;
      } catch (error) {
        if (starts === MAXIMUM_STARTS) throw error;
        console.error(`${this.name} was not ready after start ${starts}`);
      }
    }
  }

  async #startOnce(): Promise<void> {
    const { settings } = this;
    this.#program = await startBundledProgram(this.#bundle, settings.store, {
      settings,
    });
  }

  /** Sends SIGTERM, and SIGKILL if the process still runs after the grace. */
  async stop(
    graceMilliseconds: number,
    suspension?: Suspension,
  ): Promise<RouterStop> {
    const program = this.#program as BundledProgram;
    const drained = once(program.process, "close");
    const signalledAt = Date.now();
    program.process.kill("SIGTERM");
    const timer = setTimeout(
      () => program.process.kill("SIGKILL"),
      graceMilliseconds,
    );
    if (suspension) void this.#suspend(program, suspension);
    const exitCode = await program.exited;
    const endedAt = Date.now();
    clearTimeout(timer);
    await Promise.race([drained, sleep(LAST_LINES_MILLISECONDS)]);
    const lines = program.output().split("\n");
    return { router: this.name, signalledAt, endedAt, exitCode, lines };
  }

  async #suspend(
    { process: child }: BundledProgram,
    { afterMilliseconds, milliseconds }: Suspension,
  ): Promise<void> {
    await sleep(afterMilliseconds);
    child.kill("SIGSTOP");
    await sleep(milliseconds);
    child.kill("SIGCONT");
  }

  /** Lines that the current process has written so far. */
  readLines(): readonly string[] {
    return this.#program?.output().split("\n") ?? [];
  }

  kill(): void {
    this.#program?.process.kill("SIGKILL");
  }
}

/** Creates the routers of a fleet without starting them. */
export async function createStopRouters(
  count: number,
  options: {
    readonly bundle: string;
    readonly store: string;
    readonly graceSeconds: number;
  },
): Promise<StopRouter[]> {
  const addresses = await findFreeAddresses(count * 4);
  const peers = addresses.slice(0, count);
  return peers.map((peer, index) => {
    const rest = count + index * 3;
    const [callers = "", status = "", entry = ""] = addresses.slice(rest);
    return new StopRouter(options.bundle, {
      host: `edge-${index + 1}`,
      dataCentre: "north",
      callers,
      status,
      entry,
      peers: peer,
      seeds: peers.slice(0, MAXIMUM_SEEDS),
      store: options.store,
      retryAllowance: RETRY_ALLOWANCE,
      graceSeconds: options.graceSeconds,
    });
  });
}
